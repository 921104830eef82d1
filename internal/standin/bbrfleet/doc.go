// Package bbrfleet is a stand-in for the platform's fleet, for tests and the
// demo: the store, the list of instances and the upstreams. It implements the part
// of the platform's protocol that the daemon uses and keeps everything in memory.
// It records every violation of the execution guarantees: work units that run
// twice at once, that run again after they were done, or that start out of order.
package bbrfleet
