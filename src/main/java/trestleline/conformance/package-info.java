/** Checks recorded traffic of gateways, media hosts and players against six conformance rules, without I/O. */
package trestleline.conformance;
