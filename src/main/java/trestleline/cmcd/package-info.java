/**
 * CMCD (CTA-5004) and CMSD (CTA-5006) on structured fields (RFC 8941). Performs no I/O; malformed text causes no
 * exceptions.
 */
package trestleline.cmcd;
