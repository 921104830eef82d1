package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// TestReleasableSortsByExpectedEmptyTime guards against sorting by the number of
// work units: the pool that receives an upstream waits for the last end.
func TestReleasableSortsByExpectedEmptyTime(t *testing.T) {
	const short, long = "00000000000000a1", "00000000000000b2"
	s := newScene(t, true, "i-1", "i-2")
	brief := unitStep(4)
	brief.Estimate = 400 * time.Millisecond
	s.accept(short, brief)
	plan := s.plan()
	require.Len(t, plan.Starts, 4)
	s.answerStarts(plan, nil)
	busy := plan.Starts[0].Upstream.ID

	lengthy := unitStep(1)
	lengthy.Estimate = 3 * time.Second
	s.accept(long, lengthy)
	plan = s.plan()
	require.Len(t, plan.Starts, 1)
	s.answerStarts(plan, nil)
	other := plan.Starts[0].Upstream.ID
	require.NotEqual(t, busy, other)

	require.Equal(t, []string{busy, other}, s.sched.Demand(s.now).Releasable)
}

// TestReleasableListsEmptyUpstreamBeforeOverdueOne guards against considering
// overdue or silent upstreams empty.
func TestReleasableListsEmptyUpstreamBeforeOverdueOne(t *testing.T) {
	for _, silent := range []bool{false, true} {
		s := newScene(t, true, "i-1")
		s.accept(testJob, unitStep(1))
		s.answerStarts(s.plan(), nil)
		s.register("i-2")
		s.list("i-2")
		s.advance(3 * time.Second)
		if silent {
			for range maxLostAnswers {
				s.sched.ApplyRenewalFailure(s.upstream("i-1").Incarnation, bbrorder.ErrAnswerLost, s.now)
			}
		} else {
			s.listRunning("i-1", []bbrwork.Run{{Unit: unitName(0), Number: 1, Percent: 20}})
		}
		require.Equal(t, "i-2", s.sched.Demand(s.now).Releasable[0], "silent: %v", silent)
	}
}
