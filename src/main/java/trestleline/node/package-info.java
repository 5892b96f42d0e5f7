/** One gateway on the users' platform: its configuration, the wiring of its components, and its shutdown. */
package trestleline.node;
