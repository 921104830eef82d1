// Package bbrlistener provides an HTTP server on one address with the limits and
// timeouts that apply to every listener of the daemon.
package bbrlistener
