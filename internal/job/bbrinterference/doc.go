// Package bbrinterference finds out which images slow each other down when their work
// units run on the same upstream. It decides from observed run times and tail latencies
// and does no I/O.
package bbrinterference
