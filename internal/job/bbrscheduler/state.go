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

// State returns the state of a job for its callers. An end is told only once it
// is stored. A job that is not known may exist: the ledger may not have heard of
// it yet, or have forgotten it.
func (l *Scheduler) State(id string) (state bbrwork.State, known bool) {
	if ended, ok := l.endedJobs[id]; ok {
		return ended.state, true
	}
	job := l.jobs[id]
	switch {
	case job == nil:
		return "", false
	case l.leaving[id] != nil:
		return job.final, true
	case job.begun:
		return bbrwork.Running, true
	default:
		return bbrwork.Pending, true
	}
}
