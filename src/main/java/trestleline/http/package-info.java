/** The HTTP front: HLS players with CMCD in, playlists and segments with CMSD out. */
package trestleline.http;
