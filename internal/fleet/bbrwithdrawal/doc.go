// Package bbrwithdrawal takes instances out of service: it first acquires a permit
// from the permit registry and then writes the restriction to the zone's view. It
// also releases the permits of instances that serve again.
package bbrwithdrawal
