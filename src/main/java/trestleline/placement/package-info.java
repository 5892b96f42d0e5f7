/**
 * The decision module: places sessions on media hosts, sets their rungs and decides on retries. Free of I/O, clocks and
 * threads.
 */
package trestleline.placement;
