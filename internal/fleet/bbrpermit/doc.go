// Package bbrpermit is the ledger of availability budgets: which instances are
// out of service, planned by permit or unplanned by loss, over all zones. The
// ledger is one document in the platform's service; a permit exists only by a
// compare-and-swap on it, so zones that are cut off can never sum above a
// budget.
package bbrpermit
