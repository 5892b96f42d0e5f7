/** The command line. */
package trestleline.cli;
