/** A whole gateway put together from its parts. */
package trestleline.daemon;
