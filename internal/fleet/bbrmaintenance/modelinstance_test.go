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

// modelInstance is an instance with what its present life runs.
type modelInstance struct {
	bbrmachine.Instance
	returnsAt time.Time
	// incarnations counts the lives, and born is when the present one began.
	incarnations int
	startedAt    time.Time
	// running is what runs, in order.
	running []modelRun
	// highestEnded has the highest run that has ended, by work unit.
	highestEnded   map[bbrwork.Unit]int
	unacknowledged []modelEnd
	lastEnd        int64
	lease          time.Duration
	// unreachableUntil is until when it is not reached.
	unreachableUntil time.Time
}

// modelRun is a run and when it ends; never where that is zero.
type modelRun struct {
	unit   bbrwork.Unit
	run    int
	endsAt time.Time
}

// modelEnd is an end that is not acknowledged.
type modelEnd struct {
	bbrwork.RunEnd
	at time.Time
	// lapsed means that the lease ended after this end: it does not count.
	lapsed bool
}

// boot begins an instance's next life. Those of the spare pool have none.
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

// indexOf returns the place of a run that runs, or -1.
func (i *modelInstance) indexOf(unit bbrwork.Unit, run int) int {
	return slices.IndexFunc(i.running, func(running modelRun) bool { return running.unit == unit && running.run == run })
}

func compareRuns(a, b modelRun) int {
	return cmp.Or(cmp.Compare(a.unit.Job, b.unit.Job), cmp.Compare(a.unit.Step, b.unit.Step), cmp.Compare(a.unit.Index, b.unit.Index), cmp.Compare(a.run, b.run))
}

func (i *modelInstance) clock(now time.Time) time.Duration { return now.Sub(i.startedAt) }

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

// acknowledge notes the ends up to a number.
func (m *model) acknowledge(instance *modelInstance, number int64) {
	instance.unacknowledged = slices.DeleteFunc(instance.unacknowledged, func(end modelEnd) bool {
		if end.Sequence > number {
			return false
		}
		if u := m.units[end.Unit]; end.Outcome == bbrwork.OutcomeDone && !end.lapsed {
			u.doneAcknowledged = true
			if u.startedAt.After(end.at) {
				m.violate("TWICE: %s was started after it ended as done on %s, and that end is noted", end.Unit, instance.Upstream)
			}
		}
		return true
	})
}

// reachable returns the instance of a life, or why it is not reached.
func (m *model) reachable(upstream string) (*modelInstance, error) {
	instance := m.current(upstream)
	if instance == nil || m.now.Before(instance.unreachableUntil) {
		return nil, bbrorder.ErrNotSent
	}
	return instance, nil
}

// current returns the instance of a life that has not ended, or nil.
func (m *model) current(upstream string) *modelInstance {
	if instance := m.instancesByUpstream[upstream]; instance != nil && instance.Upstream == upstream {
		return instance
	}
	return nil
}

// executeStart does what a start asks for, and notes what that breaks.
func (m *model) executeStart(instance *modelInstance, start bbrorder.Start) error {
	if instance.indexOf(start.Unit, start.Run) >= 0 {
		return nil
	}
	if start.Run <= instance.highestEnded[start.Unit] {
		return bbrorder.ErrStaleRun
	}
	u := m.units[start.Unit]
	if u.instance != nil || u.doneAcknowledged {
		m.violate("TWICE: %s starts on %s, noted as done: %v", start.Unit, instance.Upstream, u.doneAcknowledged)
	}
	used := u.step.Allocation()
	for _, other := range instance.running {
		used = used.Plus(m.units[other.unit].step.Allocation())
	}
	if !used.Fits(instance.Capacity) {
		m.violate("LIMIT: %s brings %s over its room: %+v", start.Unit, instance.Upstream, used)
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
