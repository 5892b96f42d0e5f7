/**
 * The billing ledger: entries, their sealed chains, accounting periods, export, compaction and reconciliation. Free of
 * I/O, clocks and threads.
 */
package trestleline.ledger;
