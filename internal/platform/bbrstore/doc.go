// Package bbrstore defines the interface of the platform's key-value service,
// with compare-and-swap, leases and watches as function fields, and implements
// it by the service's HTTP protocol.
//
// If the response to a write is lost, Document.Save and Document.Update find out
// whether it took effect: they read the value back and look for the operation ID
// that the document records.
package bbrstore
