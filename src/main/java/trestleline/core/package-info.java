/**
 * One gateway around one decision module: requests, attempts, sessions and timers on one event loop. Free of protocols
 * and of I/O: fronts, hosts, list, clock and timers come through the interfaces here.
 */
package trestleline.core;
