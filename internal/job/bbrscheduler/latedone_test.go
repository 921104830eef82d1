package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// TestWorkThatIsDoneOnSilentUpstreamIsNotRepeated guards against work that starts again although
// its upstream, which had not been heard of for longer than its lease, has just listed that it
// is done: that end is acknowledged, so that the work is done twice.
func TestWorkThatIsDoneOnSilentUpstreamIsNotRepeated(t *testing.T) {
	for name, step := range map[string]bbrwork.Step{"work units": unitStep(2), "a gang": {Count: 2, Need: unitStep(1).Need, Gang: true}} {
		t.Run(name, func(t *testing.T) {
			s := newScene(t, true, "i-1")
			s.accept(testJob, step)
			first := s.plan()
			require.Len(t, first.Starts, 2)
			s.answerStarts(first, nil)
			var ends []bbrwork.RunEnd
			for i, start := range first.Starts {
				ends = append(ends, bbrwork.RunEnd{Sequence: int64(i + 1), Unit: start.Start.Unit, Run: start.Start.Run, Outcome: bbrwork.OutcomeDone})
			}
			for range 200 {
				s.advance(100 * time.Millisecond)
				renewal, _ := s.sched.PlanRenewal("i-1", true, s.now)
				s.sched.ApplyRenewalFailure(renewal.Upstream.Incarnation, bbrorder.ErrAnswerLost, s.now)
				s.plan()
			}
			require.Empty(t, s.sched.upstreams["i-1"].runs, "the lease has expired")
			s.sched.ApplyListing(s.upstream("i-1").Incarnation, &bbrwork.Listing{Clock: s.now.Sub(s.start), StartMillis: 1000, Ended: ends}, s.now, s.now)
			s.advance(time.Second)
			require.Empty(t, s.plan().Starts)
			state, known := s.sched.State(testJob)
			require.True(t, known)
			require.Equal(t, bbrwork.Completed, state)
		})
	}
}
