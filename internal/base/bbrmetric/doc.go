// Package bbrmetric holds the counters and gauges of an entry. The list in
// docs/metrics.md is held against this package by a test.
package bbrmetric
