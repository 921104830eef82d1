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

// TestRenewalIsOverdueByTheOwnersFaultOnly guards against an owner that counts as overdue for a new run or for an upstream without work, and against one that does not after it sent nothing.
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
	t.Run("no work", func(t *testing.T) {
		s := newScene(t, true, "i-1")
		s.advance(time.Hour)
		require.Zero(t, s.sched.RenewalOverdueAt(s.now))
	})
}

// loseRenewal sends a renewal and reads its failure some time after the call's timeout.
func (s *scene) loseRenewal(after time.Duration) {
	plan, known := s.sched.PlanRenewal("i-1", true, s.now)
	require.True(s, known)
	s.advance(plan.Wait + plan.AnswerTimeout + after)
	s.sched.ApplyRenewalFailure(plan.Upstream.Incarnation, bbrorder.ErrAnswerLost, s.now)
}

// loseStart orders a start and reads its failure some time after the call's timeout.
func (s *scene) loseStart(after time.Duration, err error) {
	s.accept(jobID(2), unitStep(1))
	plan := s.plan()
	require.Len(s, plan.Starts, 1)
	s.advance(bbrorder.Timeout + after)
	s.sched.ApplyStartResult(plan.Starts[0], 0, err, s.now)
}

// TestOnlyFailuresReadInTimeExcuseTheOwner guards against an owner that is excused by failures that it read after the timeouts of its calls, and against one that is blamed for answers that were lost.
func TestOnlyFailuresReadInTimeExcuseTheOwner(t *testing.T) {
	const inTime, late = answerReadMargin, answerReadMargin + time.Millisecond
	for _, test := range []struct {
		name    string
		fail    func(s *scene)
		excused bool
	}{
		{name: "renewal lost", fail: func(s *scene) { s.loseRenewal(inTime) }, excused: true},
		{name: "renewal read late", fail: func(s *scene) { s.loseRenewal(late) }},
		{name: "repetition lost", fail: func(s *scene) { s.loseRenewal(late); s.loseRenewal(inTime) }, excused: true},
		{name: "repetition read late", fail: func(s *scene) { s.loseRenewal(late); s.loseRenewal(late) }},
		{name: "start lost", fail: func(s *scene) { s.loseStart(inTime, bbrorder.ErrAnswerLost) }, excused: true},
		{name: "start read late", fail: func(s *scene) { s.loseStart(late, bbrorder.ErrAnswerLost) }},
		{name: "start not sent", fail: func(s *scene) { s.loseStart(inTime, bbrorder.ErrNotSent) }, excused: true},
		{name: "start not sent for too long", fail: func(s *scene) { s.loseStart(late, bbrorder.ErrNotSent) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newRunningScene(t)
			test.fail(s)
			require.Positive(t, s.sched.upstreams["i-1"].lostAnswers)
			s.renewAt("i-1", 2*testTiming.RunLease/3)
			require.Equal(t, !test.excused, s.sched.RenewalOverdueAt(s.now).Equal(s.now))
		})
	}
}
