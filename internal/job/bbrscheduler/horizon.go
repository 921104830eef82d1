package bbrscheduler

import (
	"math"

	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// horizon bounds by their revision in the store the jobs that an owner may have
// begun. An owner stores it with its transactions, so before it starts work of
// later jobs, and a successor reads it after its own claim: the earlier owner
// cannot raise it any more, whatever it still believes. Jobs beyond it are
// certainly not begun, and need not wait until the work of the earlier owner is
// located.
type horizon struct {
	// stored is what the store has: this owner begins no job beyond it.
	stored bbrkv.Revision
	// earlier is that of the owner before; anyHorizon where it is not known.
	earlier bbrkv.Revision
	// newest is the highest revision of the store that is known.
	newest bbrkv.Revision
	// short means that a job beyond the horizon waits to be begun.
	short bool
}

const (
	// horizonAhead is by how many changes of the store a horizon is ahead, so that
	// jobs which come until the owner's next transaction begin at once.
	horizonAhead = 150
	// anyHorizon allows that any job was begun.
	anyHorizon = bbrkv.Revision(math.MaxInt64)
)

// learn notes a revision of the store.
func (h *horizon) learn(revision bbrkv.Revision) { h.newest = max(h.newest, revision) }

// inherit takes the horizon that an earlier owner stored; 0 tells nothing.
func (h *horizon) inherit(stored bbrkv.Revision) {
	h.earlier = stored
	if stored == 0 {
		h.earlier = anyHorizon
	}
}

// next returns the horizon to store. It never falls below that of an earlier
// owner: a further successor needs to know of both.
func (h *horizon) next(settled bool) bbrkv.Revision {
	next := max(h.stored, h.newest+horizonAhead)
	switch {
	case settled:
		return next
	case h.earlier == anyHorizon:
		return 0
	default:
		return max(next, h.earlier)
	}
}

// advance notes that the horizon is stored.
func (h *horizon) advance(stored bbrkv.Revision) {
	h.stored = max(h.stored, stored)
	h.short = false
}

// mayBegin tells whether work of the job may be started as far as a successor is
// concerned, and asks for a further horizon otherwise.
func (l *Scheduler) mayBegin(job *job) bool {
	if job.stored <= l.horizon.stored {
		return true
	}
	l.horizon.short = true
	return false
}

// beyondHorizon tells whether mayBegin asks for a further horizon.
func (l *Scheduler) beyondHorizon(job *job) bool { return job.stored > l.horizon.stored }

// mayRunUnlocated tells whether an earlier owner may have started work units of
// the job on an upstream that was not reached yet.
func (p *planner) mayRunUnlocated(job *job) bool {
	return job.stored <= p.ledger.horizon.earlier && !p.ledger.EarlierWorkLocated(p.now)
}
