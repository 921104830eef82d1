package bbrmaintenance

import (
	"fmt"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// modelUnit is the actual state of a work unit, whatever its owner believes.
type modelUnit struct {
	name bbrwork.Unit
	step *bbrwork.Step
	// dependencies are the work units that must be done before it.
	dependencies []*modelUnit
	done         bool
	// doneAcknowledged means that a valid end as done was acknowledged. doneReported means
	// that an end as done was reported to an owner, even if that end is invalid.
	doneAcknowledged bool
	doneReported     bool
	starts           int
	startedAt        time.Time
	instance         *modelInstance
	// readySince is the time since which it could run and does not.
	readySince time.Time
	overdue    bool
}

// violate records a violation.
func (m *model) violate(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

// checkWaits records the work units that could run and have waited for too long.
func (m *model) checkWaits() {
	for _, u := range m.unitsInOrder {
		m.checkWait(u)
	}
}

func (m *model) checkWait(u *modelUnit) {
	if u.done || u.instance != nil || !u.ready() {
		u.readySince = time.Time{}
		return
	}
	if u.readySince.IsZero() {
		u.readySince = m.now
	}
	bound := maxStartWait
	if u.step.LongRunning {
		bound = maxLongRunningStartWait
	}
	if waited := m.now.Sub(later(u.readySince, m.waitsCountFrom)); waited > bound && !u.overdue {
		u.overdue = true
		m.violate("LOST: %s could run and does not for %v, after %d starts", u.name, waited, u.starts)
	}
}

// ready reports whether all dependencies are done.
func (u *modelUnit) ready() bool {
	return !slices.ContainsFunc(u.dependencies, func(before *modelUnit) bool { return !before.done })
}

// neverStarted returns the work units that were never started, in order.
func (m *model) neverStarted() []string {
	var names []string
	for _, u := range m.unitsInOrder {
		if u.starts == 0 {
			names = append(names, u.name.String())
		}
	}
	return names
}
