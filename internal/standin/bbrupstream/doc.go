// Package bbrupstream is a stand-in for an upstream instance, for development
// and tests only. It counts what it ran by idempotency key and has switches
// for the faults of upstreams.
package bbrupstream
