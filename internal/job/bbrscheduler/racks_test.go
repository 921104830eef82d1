package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// registerOn registers and lists an upstream with the kind and rack as labels.
func (s *scene) registerOn(id, kind, rack string) {
	up := s.upstream(id)
	up.Labels = []string{kind, rack}
	s.sched.RegisterUpstream(up, s.now)
	s.list(id)
}

// startLongRunning starts a long-running work unit of the given need on each of
// count upstreams.
func (s *scene) startLongRunning(id string, count int, need bbrwork.Resources) {
	s.accept(id, bbrwork.Step{Count: count, Need: need, LongRunning: true, MaxPerUpstream: 1, Estimate: time.Second})
	plan := s.plan()
	require.Len(s, plan.Starts, count)
	s.answerStarts(plan, nil)
	s.store()
}

const longRunningJob = "00000000000000ff"

// startsWithin lists and plans until something starts, and returns the starts.
func (s *scene) startsWithin(length time.Duration) []StartOrder {
	for end := s.now.Add(length); s.now.Before(end); s.advance(50 * time.Millisecond) {
		for _, up := range s.sched.sortedUpstreams() {
			var running []bbrwork.Run
			for key := range up.runs {
				running = append(running, bbrwork.Run{Unit: key.unit, Number: key.number, Percent: fullPercent})
			}
			s.listRunning(up.ID, running)
		}
		if plan := s.plan(); len(plan.Starts) > 0 {
			return plan.Starts
		}
	}
	return nil
}

// TestWorkDoesNotWaitForRackFullOfLongRunningWork guards against late work that
// waits forever for the rack of its data.
func TestWorkDoesNotWaitForRackFullOfLongRunningWork(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		s := newScene(t, true)
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			s.registerOn(id, "a", "rack-1")
		}
		s.startLongRunning(longRunningJob, 3, bbrwork.Resources{MilliCPU: 3500, MemoryMB: 100})
		s.registerOn("i-4", "a", "rack-2")
		near := unitStep(1)
		near.DataRack, near.LongRunning = "rack-1", longRunning
		s.accept(testJob, near)
		s.advance(10 * time.Second)
		require.Len(t, s.startsWithin(20*time.Second), 1, "long-running: %v", longRunning)
	}
}

// TestSpreadStepDoesNotWaitForSmallRack guards against a spread step that waits for
// the rack of its data although the rack has too few upstreams.
func TestSpreadStepDoesNotWaitForSmallRack(t *testing.T) {
	s := newScene(t, true)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		s.registerOn(id, "a", "rack-1")
	}
	s.startLongRunning(longRunningJob, 3, bbrwork.Resources{MilliCPU: 2500, MemoryMB: 100})
	s.registerOn("i-4", "a", "rack-2")
	spread := unitStep(4)
	spread.DataRack, spread.LongRunning, spread.MaxPerUpstream = "rack-1", true, 1
	s.accept(testJob, spread)
	s.advance(10 * time.Second)
	first := s.plan()
	require.Len(t, first.Starts, 3)
	s.answerStarts(first, nil)
	require.Len(t, s.startsWithin(20*time.Second), 1)
}

// TestGangDoesNotWaitForRackFullOfLongRunningWork guards against a gang that waits
// for a rack on which it never fits beside long-running work.
func TestGangDoesNotWaitForRackFullOfLongRunningWork(t *testing.T) {
	s := newScene(t, true)
	for _, id := range []string{"i-1", "i-2"} {
		s.registerOn(id, "a", "rack-1")
	}
	s.startLongRunning(longRunningJob, 2, bbrwork.Resources{MilliCPU: 1000, MemoryMB: 5000})
	s.registerOn("i-3", "a", "rack-2")
	s.registerOn("i-4", "a", "rack-3")
	gang := unitStep(2)
	gang.Gang, gang.SameRack, gang.Need.MemoryMB = true, true, 6000
	s.accept(testJob, gang)
	require.Len(t, s.startsWithin(20*time.Second), 2, "the gang never fits on rack-1, but fits on rack-2 and rack-3 together")
}

// TestGangDoesNotWaitForRackWithoutLabel guards against a gang that waits for a
// rack with too few upstreams that have its label.
func TestGangDoesNotWaitForRackWithoutLabel(t *testing.T) {
	s := newScene(t, true)
	s.registerOn("i-1", "a", "rack-1")
	s.registerOn("i-2", "b", "rack-1")
	s.registerOn("i-3", "a", "rack-2")
	s.registerOn("i-4", "b", "rack-2")
	gang := unitStep(2)
	gang.Gang, gang.SameRack, gang.Label, gang.Need.MemoryMB = true, true, "b", 6000
	s.accept(testJob, gang)
	require.Len(t, s.startsWithin(20*time.Second), 2)
}
