package bbrscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// manyUnits is a number of ends that takes three listings.
const manyUnits = 1200

// newSuccessorScene is a scene in which a successor knows of one recorded upstream and of a
// job with many work units, all of which have ended there.
func newSuccessorScene(t *testing.T) *scene {
	s := newScene(t, false)
	s.accept(testJob, unitStep(manyUnits))
	loadAll(s.sched, []bbrwork.Upstream{s.upstream("i-1")}, 5, s.now)
	s.register("i-1")
	s.register("i-2")
	s.list("i-2")
	return s
}

// listEnds delivers the listing that answers the renewal that is due: the first ends that
// are not acknowledged.
func (s *scene) listEnds(id string) {
	renewal, known := s.sched.PlanRenewal(id, true, s.now)
	require.True(s, known)
	require.False(s, renewal.Idle)
	var ends []bbrwork.RunEnd
	for n := int(renewal.Acknowledged); n < min(manyUnits, int(renewal.Acknowledged)+500); n++ {
		ends = append(ends, bbrwork.RunEnd{Sequence: int64(n + 1), Unit: unitName(n), Run: 1, Outcome: bbrwork.OutcomeDone})
	}
	s.list(id, ends...)
}

// TestSuccessorReadsAllEndsBeforeItStarts guards against a successor that takes the first
// ends of an upstream for all of them, and starts work again that is done.
func TestSuccessorReadsAllEndsBeforeItStarts(t *testing.T) {
	s := newSuccessorScene(t)
	for range 2 {
		s.listEnds("i-1")
		require.Empty(t, s.plan().Starts)
	}
	s.listEnds("i-1")
	require.Empty(t, s.plan().Starts)
	s.store()
	state, _ := s.sched.State(testJob)
	require.Equal(t, bbrwork.Completed, state)
}

// TestSuccessorWaitsForEndsBeyondEarlierLeases checks that an upstream which answers is
// read to the end even if that takes longer than the leases of the earlier owner, and
// given up once it falls silent.
func TestSuccessorWaitsForEndsBeyondEarlierLeases(t *testing.T) {
	s := newSuccessorScene(t)
	s.listEnds("i-1")
	s.advance(s.sched.earlierLeasesEnd.Sub(s.now) + time.Second)
	require.Empty(t, s.plan().Starts)
	for range maxLostAnswers {
		s.sched.ApplyRenewalFailure(s.upstream("i-1").Incarnation, bbrorder.ErrAnswerLost, s.now)
	}
	require.NotEmpty(t, s.plan().Starts)
}

// TestRestartedUpstreamWithManyEndsKeepsItsRuns checks the same for the first listing of a
// restarted upstream: a run that it does not name may be named by the next one.
func TestRestartedUpstreamWithManyEndsKeepsItsRuns(t *testing.T) {
	s := newRestartedScene(t)
	s.answerStart(nil)
	s.advance(time.Millisecond)
	others := make([]bbrwork.RunEnd, 500)
	for i := range others {
		others[i] = bbrwork.RunEnd{Sequence: int64(i + 1), Unit: bbrwork.Unit{Job: "00000000000000ff", Index: i}, Run: 1, Outcome: bbrwork.OutcomeDone}
	}
	s.listAgain(nil, others...)
	s.requireNoStart()
	s.store()
	s.listAgain(nil, bbrwork.RunEnd{Sequence: 501, Unit: s.order.Start.Unit, Run: s.order.Start.Run, Outcome: bbrwork.OutcomeDone})
	s.requireNoStart()
	s.store()
	state, _ := s.sched.State(testJob)
	require.Equal(t, bbrwork.Completed, state)
}

// TestLoadingSuccessorReadsAllEndsBeforeItStarts guards against a successor that acknowledges
// the first ends of an upstream to see the others, before it knows the job that they are of.
func TestLoadingSuccessorReadsAllEndsBeforeItStarts(t *testing.T) {
	s := newScene(t, false)
	s.sched.BeginLoading([]bbrwork.Upstream{s.upstream("i-1")}, 500, s.now)
	s.register("i-1")
	s.register("i-2")
	s.list("i-2")
	for range 3 {
		s.listEnds("i-1")
		s.plan()
		require.Zero(t, s.sched.upstreams["i-1"].acknowledged)
	}
	require.Equal(t, []string{testJob}, s.sched.MissingJobs(10))
	s.stored(testJob, unitStep(manyUnits))
	for range 3 {
		require.Empty(t, s.plan().Starts)
		s.store()
		if s.sched.jobs[testJob] != nil {
			s.listEnds("i-1")
		}
	}
	require.Empty(t, s.plan().Starts)
	s.store()
	state, _ := s.sched.State(testJob)
	require.Equal(t, bbrwork.Completed, state)
}

// TestRunsOfPartlyListedUpstreamLapse guards against work that counts as running for ever:
// its upstream was listed in part, is not registered, and is given up with the leases of the
// earlier owner. The job is known at once, or loaded later.
func TestRunsOfPartlyListedUpstreamLapse(t *testing.T) {
	for _, known := range []bool{true, false} {
		t.Run(fmt.Sprintf("known %v", known), func(t *testing.T) {
			s := newLoadingScene(t, "i-2")
			gone := s.upstream("i-1")
			s.sched.BeginLoading([]bbrwork.Upstream{gone}, 500, s.now)
			s.list("i-2")
			if known {
				s.stored(lateJob, unitStep(1))
			}
			s.advance(testTiming.Handover + testTiming.MaxRunLease)
			var ends []bbrwork.RunEnd
			for n := range 500 {
				ends = append(ends, bbrwork.RunEnd{Sequence: int64(n + 1), Unit: unitName(n), Run: 1, Outcome: bbrwork.OutcomeDone})
			}
			s.listRunning("i-1", []bbrwork.Run{lateRun}, ends...)
			listed := s.now
			started := time.Time{}
			for i := 0; started.IsZero() && i < 60; i++ {
				s.sched.ApplyRenewalFailure(gone.Incarnation, bbrorder.ErrAnswerLost, s.now)
				s.list("i-2")
				if len(s.plan().Starts) > 0 {
					started = s.now
				}
				s.advance(200 * time.Millisecond)
				if i == 40 {
					s.stored(lateJob, unitStep(1))
				}
			}
			require.False(t, started.IsZero(), "it never starts")
			require.Greater(t, started.Sub(listed), testTiming.MaxRunLease)
		})
	}
}
