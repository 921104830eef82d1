package bbrscheduler

import (
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// addRun adds a run to an upstream and allocates its resources there.
func (sched *Scheduler) addRun(u *unit, number int, up *upstream, now time.Time) *run {
	r := &run{unit: u, number: number, up: up, allocation: u.step.spec.Allocation(), orderedAt: now, pace: fullPace}
	if len(u.runs) == 0 && !u.done {
		u.step.idleUnits--
	}
	u.runs = append(u.runs, r)
	u.lastRun = max(u.lastRun, number)
	u.step.job.started = true
	up.runs[runKey{u.name(), number}] = r
	up.used = up.used.Plus(r.allocation)
	if account := sched.account(u.step.job); account != nil {
		account.Used = account.Used.Plus(u.step.spec.Need)
	}
	if u.step.spec.LongRunning {
		up.longRunning++
		up.longRunningUsage = up.longRunningUsage.Plus(r.allocation)
	}
	return r
}

// dropRun removes a run that has certainly ended, and frees its resources.
func (sched *Scheduler) dropRun(r *run, now time.Time) {
	u := r.unit
	at := slices.Index(u.runs, r)
	if at < 0 {
		return
	}
	u.runs = slices.Delete(u.runs, at, at+1)
	if len(u.runs) == 0 && !u.done {
		u.step.idleUnits++
	}
	if !u.done {
		u.freedAt, u.slowCounted = now, false
	}
	delete(r.up.runs, runKey{u.name(), r.number})
	r.up.used = r.up.used.Minus(r.allocation)
	if account := sched.account(u.step.job); account != nil {
		account.Used = account.Used.Minus(u.step.spec.Need)
	}
	if u.step.spec.LongRunning {
		r.up.longRunning--
		r.up.longRunningUsage = r.up.longRunningUsage.Minus(r.allocation)
	}
}

// runKey identifies a run on an upstream.
type runKey struct {
	unit   bbrwork.Unit
	number int
}

// markChanged records that the job has to be stored.
func (sched *Scheduler) markChanged(j *job) {
	j.version++
	sched.dirty[j.ID] = j
}
