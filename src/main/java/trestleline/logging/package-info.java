/** Configures logging in code, for processes in which reading a configuration file takes too long. */
package trestleline.logging;
