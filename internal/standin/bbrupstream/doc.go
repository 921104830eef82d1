// Package bbrupstream is a stand-in for an upstream instance, for development
// and tests only. It counts the requests that it ran by idempotency key and can
// inject the faults of upstreams.
package bbrupstream
