/** Runs the ledger of a gateway: its store, its export to billing, and receipts from media hosts. */
package trestleline.billing;
