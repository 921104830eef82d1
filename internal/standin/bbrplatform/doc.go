// Package bbrplatform is a stand-in for the platform, for development and
// tests only: the key-value service with compare-and-swap, leases and watches,
// the list of instances, which lags behind, reboots, and fault injection.
package bbrplatform
