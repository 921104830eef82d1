package bbrscheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrquota"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Placement is where the work units of a job that is not stored would start now, by the
// functions that plan the starts.
type Placement struct {
	// State is the state of a job with the same ID that the owner knows; the other fields
	// are then empty.
	State bbrwork.State `json:"state,omitempty"`
	// Objective is the time by which the first occurrence should be completed.
	Objective time.Time      `json:"objective,omitzero"`
	Priority  int            `json:"priority"`
	Upstreams UpstreamCounts `json:"upstreams"`
	// Steps has the steps of the first occurrence, at most maxPlacedSteps.
	Steps []StepPlacement `json:"steps,omitempty"`
	// OmittedSteps counts the others of that occurrence.
	OmittedSteps int `json:"omittedSteps,omitempty"`
}

// StepPlacement is where work units of one step would start now. Running counts them,
// and Upstreams has the upstreams of the first of them.
type StepPlacement struct {
	StepExplanation
	Tier int `json:"tier"`
	// StepsBefore counts the waiting steps of other jobs that fit now and are started
	// first, and UnitsBefore their work units. They may take the capacity.
	StepsBefore int `json:"stepsBefore"`
	UnitsBefore int `json:"unitsBefore"`
}

const (
	// maxPlacedSteps bounds the steps of a Placement, and maxPlacedUpstreams the
	// upstreams of each, so that an answer stays small.
	maxPlacedSteps     = 50
	maxPlacedUpstreams = 8
)

// Place returns where the work units of a job would start if it were stored now. It
// returns false for a job that the shard cannot run. It changes nothing: it plans the
// job alone, on copies of what a plan changes. Reservations and preemptions that the job
// would cause are not planned. confirmed reports whether the owner's claim is confirmed.
func (sched *Scheduler) Place(in *bbrwork.Job, confirmed bool, now time.Time) (Placement, bool) {
	if in.Shard() != sched.Shard || in.Validate() != nil {
		return Placement{}, false
	}
	if state, known := sched.State(in.ID); known {
		return Placement{State: state}, true
	}
	trial := sched.trialCopy(in.Organisation)
	j := trial.newTrialJob(in, now)
	p := trial.survey(now)
	p.beginQuota()
	p.beginShares()
	others := p.candidates()
	var own []candidate
	if !p.mayHaveUnlocatedRuns(j) && !trial.beyondHorizon(j) {
		for _, o := range j.occurrences {
			own = p.appendSteps(j, o, own)
		}
	}
	result := Placement{Objective: j.objective(j.occurrences[0]), Upstreams: p.upstreamCounts()}
	if j.policy != nil {
		result.Priority = j.policy.Priority
	}
	ranks := p.trialRanks(j.occurrences[0])
	slices.SortFunc(own, compareCandidates)
	for _, c := range own {
		switch {
		case !confirmed:
		case c.step.spec.Gang:
			p.startGang(c.step)
		default:
			p.startStep(c.step)
		}
	}
	for _, c := range ranks[:min(len(ranks), maxPlacedSteps)] {
		result.Steps = append(result.Steps, p.describePlacement(c, others, confirmed))
	}
	result.OmittedSteps = len(ranks) - len(result.Steps)
	return result, true
}

// trialRanks returns the ranks of the steps of an occurrence before any of them starts.
func (p *planner) trialRanks(o *occurrence) []candidate {
	ranks := make([]candidate, len(o.steps))
	for i, s := range o.steps {
		ranks[i] = p.rank(s, s.job.objective(o))
		ranks[i].shareRank = p.rankInShare(ranks[i])
	}
	return ranks
}

// describePlacement describes a step after its starts were planned.
func (p *planner) describePlacement(c candidate, others []candidate, confirmed bool) StepPlacement {
	placed := StepPlacement{StepExplanation: p.explainStep(c.step, confirmed), Tier: c.tier}
	placed.Upstreams = placed.Upstreams[:min(len(placed.Upstreams), maxPlacedUpstreams)]
	if !c.step.runnable(p.now) {
		return placed
	}
	for _, other := range others {
		if compareCandidates(other, c) < 0 {
			placed.StepsBefore++
			placed.UnitsBefore += other.step.idleUnits
		}
	}
	return placed
}

// newTrialJob returns a job as AddJob would add it if it were the next change of the store.
func (sched *Scheduler) newTrialJob(in *bbrwork.Job, now time.Time) *job {
	policy := in.Policy
	if configured := sched.config.Queues[in.Queue].Policy(); configured != nil {
		policy = configured
	}
	j := newJob(in, policy, sched.horizon.newest+1, sched.runTimes, &heldBytes{}, now)
	j.hold(0)
	j.holdDue(now)
	return j
}

// trialCopy returns a copy of the scheduler on which starts of a new job of the
// organisation can be planned without a change to the original. Jobs and runs are
// shared, and must not be changed.
func (sched *Scheduler) trialCopy(organisation string) *Scheduler {
	trial := *sched
	trial.notes, trial.notesDropped = nil, 0
	trial.advice = make(map[string]*stepAdvice)
	trial.accounts = make(map[string]*bbrquota.Account)
	if account := sched.accounts[organisation]; account != nil {
		copied := *account
		trial.accounts[organisation] = &copied
	}
	trial.trial = true
	trial.fair = sched.fair.trialCopy()
	// Steps other than the trial's must not reserve or preempt either.
	trial.ReserveCapacity = false
	copies := make(map[*upstream]*upstream, len(sched.upstreams))
	trial.upstreams = make(map[string]*upstream, len(sched.upstreams))
	for id, up := range sched.upstreams {
		copied := *up
		copied.runs = maps.Clone(up.runs)
		copies[up], trial.upstreams[id] = &copied, &copied
	}
	trial.sorted = nil
	trial.reservations = copyReservations(sched.reservations, copies)
	return &trial
}

// trialCopy returns a copy whose members' use can change without a change to the original.
func (f *fairShares) trialCopy() fairShares {
	trial := fairShares{weighted: f.weighted, capacity: f.capacity, members: make(map[string]*shareMember, len(f.members))}
	for name, m := range f.members {
		copied := *m
		trial.members[name] = &copied
	}
	return trial
}

// copyReservations returns copies of reservations that hold the copies of the upstreams.
func copyReservations(reservations []*reservation, copies map[*upstream]*upstream) []*reservation {
	copied := make([]*reservation, len(reservations))
	for i, r := range reservations {
		c := *r
		c.holds = make([]*hold, len(r.holds))
		for at, h := range r.holds {
			part := *h
			part.reservation = &c
			if up := copies[h.up]; up != nil {
				part.up, up.hold = up, &part
			}
			c.holds[at] = &part
		}
		copied[i] = &c
	}
	return copied
}
