/**
 * Computes service quality per rack, host, title, class and tenant: the worth that was delivered in time, divided by
 * the worth that was requested (docs/quality.md). The package does no I/O, reads no clock and starts no threads. Totals
 * are integers, so that the order of events does not affect a result.
 */
package trestleline.quality;
