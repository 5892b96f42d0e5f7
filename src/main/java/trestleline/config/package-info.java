/** Reads settings files in JSON5 and reports all their errors, each with its path. */
package trestleline.config;
