// Package bbrtraffic counts the bytes of control connections, to the platform and
// between entries, as they are sent over the network.
package bbrtraffic
