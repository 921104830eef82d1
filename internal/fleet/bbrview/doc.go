// Package bbrview holds the view of an availability zone: the registered
// entries, the instances with their pools and states, and the transitions
// between them. It is pure: every change is a function from a view to a view,
// and the platform's compare-and-swap on the whole document orders them.
//
// One rule carries the safety of drains, moves and memberships. A restriction
// is obeyed by every sender on sight. A permission is committed only at a
// version at which every registered sender has acknowledged the restriction
// with nothing in flight, or is provably gone.
package bbrview
