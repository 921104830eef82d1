// Package bbrclaim registers the entry in the store under a lease, shares the
// shards of services among the entries, and gives each owner its fencing token. A claim
// is a key of the store that hangs on its owner's lease; the revision of its
// creation is the token.
package bbrclaim
