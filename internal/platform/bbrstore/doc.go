// Package bbrstore is the platform's key-value service as the rest of the
// system sees it: compare-and-swap, leases and watches behind function
// fields, with an adapter that speaks the service's HTTP protocol.
//
// A write whose answer was lost is settled by Update, which reads the value
// back and compares the operation ID that the document carries.
package bbrstore
