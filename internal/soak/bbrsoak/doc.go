// Package bbrsoak runs entries as processes against a stand-in fleet, brings
// seeded trouble to them from outside, and checks the promises from what callers
// and upstreams saw.
package bbrsoak
