// Package bbrload submits a bounded, seeded load of jobs to entries, polls their
// states until they end, and reports the results that callers saw as a table, as
// JSON and as a plot. The same seed gives two builds the same jobs, so that they can
// be compared.
package bbrload
