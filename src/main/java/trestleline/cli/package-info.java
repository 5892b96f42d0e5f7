/** The command line: one class per sub-command. */
package trestleline.cli;
