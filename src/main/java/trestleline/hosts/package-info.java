/** The gateway's client side towards media hosts. */
package trestleline.hosts;
