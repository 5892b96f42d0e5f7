/** Settings files: JSON5, checked whole, every error told with its path. */
package trestleline.config;
