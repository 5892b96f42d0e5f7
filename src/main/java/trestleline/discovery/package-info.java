/** The list of media hosts: its HTTP feed, its text form, and the file that keeps the last list. */
package trestleline.discovery;
