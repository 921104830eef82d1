package bbrmaintenance

import (
	"fmt"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// modelUnit is what really happened to a work unit.
type modelUnit struct {
	name bbrwork.Unit
	step *bbrwork.Step
	// after are the work units that come before it.
	after []*modelUnit
	done  bool
	// noted means that an end as done that counts was acknowledged, and told that an
	// owner was told of one, also of one that does not count.
	noted   bool
	told    bool
	starts  int
	started time.Time
	on      *modelInstance
	// waiting is since when it could run and does not.
	waiting time.Time
	late    bool
}

func (m *model) fault(format string, args ...any) {
	m.faults = append(m.faults, fmt.Sprintf(format, args...))
}

// watch notes work units that could run and do not for too long.
func (m *model) watch() {
	for _, u := range m.inOrder {
		m.watchUnit(u)
	}
}

func (m *model) watchUnit(u *modelUnit) {
	if u.done || u.on != nil || !u.turnHasCome() {
		u.waiting = time.Time{}
		return
	}
	if u.waiting.IsZero() {
		u.waiting = m.now
	}
	bound := startBound
	if u.step.LongRunning {
		bound = lastingBound
	}
	if waited := m.now.Sub(later(u.waiting, m.calmFrom)); waited > bound && !u.late {
		u.late = true
		m.fault("LOST: %s could run and does not for %v, after %d starts", u.name, waited, u.starts)
	}
}

func (u *modelUnit) turnHasCome() bool {
	return !slices.ContainsFunc(u.after, func(before *modelUnit) bool { return !before.done })
}

// unbegun returns the work units that were never started, in order.
func (m *model) unbegun() []string {
	var names []string
	for _, u := range m.inOrder {
		if u.starts == 0 {
			names = append(names, u.name.String())
		}
	}
	return names
}
