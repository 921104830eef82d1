package bbrmaintenance

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// modelInstance is an instance with the runs of its present incarnation.
type modelInstance struct {
	bbrmachine.Instance
	returnsAt time.Time
	// incarnations counts the incarnations, and startedAt is when the present one started.
	incarnations int
	startedAt    time.Time
	// running holds the present runs, ordered by compareRuns.
	running []modelRun
	// highestEnded is the highest number of a run that has ended, by work unit.
	highestEnded   map[bbrwork.Unit]int
	unacknowledged []modelEnd
	lastEnd        int64
	lease          time.Duration
	// unreachableUntil is the time until which owners do not reach the instance.
	unreachableUntil time.Time
}

// modelRun is a run and the time at which it ends. A zero time means never.
type modelRun struct {
	unit   bbrwork.Unit
	run    int
	endsAt time.Time
}

// modelEnd is the end of a run that the owner has not acknowledged.
type modelEnd struct {
	bbrwork.RunEnd
	at time.Time
	// lapsed means that the lease expired after this end, so that the end is invalid.
	lapsed bool
}

// boot starts an instance's next incarnation. Instances of the spare pool have none.
func (m *model) boot(instance *modelInstance) {
	instance.Status = bbrmachine.StatusUp
	if instance.Pool == m.sparePool && m.sparePool != "" {
		return
	}
	instance.incarnations++
	instance.Upstream = fmt.Sprintf("%s-%d", instance.ID, instance.incarnations)
	instance.startedAt, instance.lease, instance.lastEnd, instance.unacknowledged = m.now, 0, 0, nil
	instance.running, instance.highestEnded = nil, make(map[bbrwork.Unit]int)
	m.instancesByUpstream[instance.Upstream] = instance
}

// tick ends the runs of an instance that are due, or boots the instance when it returns.
func (m *model) tick(instance *modelInstance) {
	if instance.Status != bbrmachine.StatusUp {
		if !m.now.Before(instance.returnsAt) {
			m.boot(instance)
		}
		return
	}
	lapsed := instance.clock(m.now) > instance.lease
	for i := range instance.unacknowledged {
		instance.unacknowledged[i].lapsed = instance.unacknowledged[i].lapsed || lapsed
	}
	for _, run := range slices.Clone(instance.running) {
		switch {
		case lapsed:
			m.end(instance, run, bbrwork.OutcomeLeaseExpired)
		case !run.endsAt.IsZero() && !m.now.Before(run.endsAt):
			m.end(instance, run, bbrwork.OutcomeDone)
		}
	}
}

// indexOf returns the index of a run in running, or -1.
func (i *modelInstance) indexOf(unit bbrwork.Unit, run int) int {
	return slices.IndexFunc(i.running, func(running modelRun) bool { return running.unit == unit && running.run == run })
}

func compareRuns(a, b modelRun) int {
	return cmp.Or(cmp.Compare(a.unit.Job, b.unit.Job), cmp.Compare(a.unit.Step, b.unit.Step), cmp.Compare(a.unit.Index, b.unit.Index), cmp.Compare(a.run, b.run))
}

// clock returns the time since the start of the present incarnation.
func (i *modelInstance) clock(now time.Time) time.Duration { return now.Sub(i.startedAt) }

// end ends a run with the outcome.
func (m *model) end(instance *modelInstance, run modelRun, outcome bbrwork.RunOutcome) {
	at := instance.indexOf(run.unit, run.run)
	instance.running = slices.Delete(instance.running, at, at+1)
	instance.highestEnded[run.unit] = max(instance.highestEnded[run.unit], run.run)
	instance.lastEnd++
	end := bbrwork.RunEnd{Sequence: instance.lastEnd, Unit: run.unit, Run: run.run, Outcome: outcome}
	instance.unacknowledged = append(instance.unacknowledged, modelEnd{RunEnd: end, at: m.now})
	u := m.units[run.unit]
	u.instance, u.done = nil, outcome == bbrwork.OutcomeDone || outcome == bbrwork.OutcomeStopped && u.doneReported
}

// acknowledge drops the ends up to a sequence number and records those that are done.
func (m *model) acknowledge(instance *modelInstance, number int64) {
	instance.unacknowledged = slices.DeleteFunc(instance.unacknowledged, func(end modelEnd) bool {
		if end.Sequence > number {
			return false
		}
		if u := m.units[end.Unit]; end.Outcome == bbrwork.OutcomeDone && !end.lapsed {
			u.doneAcknowledged = true
			if u.startedAt.After(end.at) {
				m.violate("TWICE: %s was started after it ended as done on %s, and that end is acknowledged", end.Unit, instance.Upstream)
			}
		}
		return true
	})
}

// reachable returns the instance of an upstream ID, or an error if it cannot be reached.
func (m *model) reachable(upstream string) (*modelInstance, error) {
	instance := m.current(upstream)
	if instance == nil || m.now.Before(instance.unreachableUntil) {
		return nil, bbrorder.ErrNotSent
	}
	return instance, nil
}

// current returns the instance whose present incarnation has the upstream ID, or nil.
func (m *model) current(upstream string) *modelInstance {
	if instance := m.instancesByUpstream[upstream]; instance != nil && instance.Upstream == upstream {
		return instance
	}
	return nil
}

// executeStart carries out a start and records the violations that it causes.
func (m *model) executeStart(instance *modelInstance, start bbrorder.Start) error {
	if instance.indexOf(start.Unit, start.Run) >= 0 {
		return nil
	}
	if start.Run <= instance.highestEnded[start.Unit] {
		return bbrorder.ErrStaleRun
	}
	u := m.units[start.Unit]
	if u.instance != nil || u.doneAcknowledged {
		m.violate("TWICE: %s starts on %s, acknowledged as done: %v", start.Unit, instance.Upstream, u.doneAcknowledged)
	}
	used := u.step.Allocation()
	for _, other := range instance.running {
		used = used.Plus(m.units[other.unit].step.Allocation())
	}
	if !used.Fits(instance.Capacity) {
		m.violate("LIMIT: %s exceeds the capacity of %s: %+v", start.Unit, instance.Upstream, used)
	}
	run := modelRun{unit: start.Unit, run: start.Run}
	if !u.step.LongRunning {
		run.endsAt = m.now.Add(u.step.Estimate)
	}
	at, _ := slices.BinarySearchFunc(instance.running, run, compareRuns)
	instance.running = slices.Insert(instance.running, at, run)
	instance.lease = max(instance.lease, start.Until)
	u.instance, u.done, u.startedAt = instance, false, m.now
	u.starts++
	return nil
}
