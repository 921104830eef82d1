// Package bbrrelay is a stand-in for the network between two processes, for
// tests only. It forwards TCP connections and injects network faults: delay, lost
// replies, partitions, and connections that are blackholed while new ones work, as
// when a firewall loses its connection state.
package bbrrelay
