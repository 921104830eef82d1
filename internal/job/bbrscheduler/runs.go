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
	u.slowLogged = false
	u.lastRun = max(u.lastRun, number)
	u.step.job.runCount++
	up.allocate(r)
	sched.observeStart(r, now)
	if account := sched.account(u.step.job); account != nil {
		account.Used = account.Used.Plus(u.step.spec.Need)
	}
	sched.countShare(u.step, false, now)
	return r
}

// allocate adds a run to the upstream with the resources that it takes.
func (up *upstream) allocate(r *run) {
	up.runs[r.key()] = r
	up.used = up.used.Plus(r.allocation)
	if r.unit.step.spec.LongRunning {
		up.longRunning++
		up.longRunningUsage = up.longRunningUsage.Plus(r.allocation)
	}
}

// release removes a run from the upstream and frees its resources.
func (up *upstream) release(r *run) {
	delete(up.runs, r.key())
	up.used = up.used.Minus(r.allocation)
	if r.unit.step.spec.LongRunning {
		up.longRunning--
		up.longRunningUsage = up.longRunningUsage.Minus(r.allocation)
	}
}

// dropRun removes a run that has certainly ended, and frees its resources.
func (sched *Scheduler) dropRun(r *run, now time.Time) {
	u := r.unit
	at := slices.Index(u.runs, r)
	if at < 0 {
		return
	}
	u.runs = slices.Delete(u.runs, at, at+1)
	sched.awaitLateStart(r, now)
	u.step.job.runDropped()
	if len(u.runs) == 0 && !u.done {
		u.step.idleUnits++
	}
	if !u.done {
		u.freedAt, u.slowCounted = now, false
	}
	r.up.release(r)
	sched.observeDrop(r, now)
	if account := sched.account(u.step.job); account != nil {
		account.Used = account.Used.Minus(u.step.spec.Need)
	}
	sched.countShare(u.step, true, now)
}

// runKey identifies a run on an upstream.
type runKey struct {
	unit   bbrwork.Unit
	number int
}

func (r *run) key() runKey { return runKey{r.unit.name(), r.number} }

// markChanged records that the job has to be stored.
func (sched *Scheduler) markChanged(j *job) {
	j.version++
	sched.dirty[j.ID] = j
}
