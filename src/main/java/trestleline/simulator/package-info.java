/**
 * Adapter to a simulator: runs decision modules on events that are read as JSON from standard input, and writes the
 * actions they return to standard output. It has its own entry point and uses neither network nor clock.
 */
package trestleline.simulator;
