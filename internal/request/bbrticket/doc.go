// Package bbrticket keeps which idempotency keys an entry holds and what
// became of them. A key is run by its holder only. A key that the holder does
// not know was run and forgotten, or held by an earlier process, and is never
// run again.
package bbrticket
