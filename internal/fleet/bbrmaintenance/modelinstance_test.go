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
	back time.Time
	// number counts the lives, and born is when the present one began.
	number int
	born   time.Time
	// running is what runs, in order.
	running []modelRun
	// over has the highest run that has ended, by work unit.
	over  map[bbrwork.Unit]int
	ends  []modelEnd
	ended int64
	lease time.Duration
	// silent is until when it is not reached.
	silent time.Time
}

// modelRun is a run and when it ends; never where that is zero.
type modelRun struct {
	unit   bbrwork.Unit
	number int
	end    time.Time
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
	if instance.Pool == m.spare && m.spare != "" {
		return
	}
	instance.number++
	instance.Upstream = fmt.Sprintf("%s-%d", instance.ID, instance.number)
	instance.born, instance.lease, instance.ended, instance.ends = m.now, 0, 0, nil
	instance.running, instance.over = nil, make(map[bbrwork.Unit]int)
	m.lives[instance.Upstream] = instance
}

func (m *model) tick(instance *modelInstance) {
	if instance.Status != bbrmachine.StatusUp {
		if !m.now.Before(instance.back) {
			m.boot(instance)
		}
		return
	}
	lapsed := instance.clock(m.now) > instance.lease
	for i := range instance.ends {
		instance.ends[i].lapsed = instance.ends[i].lapsed || lapsed
	}
	for _, run := range slices.Clone(instance.running) {
		switch {
		case lapsed:
			m.end(instance, run, bbrwork.OutcomeLeaseExpired)
		case !run.end.IsZero() && !m.now.Before(run.end):
			m.end(instance, run, bbrwork.OutcomeDone)
		}
	}
}

// find returns the place of a run that runs, or -1.
func (i *modelInstance) find(unit bbrwork.Unit, number int) int {
	return slices.IndexFunc(i.running, func(run modelRun) bool { return run.unit == unit && run.number == number })
}

func compareRuns(a, b modelRun) int {
	return cmp.Or(cmp.Compare(a.unit.Job, b.unit.Job), cmp.Compare(a.unit.Step, b.unit.Step), cmp.Compare(a.unit.Index, b.unit.Index), cmp.Compare(a.number, b.number))
}

func (i *modelInstance) clock(now time.Time) time.Duration { return now.Sub(i.born) }

func (m *model) end(instance *modelInstance, run modelRun, how bbrwork.RunOutcome) {
	at := instance.find(run.unit, run.number)
	instance.running = slices.Delete(instance.running, at, at+1)
	instance.over[run.unit] = max(instance.over[run.unit], run.number)
	instance.ended++
	end := bbrwork.RunEnd{Sequence: instance.ended, Unit: run.unit, Run: run.number, Outcome: how}
	instance.ends = append(instance.ends, modelEnd{RunEnd: end, at: m.now})
	u := m.units[run.unit]
	u.on, u.done = nil, how == bbrwork.OutcomeDone || how == bbrwork.OutcomeStopped && u.told
}

// acknowledge notes the ends up to a number.
func (m *model) acknowledge(instance *modelInstance, number int64) {
	instance.ends = slices.DeleteFunc(instance.ends, func(end modelEnd) bool {
		if end.Sequence > number {
			return false
		}
		if u := m.units[end.Unit]; end.Outcome == bbrwork.OutcomeDone && !end.lapsed {
			u.noted = true
			if u.started.After(end.at) {
				m.fault("TWICE: %s was started after it ended as done on %s, and that end is noted", end.Unit, instance.Upstream)
			}
		}
		return true
	})
}

// reach returns the instance of a life, or why it is not reached.
func (m *model) reach(life string) (*modelInstance, error) {
	instance := m.at(life)
	if instance == nil || m.now.Before(instance.silent) {
		return nil, bbrorder.ErrNotSent
	}
	return instance, nil
}

// at returns the instance of a life that has not ended, or nil.
func (m *model) at(life string) *modelInstance {
	if instance := m.lives[life]; instance != nil && instance.Upstream == life {
		return instance
	}
	return nil
}

// carryOutStart does what a start asks for, and notes what that breaks.
func (m *model) carryOutStart(instance *modelInstance, start bbrorder.Start) error {
	if instance.find(start.Unit, start.Run) >= 0 {
		return nil
	}
	if start.Run <= instance.over[start.Unit] {
		return bbrorder.ErrStaleRun
	}
	u := m.units[start.Unit]
	if u.on != nil || u.noted {
		m.fault("TWICE: %s starts on %s, noted as done: %v", start.Unit, instance.Upstream, u.noted)
	}
	used := u.step.Allocation()
	for _, other := range instance.running {
		used = used.Plus(m.units[other.unit].step.Allocation())
	}
	if !used.Fits(instance.Capacity) {
		m.fault("LIMIT: %s brings %s over its room: %+v", start.Unit, instance.Upstream, used)
	}
	run := modelRun{unit: start.Unit, number: start.Run}
	if !u.step.LongRunning {
		run.end = m.now.Add(u.step.Estimate)
	}
	at, _ := slices.BinarySearchFunc(instance.running, run, compareRuns)
	instance.running = slices.Insert(instance.running, at, run)
	instance.lease = max(instance.lease, start.Until)
	u.on, u.done, u.started = instance, false, m.now
	u.starts++
	return nil
}
