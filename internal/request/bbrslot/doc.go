// Package bbrslot counts an entry's requests in flight on one instance against
// the entry's share. Limit and count stand in one atomic word, so a limit that
// was lowered to zero with a count of zero proves that nothing is in flight and
// nothing will be.
package bbrslot
