package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// crowdedMove returns a scene in which a large work unit runs on i-1, and the
// other upstream holds lasting work beside which it does not fit.
func crowdedMove(t *testing.T, saves bool) *scene {
	s := newScene(t, true, "i-2")
	s.lastingOn(lastingJob, 1, bbrwork.Resources{MilliCPU: 500, MemoryMB: 4000})
	s.register("i-1")
	s.list("i-1")
	large := unitStep(1)
	large.Need.MemoryMB, large.Estimate, large.Checkpoints = 6000, 30*time.Second, saves
	s.accept(testJob, large)
	plan := s.plan()
	require.Len(t, plan.Starts, 1)
	require.Equal(t, "i-1", plan.Starts[0].Upstream.ID)
	s.started(plan, nil)
	s.listRunning("i-1", []bbrwork.Run{{Unit: unitName(0), Number: 1, Percent: 10}})
	return s
}

// TestUpstreamWhoseWorkFitsNowhereElseIsNotGiven guards against giving away an
// upstream whose work fits on no other.
func TestUpstreamWhoseWorkFitsNowhereElseIsNotGiven(t *testing.T) {
	s := crowdedMove(t, true)
	require.Empty(t, s.ledger.Demand(s.now).Releasable)
}

// TestMoveAsksForAPlaceBeforeItStopsWork guards against a move that stops work
// before it has asked for a place for it.
func TestMoveAsksForAPlaceBeforeItStopsWork(t *testing.T) {
	for _, saves := range []bool{true, false} {
		s := crowdedMove(t, saves)
		s.ledger.SetReserved(map[string]bool{"i-1": true}, s.now)
		asked := false
		for range 60 {
			asked = asked || s.ledger.Demand(s.now).Exclusive > 0
			s.listRunning("i-1", []bbrwork.Run{{Unit: unitName(0), Number: 1, Percent: 10}})
			if plan := s.ledger.Plan(true, s.now); len(plan.Stops) > 0 {
				break
			}
			s.wait(100 * time.Millisecond)
		}
		require.True(t, asked, "saves its progress: %v", saves)
	}
}

// TestLastingUnitThatHoldsUpAMoveAsksForAPlace guards against moves that wait for
// good for a lasting work unit without room.
func TestLastingUnitThatHoldsUpAMoveAsksForAPlace(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2")
	s.accept(testJob, bbrwork.Step{Count: 3, Need: bbrwork.Resources{MilliCPU: 1000, MemoryMB: 5000}, LongRunning: true, MaxUnavailable: 1})
	plan := s.plan()
	require.Len(t, plan.Starts, 2)
	s.started(plan, nil)
	s.ledger.SetReserved(map[string]bool{"i-1": true}, s.now)
	stopped := 0
	for range 200 {
		for _, order := range plan.Starts {
			s.listRunning(order.Upstream.ID, []bbrwork.Run{{Unit: order.Start.Unit, Number: 1, Percent: fullPercent}})
		}
		stopped += len(s.ledger.Plan(true, s.now).Stops)
		s.wait(100 * time.Millisecond)
	}
	require.Zero(t, stopped, "the step would miss two")
	require.NotZero(t, s.ledger.Demand(s.now).Exclusive)
}
