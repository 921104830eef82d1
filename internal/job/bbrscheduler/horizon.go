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
	// inherited is that of the owner before; anyHorizon where it is not known.
	inherited bbrkv.Revision
	// newest is the highest revision of the store that is known.
	newest bbrkv.Revision
	// raiseNeeded means that a job beyond the horizon waits to be begun.
	raiseNeeded bool
}

const (
	// horizonLead is by how many changes of the store a horizon is ahead, so that
	// jobs which come until the owner's next transaction begin at once.
	horizonLead = 150
	// unboundedHorizon allows that any job was begun.
	unboundedHorizon = bbrkv.Revision(math.MaxInt64)
)

// observe notes a revision of the store.
func (h *horizon) observe(revision bbrkv.Revision) { h.newest = max(h.newest, revision) }

// inherit takes the horizon that an earlier owner stored; 0 tells nothing.
func (h *horizon) inherit(stored bbrkv.Revision) {
	h.inherited = stored
	if stored == 0 {
		h.inherited = unboundedHorizon
	}
}

// next returns the horizon to store. It never falls below that of an earlier
// owner: a further successor needs to know of both.
func (h *horizon) next(settled bool) bbrkv.Revision {
	next := max(h.stored, h.newest+horizonLead)
	switch {
	case settled:
		return next
	case h.inherited == unboundedHorizon:
		return 0
	default:
		return max(next, h.inherited)
	}
}

// advance notes that the horizon is stored.
func (h *horizon) advance(stored bbrkv.Revision) {
	h.stored = max(h.stored, stored)
	h.raiseNeeded = false
}

// mayStart tells whether work of the job may be started as far as a successor is
// concerned, and asks for a further horizon otherwise.
func (sched *Scheduler) mayStart(job *job) bool {
	if job.storedRevision <= sched.horizon.stored {
		return true
	}
	sched.horizon.raiseNeeded = true
	return false
}

// beyondHorizon tells whether mayBegin asks for a further horizon.
func (sched *Scheduler) beyondHorizon(job *job) bool {
	return job.storedRevision > sched.horizon.stored
}

// mayHaveUnlocatedRuns tells whether an earlier owner may have started work units of
// the job on an upstream that was not reached yet.
func (p *planner) mayHaveUnlocatedRuns(job *job) bool {
	return job.storedRevision <= p.sched.horizon.inherited && !p.sched.EarlierWorkLocated(p.now)
}
