// Package bbrmetric defines the metrics of an entry. A test checks that the list in
// docs/metrics.md matches this package.
package bbrmetric
