/** Storage of ledgers: an embedded store, and the thread that writes to it. */
package trestleline.ledger.store;
