package bbrrevision

import "sync/atomic"

// Revision is a configuration with its revision number, which is its version in
// the platform's store.
type Revision struct {
	// Number increases with every change; 0 means that there is no configuration.
	Number uint64
	Config Config
}

// Holder holds the newest revision that a process knows. Readers never block.
type Holder struct {
	current atomic.Pointer[Revision]
}

// Current returns the newest revision; its Number is 0 before the first call of
// Offer.
func (h *Holder) Current() *Revision {
	if revision := h.current.Load(); revision != nil {
		return revision
	}
	return &Revision{}
}

// Offer replaces the current revision if the given one is newer, whatever its
// source, and reports whether it did.
func (h *Holder) Offer(revision *Revision) bool {
	for {
		current := h.current.Load()
		if current != nil && current.Number >= revision.Number {
			return false
		}
		if h.current.CompareAndSwap(current, revision) {
			return true
		}
	}
}
