package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// waitNotes returns the work units of which the log has that they wait, since the
// last call.
func (s *scene) waitNotes() []string {
	var units []string
	notes, _ := s.ledger.Notes()
	for _, note := range notes {
		if note.Text == "Work unit waits" {
			units = append(units, note.Fields[3].(string))
		}
	}
	return units
}

// waitingForRoom is a scene with steps of two work units that fit beside no
// lasting work.
func waitingForRoom(t *testing.T, jobs int) *scene {
	s := newScene(t, true, "i-1", "i-2")
	s.plan()
	lastingHolds(s, 3000)
	for number := range jobs {
		s.accept(jobNumber(number), bbrwork.Step{Count: 2, Need: bbrwork.Resources{MilliCPU: 1000, MemoryMB: 5000}, Estimate: time.Second})
		s.wait(time.Millisecond)
	}
	return s
}

// TestStepThatWaitsIsLoggedOnce holds that a step is logged once and each of its
// work units counted once, when it has waited for long.
func TestStepThatWaitsIsLoggedOnce(t *testing.T) {
	s := waitingForRoom(t, 1)
	accepted := s.ledger.jobs[jobNumber(0)].Accepted
	name := bbrwork.Unit{Job: jobNumber(0)}
	for second := range 6 {
		now := accepted.Add(time.Duration(second) * time.Second)
		waits := s.ledger.Load(true, now).Waits
		require.Equal(t, 2, waits.Units)
		require.Equal(t, Wait{Unit: name, Since: accepted, Reason: ReasonCapacityFragmented, WaitsFor: AwaitsUpstream, Responsible: ResponsibleFleetLeader}, waits.Oldest)
		require.Equal(t, map[Reason]time.Duration{ReasonCapacityFragmented: time.Duration(second) * time.Second}, waits.LongestByReason)
		if second == 3 {
			require.Equal(t, map[Reason]int{ReasonCapacityFragmented: 2}, waits.SlowByReason)
			require.Equal(t, []string{name.String()}, s.waitNotes())
			continue
		}
		require.Zero(t, waits.SlowByReason[ReasonCapacityFragmented])
		require.Empty(t, s.waitNotes())
	}
}

// TestWaitsAreLoggedWithinBounds holds that many steps are logged little by
// little, and those looked at first that have waited longest.
func TestWaitsAreLoggedWithinBounds(t *testing.T) {
	const jobs = maxEvaluated + maxLogged
	s := waitingForRoom(t, jobs)
	s.wait(slowWait)
	waits := s.ledger.Load(true, s.now).Waits
	require.Equal(t, 2*jobs, waits.Units)
	require.Equal(t, jobNumber(0), waits.Oldest.Unit.Job)
	require.Equal(t, map[Reason]int{ReasonCapacityFragmented: 2 * maxEvaluated, ReasonNotEvaluated: 2 * maxLogged}, waits.SlowByReason)
	require.Less(t, waits.LongestByReason[ReasonNotEvaluated], waits.LongestByReason[ReasonCapacityFragmented])
	told := s.waitNotes()
	require.Len(t, told, maxLogged)
	require.Equal(t, jobNumber(0)+".0.0.0", told[0])
	s.ledger.Load(true, s.now)
	require.Equal(t, jobNumber(maxLogged)+".0.0.0", s.waitNotes()[0])
}

// TestLoadTellsWhatLastingWorkLeaves holds that the load tells apart room that is
// held for good from room that comes back, and a large sum from a large piece.
func TestLoadTellsWhatLastingWorkLeaves(t *testing.T) {
	s := waitingForRoom(t, 0)
	s.fill(jobNumber(1), "i-2", bbrwork.Resources{MilliCPU: 300, MemoryMB: 1000}, false)
	load := s.ledger.Load(true, s.now)
	require.Equal(t, bbrwork.Resources{MilliCPU: 1000, MemoryMB: 10000}, load.LongRunning)
	require.Equal(t, bbrwork.Resources{MilliCPU: 1300, MemoryMB: 11000}, load.Used)
	require.Equal(t, bbrwork.Resources{MilliCPU: 3500, MemoryMB: 3000}, load.LargestFree)
	require.Equal(t, 2, load.Usable)
	require.Zero(t, load.Waits.Oldest)
	s.ledger.SetReserved(map[string]bool{"i-1": true}, s.now)
	load = s.ledger.Load(true, s.now)
	require.Equal(t, bbrwork.Resources{MilliCPU: 3200, MemoryMB: 2000}, load.LargestFree)
	require.Equal(t, 1, load.Usable)
}

// TestWaitsOfWorkWhoseTurnHasNotCome holds that work that is not due, or comes
// after other work, does not count as waiting.
func TestWaitsOfWorkWhoseTurnHasNotCome(t *testing.T) {
	s := waitingForRoom(t, 0)
	second := unitStep(3)
	second.DependsOn = []int{0}
	s.accept(jobNumber(1), unitStep(1), second)
	s.ledger.AddJob(&bbrwork.Job{
		ID: jobNumber(2), Service: "press", Steps: []bbrwork.Step{unitStep(1)}, Accepted: s.now,
		Schedule: bbrwork.Schedule{Count: 1, First: s.now.Add(time.Minute)},
	}, 0, nil, s.now)
	require.Equal(t, 1, s.ledger.Load(true, s.now).Waits.Units)
}

// TestLookingAsksForNothing holds that telling what waits makes nothing urgent.
func TestLookingAsksForNothing(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.acceptStored(testJob, 1000)
	require.Equal(t, ReasonBeyondHorizon, s.ledger.Load(true, s.now).Waits.Oldest.Reason)
	s.ledger.Explain(testJob, true, s.now)
	require.False(t, s.ledger.Urgent())
}

// TestUnconfirmedClaimIsTheReasonOfAllWaits holds that an owner that may have been
// replaced does not blame the upstreams.
func TestUnconfirmedClaimIsTheReasonOfAllWaits(t *testing.T) {
	s := waitingForRoom(t, 3)
	s.wait(time.Second)
	waits := s.ledger.Load(false, s.now).Waits
	require.Len(t, waits.LongestByReason, 1)
	require.Contains(t, waits.LongestByReason, ReasonClaimUnconfirmed)
}
