// Package bbrlist is the platform's list of instances, which lags, and its
// reboot call. The list is a hint: safety never rests on it.
package bbrlist
