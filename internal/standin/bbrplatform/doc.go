// Package bbrplatform is a stand-in for the platform, for development and
// tests only: the key-value service with compare-and-swap, leases and watches,
// the lagging list of instances, reboots, and switches for its faults.
package bbrplatform
