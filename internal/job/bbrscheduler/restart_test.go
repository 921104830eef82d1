package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// restartedScene is a scene in which an idle upstream has restarted under its ID, and
// the owner, which does not know, sends it the start of a work unit.
type restartedScene struct {
	*scene
	order StartOrder
	// again is the registration of the new incarnation.
	again    bbrwork.Upstream
	rebooted time.Time
}

func newRestartedScene(t *testing.T) *restartedScene {
	s := &restartedScene{scene: newScene(t, true, "i-1", "i-2")}
	s.advance(10 * time.Second)
	s.list("i-1")
	s.list("i-2")
	s.accept(testJob, unitStep(1))
	s.rebooted = s.now
	plan := s.plan()
	require.Len(t, plan.Starts, 1)
	s.order = plan.Starts[0]
	s.again = s.upstream(s.order.Upstream.ID)
	s.again.StartMillis = 2000
	return s
}

// clock is the clock of the new incarnation.
func (s *restartedScene) clock() time.Duration { return s.now.Sub(s.rebooted) }

// answerStart delivers the answer of the new incarnation to the start.
func (s *restartedScene) answerStart(err error) {
	s.advance(time.Millisecond)
	s.sched.ApplyStartResult(s.order, s.clock(), err, s.now)
}

// listAgain delivers a listing of the new incarnation to the renewal that is due.
func (s *restartedScene) listAgain(running []bbrwork.Run, ends ...bbrwork.RunEnd) {
	renewal, known := s.sched.PlanRenewal(s.again.ID, true, s.now)
	require.True(s, known)
	require.False(s, renewal.Idle)
	listing := bbrwork.Listing{Clock: s.clock(), StartMillis: s.again.StartMillis, Running: running, Ended: ends}
	sent := s.now
	s.advance(time.Millisecond)
	s.sched.ApplyListing(renewal.Upstream.Incarnation, &listing, sent, s.now)
}

func (s *restartedScene) run() bbrwork.Run {
	return bbrwork.Run{Unit: s.order.Start.Unit, Number: s.order.Start.Run}
}

// requireNoStart checks that the work unit is not started again, even after the start
// of a suspect would be stored.
func (s *restartedScene) requireNoStart() {
	for range 3 {
		require.Empty(s, s.plan().Starts)
	}
}

// TestRunAnsweredWithClockZeroKeepsItsLease guards against starting a work unit elsewhere that an
// upstream runs, which restarted in the millisecond in which it answered the start.
func TestRunAnsweredWithClockZeroKeepsItsLease(t *testing.T) {
	s := newRestartedScene(t)
	s.advance(time.Millisecond)
	s.sched.ApplyStartResult(s.order, 0, nil, s.now)
	for range maxLostAnswers {
		s.sched.ApplyRenewalFailure(s.order.Upstream.Incarnation, bbrorder.ErrAnswerLost, s.now)
	}
	s.advance(testTiming.MaxRunLease)
	s.requireNoStart()
}

// TestRunOnRestartedUpstreamContinues guards against starting a work unit elsewhere
// that an idle upstream runs, since it restarted before the owner knew of it.
func TestRunOnRestartedUpstreamContinues(t *testing.T) {
	tests := map[string]func(s *restartedScene){
		"listing first": func(s *restartedScene) {
			s.listAgain([]bbrwork.Run{s.run()})
		},
		"registration first": func(s *restartedScene) {
			s.sched.RegisterUpstream(s.again, s.now)
			s.requireNoStart()
			s.listAgain([]bbrwork.Run{s.run()})
		},
		"registration of a clock that was set back": func(s *restartedScene) {
			s.again.StartMillis = 500
			s.sched.RegisterUpstream(s.again, s.now)
			s.requireNoStart()
			s.listAgain([]bbrwork.Run{s.run()})
		},
		"outdated registration after the listing": func(s *restartedScene) {
			s.listAgain([]bbrwork.Run{s.run()})
			s.sched.RegisterUpstream(s.upstream(s.again.ID), s.now)
		},
		"answer after the listing": func(s *restartedScene) {
			s.listAgain([]bbrwork.Run{s.run()})
			s.answerStart(nil)
		},
	}
	for name, learn := range tests {
		t.Run(name, func(t *testing.T) {
			s := newRestartedScene(t)
			if name != "answer after the listing" {
				s.answerStart(nil)
			}
			s.requireNoStart()
			learn(s)
			s.requireNoStart()
			require.Empty(t, s.sched.suspects, "the work unit has not seen an upstream crash")
			s.sched.RegisterUpstream(s.again, s.now)
			s.listAgain(nil, bbrwork.RunEnd{Sequence: 1, Unit: s.order.Start.Unit, Run: s.order.Start.Run, Outcome: bbrwork.OutcomeDone})
			s.requireNoStart()
			s.store()
			state, _ := s.sched.State(testJob)
			require.Equal(t, bbrwork.Completed, state)
		})
	}
}

// TestRunOfEarlierIncarnationStartsAgain checks that work that ended with its upstream
// starts again as soon as the new incarnation lists nothing.
func TestRunOfEarlierIncarnationStartsAgain(t *testing.T) {
	s := newRestartedScene(t)
	s.answerStarts(Plan{Starts: []StartOrder{s.order}}, nil)
	s.sched.RegisterUpstream(s.again, s.now)
	s.requireNoStart()
	s.listAgain(nil)
	plan := s.plan() // The start of a suspect is stored first.
	require.Len(t, plan.Starts, 1)
	require.Equal(t, 2, plan.Starts[0].Start.Run)
}

// TestUnansweredStartIsSettledAfterRestart guards against starting a work unit
// elsewhere while the new incarnation may still carry out the unanswered start.
func TestUnansweredStartIsSettledAfterRestart(t *testing.T) {
	s := newRestartedScene(t)
	s.sched.RegisterUpstream(s.again, s.now)
	s.listAgain(nil)
	s.requireNoStart()
	s.answerStart(bbrorder.ErrAnswerLost)
	s.listAgain(nil)
	plan := s.plan()
	require.Empty(t, plan.Starts)
	require.Len(t, plan.Stops, 1)
	require.Equal(t, s.again.Incarnation, plan.Stops[0].Upstream.Incarnation)
	// From the answer to the stop on, the start is refused.
	s.sched.ApplyStopResult(plan.Stops[0], nil, s.now)
	s.requireNoStart()
	s.advance(time.Millisecond)
	s.listAgain(nil)
	require.Len(t, s.plan().Starts, 1)
}

// TestRestartedUpstreamKeepsItsEnds guards against acknowledging ends to another
// incarnation than the one that listed them: it would forget ends that nobody has read.
func TestRestartedUpstreamKeepsItsEnds(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.accept(testJob, unitStep(1))
	s.answerStarts(s.plan(), nil)
	s.list("i-1", bbrwork.RunEnd{Sequence: 1, Unit: unitName(0), Run: 1, Outcome: bbrwork.OutcomeDone})
	s.store()
	renewal, _ := s.sched.PlanRenewal("i-1", true, s.now)
	require.True(t, renewal.Idle)
	s.accept("00000000000000a2", unitStep(1))
	require.Len(t, s.plan().Starts, 1)
	renewal, _ = s.sched.PlanRenewal("i-1", true, s.now)
	require.Zero(t, renewal.Acknowledged, "the upstream may have restarted while it was idle")
	s.list("i-1")
	renewal, _ = s.sched.PlanRenewal("i-1", true, s.now)
	require.EqualValues(t, 1, renewal.Acknowledged)
	s.sched.ApplyRenewalFailure(s.upstream("i-1").Incarnation, bbrorder.ErrAnswerLost, s.now)
	renewal, _ = s.sched.PlanRenewal("i-1", true, s.now)
	require.Zero(t, renewal.Acknowledged, "the upstream may have restarted since it last answered")
}

// TestSilentRestartedUpstreamKeepsItsRunsForTheLongestLease guards against starting
// work elsewhere too early: the new incarnation grants the longest lease, since the
// deadline by the clock of the earlier one is far in its future.
func TestSilentRestartedUpstreamKeepsItsRunsForTheLongestLease(t *testing.T) {
	s := newRestartedScene(t)
	s.answerStart(nil)
	answered := s.now
	for s.now.Sub(answered) < testTiming.MaxRunLease {
		s.advance(100 * time.Millisecond)
		renewal, _ := s.sched.PlanRenewal(s.again.ID, true, s.now)
		s.sched.ApplyRenewalFailure(renewal.Upstream.Incarnation, bbrorder.ErrAnswerLost, s.now)
		s.requireNoStart()
	}
	s.advance(time.Second)
	require.Len(t, s.plan().Starts, 1)
}

// TestRestartedUpstreamThatIsNotRegisteredYetIsKept guards against forgetting an upstream,
// and which of its ends were read, between its first listing and its registration.
func TestRestartedUpstreamThatIsNotRegisteredYetIsKept(t *testing.T) {
	s := newRestartedScene(t)
	s.answerStart(nil)
	s.listAgain(nil, bbrwork.RunEnd{Sequence: 1, Unit: s.order.Start.Unit, Run: s.order.Start.Run, Outcome: bbrwork.OutcomeDone})
	s.plan()
	require.Contains(t, s.sched.upstreams, s.again.ID)
	s.sched.RegisterUpstream(s.again, s.now)
	require.EqualValues(t, 1, s.sched.upstreams[s.again.ID].applied)
}

// TestOutdatedListDoesNotEndRestartedUpstream guards against taking a start for ended
// that was sent after the platform's list was requested.
func TestOutdatedListDoesNotEndRestartedUpstream(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.accept(testJob, unitStep(2))
	s.answerStarts(s.plan(), nil)
	s.sched.ApplyRenewalFailure(s.upstream("i-1").Incarnation, bbrorder.ErrNotSent, s.now)
	requested := s.now.Add(verifyAfter + time.Millisecond)
	require.Len(t, s.sched.Unverified(requested), 1)
	s.advance(2 * time.Millisecond)
	s.accept("00000000000000a2", unitStep(1))
	require.Len(t, s.plan().Starts, 1)
	require.Empty(t, s.sched.Unverified(s.now.Add(-time.Millisecond)))
}

// TestSuccessorAdoptsRunOnRestartedUpstream guards against a successor that starts work
// elsewhere which an upstream runs that restarted since the earlier owner recorded it.
func TestSuccessorAdoptsRunOnRestartedUpstream(t *testing.T) {
	for _, registeredFirst := range []bool{false, true} {
		s := newScene(t, false, "i-2")
		s.accept(testJob, unitStep(1))
		loadAll(s.sched, []bbrwork.Upstream{s.upstream("i-1")}, 5, s.now)
		again := s.upstream("i-1")
		again.StartMillis = 2000
		if registeredFirst {
			s.sched.RegisterUpstream(again, s.now)
		}
		require.Empty(t, s.plan().Starts)
		renewal, known := s.sched.PlanRenewal("i-1", true, s.now)
		require.True(t, known)
		listing := bbrwork.Listing{Clock: time.Second, StartMillis: 2000, Running: []bbrwork.Run{{Unit: unitName(0), Number: 1}}}
		s.sched.ApplyListing(renewal.Upstream.Incarnation, &listing, s.now, s.now.Add(time.Millisecond))
		s.advance(time.Minute)
		for range 3 {
			require.Empty(t, s.plan().Starts)
		}
	}
}
