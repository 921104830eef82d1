// Package bbrfairshare divides the capacity of a shard among organisations in proportion
// to their weights while it is short: weighted max-min of the dominant share of cores and
// memory. It keeps the use by which an organisation is measured against its share, and
// decides whether a new job is refused because its organisation's backlog is too long.
//
// The package makes decisions; it does no I/O.
package bbrfairshare
