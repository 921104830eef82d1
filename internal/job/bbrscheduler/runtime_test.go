package bbrscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// runStep starts the work units of a job with one step on an upstream and lets the first
// of them end after the time.
func (s *scene) runStep(id, on string, count int, estimate, taken time.Duration, sequence int64) {
	s.accept(id, bbrwork.Step{Count: count, Need: bbrwork.Resources{MilliCPU: 100, MemoryMB: 100}, Estimate: estimate})
	plan := s.plan()
	s.answerStarts(plan, nil)
	require.Len(s, plan.Starts, count)
	s.advance(taken)
	first := plan.Starts[0].Start
	s.list(on, bbrwork.RunEnd{Sequence: sequence, Unit: first.Unit, Run: first.Run, Outcome: bbrwork.OutcomeDone})
}

// TestMiddleEndOfAStepTellsTheRest guards against objectives and paths that rest on a wrong
// estimate although work units of the step have shown how long they run, and against
// taking the shortest of them for the others.
func TestMiddleEndOfAStepTellsTheRest(t *testing.T) {
	const estimate = 10 * time.Second
	s := newScene(t, true, "i-1")
	s.accept(testJob, bbrwork.Step{Count: 3, Need: bbrwork.Resources{MilliCPU: 100, MemoryMB: 100}, Estimate: estimate})
	plan := s.plan()
	s.answerStarts(plan, nil)
	require.Len(t, plan.Starts, 3)
	job := s.sched.jobs[testJob]
	for i, want := range []time.Duration{estimate, 800 * time.Millisecond} {
		s.advance(400 * time.Millisecond)
		start := plan.Starts[i].Start
		rest := make([]bbrwork.Run, 0, len(plan.Starts))
		for _, other := range plan.Starts[i+1:] {
			rest = append(rest, bbrwork.Run{Unit: other.Start.Unit, Number: other.Start.Run})
		}
		s.listRunning("i-1", rest, bbrwork.RunEnd{Sequence: int64(i + 1), Unit: start.Unit, Run: start.Run, Outcome: bbrwork.OutcomeDone})
		require.InDelta(t, want.Seconds(), job.criticalPath.Seconds(), 0.02)
		require.InDelta(t, want.Seconds(), job.occurrences[0].remainingPath().Seconds(), 0.02)
	}
}

// TestQueueTellsWhatEstimatesDoNot guards against jobs that are ordered by wrong
// estimates: once enough work of a queue has ended, its mean decides.
func TestQueueTellsWhatEstimatesDoNot(t *testing.T) {
	s := newScene(t, true, "i-1")
	estimates := []time.Duration{200 * time.Millisecond, 5 * time.Second}
	for i := range 30 {
		s.runStep(fmt.Sprintf("%016x", i+1), "i-1", 1, estimates[i%2], time.Second, int64(i+1))
		s.store()
	}
	for _, estimate := range estimates {
		s.accept(fmt.Sprintf("%016x", int64(estimate)), bbrwork.Step{Count: 1, Need: bbrwork.Resources{MilliCPU: 100}, Estimate: estimate})
		require.InDelta(t, 1, s.sched.jobs[fmt.Sprintf("%016x", int64(estimate))].criticalPath.Seconds(), 0.25)
	}
}

// TestUpstreamThatIsEmptySoonIsReleasedFirst guards against donors that are chosen by
// wrong estimates: the progress of the runs tells which upstream is empty first.
func TestUpstreamThatIsEmptySoonIsReleasedFirst(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2")
	s.accept(testJob, bbrwork.Step{Count: 2, Need: bbrwork.Resources{MilliCPU: 100, MemoryMB: 100}, Estimate: 3 * time.Second, MaxPerUpstream: 1})
	plan := s.plan()
	s.answerStarts(plan, nil)
	require.Len(t, plan.Starts, 2)
	s.advance(500 * time.Millisecond)
	for i, start := range plan.Starts {
		s.listRunning(start.Upstream.ID, []bbrwork.Run{{Unit: start.Start.Unit, Number: start.Start.Run, Percent: []int{10, 90}[i]}})
	}
	soon := plan.Starts[1].Upstream.ID
	releasable := s.sched.Demand(s.now).Releasable
	require.Len(t, releasable, 2)
	require.Equal(t, soon, releasable[0])
}
