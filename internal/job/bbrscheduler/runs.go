package bbrscheduler

import (
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// addRun puts a run on an upstream and takes its room.
func (l *Scheduler) addRun(u *unit, number int, up *upstream, now time.Time) *run {
	r := &run{unit: u, number: number, up: up, taken: u.step.shape.Taken(), ordered: now, pace: fullPace}
	if len(u.runs) == 0 && !u.done {
		u.step.idle--
	}
	u.runs = append(u.runs, r)
	u.last = max(u.last, number)
	u.step.job.begun = true
	up.runs[runKey{u.name(), number}] = r
	up.used = up.used.Plus(r.taken)
	if u.step.shape.Lasting {
		up.lasting++
		up.held = up.held.Plus(r.taken)
	}
	return r
}

// dropRun forgets a run that is certainly not at work any more.
func (l *Scheduler) dropRun(r *run, now time.Time) {
	u := r.unit
	at := slices.Index(u.runs, r)
	if at < 0 {
		return
	}
	u.runs = slices.Delete(u.runs, at, at+1)
	if len(u.runs) == 0 && !u.done {
		u.step.idle++
	}
	if !u.done {
		u.freed, u.slow = now, false
	}
	if u.awaySince.IsZero() {
		u.awaySince = now
	}
	delete(r.up.runs, runKey{u.name(), r.number})
	r.up.used = r.up.used.Minus(r.taken)
	if u.step.shape.Lasting {
		r.up.lasting--
		r.up.held = r.up.held.Minus(r.taken)
	}
}

// runKey names a run on an upstream.
type runKey struct {
	unit   bbrwork.Unit
	number int
}

// markChanged notes that the job has to be stored.
func (l *Scheduler) markChanged(j *job) {
	j.changed++
	l.dirty[j.ID] = j
}
