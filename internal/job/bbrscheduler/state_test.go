package bbrscheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// TestStateReportsOnlyStoredEnd follows the state of a job as reported to callers:
// its end is reported only once it is stored, and for a while after.
func TestStateReportsOnlyStoredEnd(t *testing.T) {
	s := newScene(t, true, "u1")
	requireState := func(want bbrwork.State) {
		t.Helper()
		state, known := s.sched.State(testJob)
		require.Equal(t, want, state)
		require.Equal(t, want != "", known)
	}
	requireState("")
	s.accept(testJob, unitStep(1))
	requireState(bbrwork.Pending)
	s.answerStarts(s.plan(), nil)
	requireState(bbrwork.Running)
	s.list("u1", bbrwork.RunEnd{Sequence: 1, Unit: unitName(0), Run: 1, Outcome: bbrwork.OutcomeDone})
	requireState(bbrwork.Running)
	s.store()
	requireState(bbrwork.Completed)
	s.advance(endedRetention)
	s.store()
	requireState(bbrwork.Completed)
	s.advance(2 * sweepInterval)
	s.store()
	requireState("")
}

// TestStateWhileRunsAreStopped checks that a stored end is reported while runs are
// still being stopped.
func TestStateWhileRunsAreStopped(t *testing.T) {
	s := newScene(t, true, "u1")
	s.accept(testJob, unitStep(1))
	s.answerStarts(s.plan(), nil)
	s.sched.Cancel(testJob, s.now)
	state, _ := s.sched.State(testJob)
	require.Equal(t, bbrwork.Running, state)
	s.store()
	state, _ = s.sched.State(testJob)
	require.Equal(t, bbrwork.Cancelled, state)
}
