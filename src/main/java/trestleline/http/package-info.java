/**
 * HTTP front end: accepts HLS players, reads their CMCD hints, and answers with playlists and segments that carry CMSD.
 */
package trestleline.http;
