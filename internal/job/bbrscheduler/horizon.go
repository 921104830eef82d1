package bbrscheduler

import (
	"math"

	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// horizon is the highest store revision of jobs that an owner may have started. An
// owner stores it with its transactions and thereby before it starts later jobs. A
// successor reads it after its own claim, when the earlier owner can no longer
// raise it even if that owner still considers its claim valid. Jobs beyond the
// horizon have certainly not been started, and need not wait until the earlier
// owner's work is located.
type horizon struct {
	// stored is the stored horizon: this owner starts no job beyond it.
	stored bbrkv.Revision
	// inherited is the horizon of earlier owners; unboundedHorizon if it is
	// unknown.
	inherited bbrkv.Revision
	// newest is the highest known revision of the store.
	newest bbrkv.Revision
	// raiseNeeded means that a job beyond the horizon waits to be started.
	raiseNeeded bool
}

const (
	// horizonLead is the number of store changes by which a new horizon is ahead,
	// so that jobs that arrive before the owner's next transaction start at once.
	horizonLead = 150
	// unboundedHorizon means that any job may have been started.
	unboundedHorizon = bbrkv.Revision(math.MaxInt64)
)

// observe records a revision of the store.
func (h *horizon) observe(revision bbrkv.Revision) { h.newest = max(h.newest, revision) }

// inherit sets the horizon that an earlier owner stored; 0 means that it is
// unknown.
func (h *horizon) inherit(stored bbrkv.Revision) {
	h.inherited = stored
	if stored == 0 {
		h.inherited = unboundedHorizon
	}
}

// next returns the horizon to store. Until earlier work is located and all jobs that it
// belongs to are known, it never falls below the horizon of an earlier owner: a further
// successor needs the higher of the two.
func (h *horizon) next(earlierWorkKnown bool) bbrkv.Revision {
	next := max(h.stored, h.newest+horizonLead)
	switch {
	case earlierWorkKnown:
		return next
	case h.inherited == unboundedHorizon:
		return 0
	default:
		return max(next, h.inherited)
	}
}

// advance records that the horizon is stored.
func (h *horizon) advance(stored bbrkv.Revision) {
	h.stored = max(h.stored, stored)
	h.raiseNeeded = false
}

// mayStart reports whether the job is within the stored horizon, and requests a
// higher horizon if it is not.
func (sched *Scheduler) mayStart(job *job) bool {
	if job.storedRevision <= sched.horizon.stored {
		return true
	}
	sched.horizon.raiseNeeded = true
	return false
}

// beyondHorizon reports whether the job is beyond the stored horizon. Unlike
// mayStart it requests nothing.
func (sched *Scheduler) beyondHorizon(job *job) bool {
	return job.storedRevision > sched.horizon.stored
}

// mayHaveUnlocatedRuns reports whether an earlier owner may have started work units
// of the job on an upstream that has not answered this owner yet. If the earlier horizon is
// unknown, that holds for all jobs until the last one is loaded, as no horizon can be stored
// before.
func (p *planner) mayHaveUnlocatedRuns(job *job) bool {
	if p.sched.waitsForAllJobs() {
		return true
	}
	return job.storedRevision <= p.sched.horizon.inherited && !p.sched.EarlierWorkLocated(p.now)
}
