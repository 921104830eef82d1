package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// endedJob is a job whose end is stored.
type endedJob struct {
	at    time.Time
	state bbrwork.State
}

// State returns the state of a job for its callers. The end of a job is reported
// only once it is stored. An unknown job may exist all the same: the scheduler may
// not have learned of it yet, or have dropped it.
func (sched *Scheduler) State(id string) (state bbrwork.State, known bool) {
	if ended, ok := sched.endedJobs[id]; ok {
		return ended.state, true
	}
	job := sched.jobs[id]
	switch {
	case job == nil:
		return "", false
	case sched.endedWithRuns[id] != nil:
		return job.finalState, true
	case job.begun:
		return bbrwork.Running, true
	default:
		return bbrwork.Pending, true
	}
}
