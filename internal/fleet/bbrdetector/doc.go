// Package bbrdetector is the failure detector for owners. Entries ping the owners
// that they watch, and when a majority of the queried entries cannot reach an
// owner, its lease is revoked, so that its shards get a new owner before the lease
// expires.
//
// A false detection costs an owner its claims and nothing else: a new owner is
// prepared for a previous one that still regards its claim as valid.
package bbrdetector
