// Package bbrfleet is a stand-in for the platform's fleet, for tests and the
// demo: the store, the list of instances and the upstreams, over the platform's
// protocol as far as the daemon speaks it. It keeps everything in memory and
// notes each work unit that runs twice at once or again after it was done.
package bbrfleet
