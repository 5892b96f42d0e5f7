/**
 * The gateway's client for media hosts over HTTP/1.1, and the state machine of one set-up exchange with a host, which
 * other protocols use as well.
 */
package trestleline.hosts;
