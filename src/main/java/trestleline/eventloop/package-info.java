/** What all gateways share on their event loop, whatever protocol they speak. */
package trestleline.eventloop;
