// Package bbrsoak runs entries as processes against a stand-in fleet, injects seeded
// faults from outside, and checks the guarantees by what callers and upstreams
// observed.
package bbrsoak
