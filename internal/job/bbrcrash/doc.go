// Package bbrcrash decides what to do with a work unit whose upstreams crash while it
// runs on them.
//
// The end of an incarnation does not say which of its runs caused it, if any did. So
// each run there counts a crash for its work unit, and the count decides how the unit
// is tried next: apart from other suspects, then alone on an upstream, where a crash
// accuses nobody else. A unit that ends well is cleared. The count is stored before the
// next start, under a key of its own.
package bbrcrash
