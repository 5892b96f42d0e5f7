/** Playlists and silent media. No I/O. */
package trestleline.media;
