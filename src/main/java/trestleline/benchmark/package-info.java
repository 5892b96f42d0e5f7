/** Benchmarks, run by the command {@code measure}. They take long and are not part of CI. */
package trestleline.benchmark;
