// Package bbrview defines the view of an availability zone: the registered
// entries, the instances with their pools and states, and the transitions
// between them. It does no I/O: every change is a function from a view to a
// view, and the platform's compare-and-swap on the whole document orders the
// changes.
//
// The safety of drains, moves and membership changes rests on one rule. Every
// sender obeys a restriction as soon as it reads it. A permission is committed
// only at a version at which every registered sender has acknowledged the
// restriction with nothing in flight, or has provably terminated.
package bbrview
