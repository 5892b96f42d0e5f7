/** Assembles a complete gateway from its components and runs it. */
package trestleline.daemon;
