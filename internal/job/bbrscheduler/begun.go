package bbrscheduler

import (
	"encoding/json"
	"slices"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// What is known about the beginning of a job has several degrees, and a decision uses the one
// that it needs:
//   - job.runCount > 0: runs of it are known, starts in flight included, which may be refused or
//     get no answer;
//   - job.mayHaveBegun: something of it has run or may run, so that it is ranked as a job that is
//     to be finished;
//   - job.begun: a work unit has certainly started, as upstreams tell. Callers are told this, and
//     so are successors and other cells. It never becomes false again;
//   - job.finalState: the job has ended.
//
// A start without an answer, or a member of a gang that waits for the others, has not begun for
// certain. Callers that ask for the number of waiting jobs may be told too many for a moment,
// but not too few.

// mayHaveBegun reports whether something of the job has run, or may run now.
func (j *job) mayHaveBegun() bool { return j.begun || j.runCount > 0 }

// runDropped records that a run of the job has ended, or was not started.
func (j *job) runDropped() {
	j.runCount--
	if !j.mayHaveBegun() {
		j.begunInShare = false
	}
}

// markBegun records that a work unit of the job has certainly started.
func (sched *Scheduler) markBegun(j *job) {
	if j.begun {
		return
	}
	j.begun = true
	if j.storedUnbegun {
		sched.markChanged(j)
	}
}

// confirmBegun records what follows from a run that its upstream has accepted or listed. The
// members of a gang begin together, once all are there.
func (sched *Scheduler) confirmBegun(r *run) {
	job, s := r.unit.step.job, r.unit.step
	if job.begun {
		return
	}
	if !s.spec.Gang || r.percent > 0 && !s.spec.LongRunning || r.unit.checkpoint != "" {
		sched.markBegun(job)
		return
	}
	for _, member := range s.units {
		if !member.confirmedRun(r.number) {
			return
		}
	}
	sched.markBegun(job)
}

// confirmedRun reports whether the run of the number was accepted or listed.
func (u *unit) confirmedRun(number int) bool {
	return slices.ContainsFunc(u.runs, func(r *run) bool {
		return r.number == number && (r.phase == phaseRunning || !r.listedAt.IsZero())
	})
}

// unitListed records that a run of the work unit was on an upstream. That does not tell whether
// the other members of its gang were there.
func (sched *Scheduler) unitListed(u *unit) {
	if !u.step.spec.Gang {
		sched.markBegun(u.step.job)
	}
}

// HasBegun reports whether the progress shows that a work unit has certainly started.
func (p *Progress) HasBegun() bool {
	if p.Begun {
		return true
	}
	// Earlier versions do not tell it.
	for _, steps := range p.Occurrences {
		for i := range steps {
			if s := &steps[i]; hasAnyBit(s.Done) || len(s.FailedRuns) > 0 || len(s.Checkpoints) > 0 {
				return true
			}
		}
	}
	c := p.Compact
	return c != nil && (hasAnyBit(c.Done) || len(c.FailedRuns) > 0 || len(c.Checkpoints) > 0)
}

func hasAnyBit(bitset []byte) bool {
	return slices.ContainsFunc(bitset, func(bits byte) bool { return bits != 0 })
}

// StoredState returns the state of a job that has not ended, by its stored progress. It returns
// an error if that cannot be decoded.
func StoredState(progress []byte) (bbrwork.State, error) {
	var stored Progress
	if err := json.Unmarshal(progress, &stored); err != nil {
		return "", err
	}
	if stored.HasBegun() {
		return bbrwork.Running, nil
	}
	return bbrwork.Pending, nil
}
