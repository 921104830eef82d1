// Package bbrexperiment compares two builds by pairs of plays: the same day of the
// same site with the same seed, played once by each. A single play says little,
// since processor time is measured; the mean of the differences has an error
// that says how much it can be trusted.
package bbrexperiment
