/** The ledger of a running gateway: its store, its export to billing, receipts from hosts. */
package trestleline.billing;
