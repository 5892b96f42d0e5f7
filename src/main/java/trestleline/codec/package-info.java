/**
 * Helpers shared by the binary and the RTSP protocol of the platform: a buffer for incomplete input, and numbers and
 * ids as text.
 */
package trestleline.codec;
