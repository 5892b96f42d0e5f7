/** The billing ledger: entries, seals, and what it decides. Free of I/O, clock and threads. */
package trestleline.ledger;
