/** Reads the settings that a gateway receives at start-up from JSON; errors name the location and the field. */
package trestleline.settings;
