// Package bbrreservation decides how wide and urgent work gets capacity in a shard that
// is full of smaller work. Wide work (a gang, or a work unit that needs most of an
// upstream) reserves the upstreams on which it will fit first, and other work starts
// there only if it is expected to end before that time or leaves the reserved capacity
// free (EASY backfilling). Urgent work may have work of a lower rank stopped, within
// bounds.
//
// The package makes decisions; it does no I/O.
package bbrreservation
