/** HLS playlists, and silent audio segments for test hosts. Performs no I/O. */
package trestleline.media;
