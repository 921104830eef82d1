package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// newEvacuationScene returns a scene in which a large work unit runs on i-1, and
// the other upstream runs long-running work beside which the unit does not fit.
func newEvacuationScene(t *testing.T, checkpoints bool) *scene {
	s := newScene(t, true, "i-2")
	s.startLongRunning(longRunningJob, 1, bbrwork.Resources{MilliCPU: 500, MemoryMB: 4000})
	s.register("i-1")
	s.list("i-1")
	large := unitStep(1)
	large.Need.MemoryMB, large.Estimate, large.Checkpoints = 6000, 30*time.Second, checkpoints
	s.accept(testJob, large)
	plan := s.plan()
	require.Len(t, plan.Starts, 1)
	require.Equal(t, "i-1", plan.Starts[0].Upstream.ID)
	s.answerStarts(plan, nil)
	s.listRunning("i-1", []bbrwork.Run{{Unit: unitName(0), Number: 1, Percent: 10}})
	return s
}

// TestUpstreamWithUnplaceableWorkIsNotReleasable guards against the release of an
// upstream whose work fits on no other.
func TestUpstreamWithUnplaceableWorkIsNotReleasable(t *testing.T) {
	s := newEvacuationScene(t, true)
	require.Empty(t, s.sched.Demand(s.now).Releasable)
}

// TestEvacuationRequestsCapacityBeforeStoppingWork guards against an evacuation
// that stops work before it has requested capacity for it elsewhere.
func TestEvacuationRequestsCapacityBeforeStoppingWork(t *testing.T) {
	for _, checkpoints := range []bool{true, false} {
		s := newEvacuationScene(t, checkpoints)
		s.sched.SetReserved(map[string]bool{"i-1": true}, s.now)
		requested := false
		for range 60 {
			requested = requested || s.sched.Demand(s.now).Exclusive > 0
			s.listRunning("i-1", []bbrwork.Run{{Unit: unitName(0), Number: 1, Percent: 10}})
			if plan := s.sched.Plan(true, s.now); len(plan.Stops) > 0 {
				break
			}
			s.advance(100 * time.Millisecond)
		}
		require.True(t, requested, "checkpoints: %v", checkpoints)
	}
}

// TestLongRunningUnitBlockingEvacuationRequestsCapacity guards against an
// evacuation that waits forever because a long-running work unit does not fit
// elsewhere.
func TestLongRunningUnitBlockingEvacuationRequestsCapacity(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2")
	s.accept(testJob, bbrwork.Step{Count: 3, Need: bbrwork.Resources{MilliCPU: 1000, MemoryMB: 5000}, LongRunning: true, MaxUnavailable: 1})
	plan := s.plan()
	require.Len(t, plan.Starts, 2)
	s.answerStarts(plan, nil)
	s.sched.SetReserved(map[string]bool{"i-1": true}, s.now)
	stopped := 0
	for range 200 {
		for _, order := range plan.Starts {
			s.listRunning(order.Upstream.ID, []bbrwork.Run{{Unit: order.Start.Unit, Number: 1, Percent: fullPercent}})
		}
		stopped += len(s.sched.Plan(true, s.now).Stops)
		s.advance(100 * time.Millisecond)
	}
	require.Zero(t, stopped, "two units of the step would be unavailable")
	require.NotZero(t, s.sched.Demand(s.now).Exclusive)
}
