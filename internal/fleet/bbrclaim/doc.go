// Package bbrclaim registers the entry in the store under a lease, distributes
// the shards of services over the entries, and gives each owner its fencing
// token. A claim is a key in the store that is attached to its owner's lease;
// the revision at which the key was created is the fencing token.
package bbrclaim
