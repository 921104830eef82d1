package bbrrevision

import "sync/atomic"

// Revision is a configuration with its revision, the version that the
// platform gave it.
type Revision struct {
	// Number grows with every change; 0 stands for no configuration.
	Number uint64
	Config Config
}

// Holder keeps the newest known revision of a process. Readers never block.
type Holder struct {
	current atomic.Pointer[Revision]
}

// Current returns the newest revision; its Number is 0 before the first Offer.
func (h *Holder) Current() *Revision {
	if revision := h.current.Load(); revision != nil {
		return revision
	}
	return &Revision{}
}

// Offer installs a revision if it is newer than the present one, whatever its
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
