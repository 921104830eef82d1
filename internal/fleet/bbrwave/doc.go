// Package bbrwave plans maintenance waves: every instance of a pool, or of all
// pools, is rebooted once, by failure domain, starting small, wider while it
// succeeds, and halted when failures repeat. Progress lives in the platform, so
// a wave goes on after any restart.
package bbrwave
