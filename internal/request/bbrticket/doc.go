// Package bbrticket records the idempotency keys that an entry holds and the
// outcome of their requests. Only the holder of a key runs its request. A key
// that its holder has no record of was either run and evicted, or held by an
// earlier process, and is never run again.
package bbrticket
