// Package bbrentry is the live state of an entry daemon: who it is, which view
// and configuration it obeys, the routing table that follows from them, and
// until when it may send.
package bbrentry
