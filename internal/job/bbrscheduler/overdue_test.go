package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
)

// newRunningScene returns an owner with an upstream that was idle for a long time, and then
// runs a work unit.
func newRunningScene(t *testing.T) *scene {
	s := newScene(t, true, "i-1")
	s.renewAt("i-1", 0)
	s.advance(time.Minute)
	s.accept(testJob, unitStep(2))
	s.answerStarts(s.plan(), nil)
	return s
}

// renewAt plans a renewal after a pause and reports whether it extends the lease.
func (s *scene) renewAt(id string, pause time.Duration) bool {
	s.advance(pause)
	plan, known := s.sched.PlanRenewal(id, true, s.now)
	require.True(s, known)
	return plan.LeaseUntil > 0
}

// TestRenewalIsOverdueByTheOwnersFaultOnly guards against an owner that counts as overdue for a new run, for an upstream that answers nothing or for one without work, and against one that does not after it sent nothing.
func TestRenewalIsOverdueByTheOwnersFaultOnly(t *testing.T) {
	overdueAfter := 2 * testTiming.RunLease / 3
	t.Run("nothing sent", func(t *testing.T) {
		s := newRunningScene(t)
		s.advance(overdueAfter - 2*time.Millisecond)
		require.Zero(t, s.sched.RenewalOverdueAt(s.now), "the run has just begun")
		s.advance(2 * time.Millisecond)
		require.Equal(t, s.now, s.sched.RenewalOverdueAt(s.now))
	})
	t.Run("sent at last", func(t *testing.T) {
		s := newRunningScene(t)
		require.True(t, s.renewAt("i-1", overdueAfter+time.Second))
		require.Equal(t, s.now, s.sched.RenewalOverdueAt(s.now.Add(overdueAfter-1)), "the last time")
	})
	t.Run("answer lost in time", func(t *testing.T) {
		s := newRunningScene(t)
		require.True(t, s.renewAt("i-1", 0))
		s.advance(answerReadTime)
		s.sched.ApplyRenewalFailure(s.upstream("i-1").Incarnation, bbrorder.ErrAnswerLost, s.now)
		require.False(t, s.renewAt("i-1", overdueAfter))
		require.Zero(t, s.sched.RenewalOverdueAt(s.now))
	})
	t.Run("answer read too late", func(t *testing.T) {
		s := newRunningScene(t)
		require.True(t, s.renewAt("i-1", 0))
		s.advance(answerReadTime + time.Millisecond)
		s.sched.ApplyRenewalFailure(s.upstream("i-1").Incarnation, bbrorder.ErrAnswerLost, s.now)
		require.False(t, s.renewAt("i-1", overdueAfter))
		require.Equal(t, s.now, s.sched.RenewalOverdueAt(s.now))
	})
	t.Run("start lost in time", func(t *testing.T) {
		s := newRunningScene(t)
		s.accept(jobID(2), unitStep(1))
		s.answerStarts(s.plan(), bbrorder.ErrAnswerLost)
		require.False(t, s.renewAt("i-1", overdueAfter))
		require.Zero(t, s.sched.RenewalOverdueAt(s.now))
	})
	t.Run("no work", func(t *testing.T) {
		s := newScene(t, true, "i-1")
		s.advance(time.Hour)
		require.Zero(t, s.sched.RenewalOverdueAt(s.now))
	})
}
