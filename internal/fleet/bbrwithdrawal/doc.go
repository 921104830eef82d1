// Package bbrwithdrawal takes an instance out of service: a permit from the
// ledger first, then the restriction in the zone's view. It also gives permits
// back once an instance serves again.
package bbrwithdrawal
