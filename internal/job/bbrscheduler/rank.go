package bbrscheduler

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a step with work units to start, and its rank.
type candidate struct {
	step *step
	// tier 0 is work that lasts, 1 work that can meet its objective, 2 the rest.
	tier     int
	priority int
	// fresh is 1 where nothing of the job has run: what was begun is worth
	// finishing first.
	fresh int
	by    time.Time
}

func (p *planner) candidates() []candidate {
	var list []candidate
	for _, job := range p.ledger.jobs {
		if job.final != "" || job.cancelled || p.mayRunUnlocated(job) || !p.ledger.mayBegin(job) {
			continue
		}
		for _, o := range job.occurrences {
			if o.left == 0 {
				continue
			}
			list = p.stepsOf(job, o, list)
		}
	}
	slices.SortFunc(list, compareCandidates)
	return list
}

func (p *planner) stepsOf(job *job, o *occurrence, list []candidate) []candidate {
	by := job.objective(o)
	for _, s := range o.steps {
		if s.idle > 0 && s.left > 0 && s.open(p.now) && p.mayHaveRoom(s) {
			list = append(list, p.rank(s, by))
		}
	}
	return list
}

// mayHaveRoom tells whether it is worth looking for room for the step.
func (p *planner) mayHaveRoom(s *step) bool {
	return s.shape.Gang || p.anyRoom(s)
}

// freshMargin is how much time more a job needs to be begun: starts take a
// while, and estimates are rough.
const freshMargin = 200 * time.Millisecond

func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.priority, b.priority), cmp.Compare(a.fresh, b.fresh), a.by.Compare(b.by),
		cmp.Compare(a.step.job.ID, b.step.job.ID), cmp.Compare(a.step.occurrence.number, b.step.occurrence.number), cmp.Compare(a.step.number, b.step.number))
}

func (p *planner) rank(s *step, by time.Time) candidate {
	c := candidate{step: s, tier: 1, by: by}
	if !s.job.begun {
		c.fresh = 1
	}
	if s.job.terms != nil {
		c.priority = s.job.terms.Priority
	}
	switch {
	case s.shape.Lasting && !s.shape.Fills:
		c.tier = 0
	case s.shape.Lasting:
		c.tier = 1
	case p.now.Add(s.remaining).After(by.Add(-time.Duration(c.fresh) * freshMargin)):
		c.tier = 2
	}
	return c
}
