// Package bbrexperiment compares two builds by pairs of trials. Both trials of a pair
// simulate the same day of the same site with the same seed, one by each build. A
// single trial says little, since its result depends on measured processor time. The
// standard error of the mean difference says how far that mean can be trusted.
package bbrexperiment
