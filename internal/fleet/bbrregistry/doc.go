// Package bbrregistry maintains a local copy of the upstream registrations in the
// store, and selects the upstreams of a shard from it.
package bbrregistry
