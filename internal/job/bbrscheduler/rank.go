package bbrscheduler

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a step with work units to start, and its rank.
type candidate struct {
	step *step
	// tier is 0 for long-running work that is not best-effort, 1 for long-running
	// best-effort work and finite work that can meet its objective, and 2 for other
	// finite work.
	tier int
	// member is the organisation in whose share the work has to fit; nil if it is not
	// subject to shares.
	member    *shareMember
	shareRank shareRank
	priority  int
	// unstarted is 0 if something of the job has run or may run, and 1 otherwise: jobs that
	// have started are finished first.
	unstarted int
	objective time.Time
}

func (p *planner) candidates() []candidate {
	var list []candidate
	for _, job := range p.sched.jobs {
		if job.finalState != "" || job.cancelled || job.transfer.leaving || p.jobWaitsForLocation(job) || !p.sched.mayStart(job) {
			continue
		}
		for _, o := range job.occurrences {
			if o.unitsLeft == 0 {
				continue
			}
			list = p.appendSteps(job, o, list)
		}
	}
	p.divideShares()
	for i := range list {
		list[i].shareRank = p.rankInShare(list[i])
	}
	slices.SortFunc(list, compareCandidates)
	return list
}

func (p *planner) appendSteps(job *job, o *occurrence, list []candidate) []candidate {
	objective := job.objective(o)
	partlyLocated := p.mayHaveUnlocatedRuns(job)
	for _, s := range o.steps {
		if s.idleUnits <= 0 || s.unitsLeft <= 0 || !s.runnable(p.now) || p.waitsForLocation(s) {
			continue
		}
		if !partlyLocated {
			p.consider(s, objective)
		}
		p.awaitShare(s)
		if p.mayFit(s) {
			list = append(list, p.rank(s, objective))
		}
	}
	return list
}

// mayFit reports whether it is worth looking for an upstream for the step.
func (p *planner) mayFit(s *step) bool {
	return s.spec.Gang || p.fitsAnywhere(s)
}

// unstartedMargin is the additional time that a job needs before its first start:
// starts take a while, and estimates are rough.
const unstartedMargin = 200 * time.Millisecond

func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.shareRank, b.shareRank), cmp.Compare(a.priority, b.priority), cmp.Compare(a.unstarted, b.unstarted), a.objective.Compare(b.objective),
		cmp.Compare(a.step.job.ID, b.step.job.ID), cmp.Compare(a.step.occurrence.number, b.step.occurrence.number), cmp.Compare(a.step.number, b.step.number))
}

func (p *planner) rank(s *step, objective time.Time) candidate {
	c := candidate{step: s, tier: 1, member: p.memberOf(s), objective: objective}
	if !s.job.mayHaveBegun() {
		c.unstarted = 1
	}
	if s.job.policy != nil {
		c.priority = s.job.policy.Priority
	}
	switch {
	case s.spec.LongRunning && !s.spec.BestEffort:
		c.tier = 0
	case s.spec.LongRunning:
		c.tier = 1
	case p.now.Add(s.remainingPath).After(objective.Add(-time.Duration(c.unstarted) * unstartedMargin)):
		c.tier = 2
	}
	return c
}
