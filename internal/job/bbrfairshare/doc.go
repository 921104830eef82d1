// Package bbrfairshare divides the capacity of a shard among organisations in proportion
// to their weights while it is short: weighted max-min of the dominant share of cores and
// memory. It keeps the use by which an organisation is measured against its share, and
// decides whether a new job is refused because its organisation's backlog is too long.
//
// It answers the load of a few organisations that send several times their usual load for
// some seconds, a few job lengths, beside others that send what they usually do.
//
// The package makes decisions; it does no I/O.
package bbrfairshare
