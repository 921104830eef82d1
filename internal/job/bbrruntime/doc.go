// Package bbrruntime predicts how long work units run. Submitters estimate run times, and
// many of these estimates are far off, while the work of one queue is often alike. A
// Predictor learns from the work that has ended how far each of the two can be trusted.
//
// The package makes decisions; it does no I/O.
package bbrruntime
