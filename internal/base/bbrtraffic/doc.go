// Package bbrtraffic counts the bytes of control connections, to the platform
// and between entries, as they go over the wire.
package bbrtraffic
