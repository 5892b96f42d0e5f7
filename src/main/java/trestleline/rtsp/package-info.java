/**
 * Client side of the RTSP dialect (RTSP over TCP) that the platform's media hosts speak, see docs/platform.md. Parsing
 * and encoding of messages are separate from the sockets.
 */
package trestleline.rtsp;
