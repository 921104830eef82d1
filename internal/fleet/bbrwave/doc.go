// Package bbrwave plans maintenance waves. A wave reboots every instance of a pool,
// or of all pools, once. It goes through each zone by failure domain, starts with one
// instance at a time, reboots more at once as reboots succeed, and halts when
// failures repeat. Its progress is stored in the platform, so that it continues
// after any restart.
package bbrwave
