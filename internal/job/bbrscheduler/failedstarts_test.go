package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// failOneStart lets one start of long-running work fail on the only upstream, and cancels its job.
func (s *scene) failOneStart(step bbrwork.Step) {
	s.accept(jobID(9), step)
	starts := s.plan().Starts
	require.Len(s, starts, 1)
	s.sched.ApplyStartResult(starts[0], 0, bbrorder.ErrNoCapacity, s.now)
	s.sched.Cancel(jobID(9), s.now)
	require.Equal(s, "i-f", starts[0].Upstream.ID)
}

// hourLater lets an hour pass, in which the upstreams answer and are recorded.
func (s *scene) hourLater(ids ...string) {
	for range 60 {
		s.advance(time.Minute)
		for _, id := range ids {
			s.list(id)
		}
		s.plan()
		s.record()
	}
}

// TestOldFailedStartDoesNotKeepWorkFromItsData guards against long-running work that starts
// away from its data, several times as slow, since a single start was refused on its rack an hour ago.
func TestOldFailedStartDoesNotKeepWorkFromItsData(t *testing.T) {
	s := newScene(t, true)
	s.registerCapacity("i-f", 16000, "rack-1")
	step := longRunningStep(1)
	s.failOneStart(step)
	s.registerCapacity("i-o", 16000, "rack-2")
	s.hourLater("i-f", "i-o")
	step.DataRack = "rack-1"
	s.accept(testJob, step)
	starts := s.plan().Starts
	require.Len(t, starts, 1)
	require.Equal(t, "i-f", starts[0].Upstream.ID)
}

// TestOldFailedStartDoesNotUndoAvoidance guards against a long-running work unit that is
// started again on the upstream on which it has just failed, since a start was refused on the
// other one an hour ago.
func TestOldFailedStartDoesNotUndoAvoidance(t *testing.T) {
	s := newScene(t, true)
	s.registerCapacity("i-f", 16000)
	s.failOneStart(longRunningStep(1))
	s.registerCapacity("i-o", 17000)
	s.hourLater("i-f", "i-o")
	s.accept(testJob, longRunningStep(1))
	starts := s.plan()
	require.Len(t, starts.Starts, 1)
	require.Equal(t, "i-o", starts.Starts[0].Upstream.ID)
	s.answerStarts(starts, nil)
	s.advance(20 * time.Second)
	listing := bbrwork.Listing{Clock: s.now.Sub(s.start), StartMillis: 1000, Ended: []bbrwork.RunEnd{{Sequence: 1, Unit: unitName(0), Run: 1, Outcome: bbrwork.OutcomeFailed}}}
	s.sched.ApplyListing(s.upstream("i-o").Incarnation, &listing, s.now, s.now)
	s.list("i-f")
	s.advance(100 * time.Millisecond)
	again := s.plan().Starts
	require.Len(t, again, 1)
	require.Equal(t, "i-f", again[0].Upstream.ID, "the unit has just failed on i-o")
}

// TestOldFailedStartDoesNotEndTheSpread guards against long-running work that is packed
// on few upstreams, since one start was refused on each other one long ago.
func TestOldFailedStartDoesNotEndTheSpread(t *testing.T) {
	s := newScene(t, true)
	s.registerCapacity("i-f", 16000)
	s.failOneStart(longRunningStep(1))
	s.registerCapacity("i-o", 16000)
	s.hourLater("i-f", "i-o")
	s.accept(testJob, longRunningStep(4))
	count := map[string]int{}
	for range 5 {
		plan := s.plan()
		for _, order := range plan.Starts {
			count[order.Upstream.ID]++
		}
		s.answerStarts(plan, nil)
		s.advance(100 * time.Millisecond)
	}
	require.Equal(t, map[string]int{"i-o": 2, "i-f": 2}, count)
}

// TestLongRunningWorkWaitsForStartsInFlight guards against long-running work that goes to
// an upstream on which work has just failed, although the sound one has capacity for all of it
// and only the number of starts in flight is at its limit.
func TestLongRunningWorkWaitsForStartsInFlight(t *testing.T) {
	s := newScene(t, true)
	s.registerCapacity("i-good", 160000)
	s.registerCapacity("i-bad", 16000)
	s.hourLater("i-good", "i-bad")
	up := s.sched.upstreams["i-bad"]
	for range suspectStreak {
		up.health.recordEnd(bbrwork.OutcomeFailed, s.now)
	}
	s.accept(testJob, longRunningStep(10))
	count := map[string]int{}
	for range 4 {
		plan := s.plan()
		for _, order := range plan.Starts {
			count[order.Upstream.ID]++
		}
		s.answerStarts(plan, nil)
		s.advance(100 * time.Millisecond)
	}
	require.Zero(t, count["i-bad"], "%v", count)
}

// TestFailedStartsOfFiniteWorkMoveOn guards against a job or a gang that is tried again and
// again on an upstream that answers renewals but starts nothing, while another has room for it.
func TestFailedStartsOfFiniteWorkMoveOn(t *testing.T) {
	gang := unitStep(2)
	gang.Gang = true
	longRunningGang := gang
	longRunningGang.LongRunning = true
	for name, step := range map[string]bbrwork.Step{"finite": unitStep(1), "gang": gang, "long-running gang": longRunningGang} {
		for _, failure := range []error{bbrorder.ErrAnswerLost, bbrorder.ErrNoCapacity, bbrorder.ErrExpired} {
			t.Run(name+" "+failure.Error(), func(t *testing.T) {
				s := newScene(t, true)
				s.registerCapacity("i-1", 8000)
				s.registerCapacity("i-2", 16000)
				s.hourLater("i-1", "i-2")
				s.accept(testJob, step)
				tries := 0
				for limit := s.now.Add(longRunningWaitLimit); s.now.Before(limit); {
					for _, order := range s.plan().Starts {
						if order.Upstream.ID == "i-2" {
							return
						}
						tries++
						s.advance(100 * time.Millisecond)
						s.sched.ApplyStartResult(order, 0, failure, s.now)
					}
					for _, id := range []string{"i-1", "i-2"} {
						s.list(id)
					}
					s.advance(50 * time.Millisecond)
				}
				require.Fail(t, "the job never started on the upstream that accepts it", "%d tries", tries)
			})
		}
	}
}

// TestFailedStartsOfGangsChangeTheRackOnlyWithAnAlternative guards against a gang that prefers a
// rack on which starts fail to a sound one, and against one that waits since there is no sound one.
func TestFailedStartsOfGangsChangeTheRackOnlyWithAnAlternative(t *testing.T) {
	for _, test := range []struct {
		failing  []string
		expected []string
	}{
		{nil, []string{"i-1", "i-1"}},
		{[]string{"i-1"}, []string{"i-3", "i-3"}},
		{[]string{"i-1", "i-3"}, []string{"i-2", "i-1"}},
		{[]string{"i-1", "i-2", "i-3"}, []string{"i-1", "i-1"}},
	} {
		s := newScene(t, true)
		s.registerCapacity("i-1", 4000, "r-1")
		s.registerCapacity("i-2", 2000, "r-1")
		s.registerCapacity("i-3", 4000, "r-2")
		for _, id := range test.failing {
			for range minFailingStarts {
				s.sched.upstreams[id].failedStarts.add(s.now)
			}
		}
		gang := unitStep(2)
		gang.Gang, gang.SameRack, gang.Need.MilliCPU = true, true, 2000
		s.accept(testJob, gang)
		var ids []string
		for _, order := range s.plan().Starts {
			ids = append(ids, order.Upstream.ID)
		}
		require.Equal(t, test.expected, ids, "starts fail on %v", test.failing)
	}
}

// TestOneFailedStartDoesNotChangePacking guards against finite work that leaves the fullest
// upstream, and so keeps another one from being released, after a single failed start.
func TestOneFailedStartDoesNotChangePacking(t *testing.T) {
	s := newScene(t, true)
	s.registerCapacity("i-1", 8000)
	s.registerCapacity("i-2", 16000)
	s.sched.upstreams["i-1"].failedStarts.add(s.now)
	s.accept(testJob, unitStep(2))
	starts := s.plan().Starts
	require.Len(t, starts, 2)
	for _, order := range starts {
		require.Equal(t, "i-1", order.Upstream.ID)
	}
}
