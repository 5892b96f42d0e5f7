/**
 * The core of a gateway: runs one decision module on one event loop and keeps the requests, attempts, sessions and
 * timers that its actions concern. It does no I/O and knows no protocol; fronts, host clients, the host list, the clock
 * and timers are connected through the interfaces of this package.
 */
package trestleline.core;
