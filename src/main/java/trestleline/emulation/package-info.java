/**
 * Emulations of the gateways' surroundings: media hosts, the source of the host list, billing and players. They record
 * what they observe for the conformance check.
 */
package trestleline.emulation;
