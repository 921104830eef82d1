// Package bbrdetector is the failure detector for owners. Entries ping the owners
// that they watch and query other entries about an owner that does not answer. If
// no entry reaches the owner, and more than half of the entries, the querying one
// included, report so, its lease is revoked, so that its shards get a new owner
// before the lease expires.
//
// A false detection costs an owner its claims and nothing else: a new owner is
// prepared for a previous one that still regards its claim as valid.
package bbrdetector
