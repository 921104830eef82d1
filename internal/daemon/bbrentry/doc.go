// Package bbrentry contains the state of an entry daemon: its identity, the view
// and the configuration in force, the routing table derived from them, and the time
// until which it may send requests to upstreams.
package bbrentry
