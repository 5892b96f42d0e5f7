/**
 * The signalling server for the platform's viewers: binary messages over TCP (docs/platform.md). Message decoding,
 * queueing and validation are separate from the socket code.
 */
package trestleline.signaling;
