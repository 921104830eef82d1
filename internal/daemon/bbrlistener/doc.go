// Package bbrlistener is an HTTP server on one address with the bounds and
// timeouts that every listener of the daemon has.
package bbrlistener
