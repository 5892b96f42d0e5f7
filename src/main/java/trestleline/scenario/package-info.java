/**
 * Runs a configured scenario of load and troubles through real gateways on loopback against emulated media hosts, and
 * reports what the viewers saw and which placement rules were broken.
 */
package trestleline.scenario;
