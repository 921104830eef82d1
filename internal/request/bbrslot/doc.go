// Package bbrslot limits an entry's requests in flight on one instance to the
// entry's share. The limit and the count are stored in one atomic word.
// Therefore, a limit of zero with a count of zero proves that no request is in
// flight and that none will be.
package bbrslot
