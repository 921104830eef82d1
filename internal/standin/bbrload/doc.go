// Package bbrload submits a bounded, seeded load of jobs to entries, asks for
// their states until they end, and reports what callers got: as a table, as JSON
// and as a plot, so that two builds can be compared under the same load.
package bbrload
