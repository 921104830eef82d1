package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
)

// callReturning calls the upstream as a renewer does until the time has passed.
func (s *sameIDScene) callReturning(id string, length time.Duration) {
	for end := s.sim.now.Add(length); s.sim.now.Before(end); {
		r := s.planRenewal(id)
		if r.Idle {
			s.sim.advance(transitTime)
			continue
		}
		s.send(r)
		s.sim.advance(r.RetryDelay)
	}
}

// TestReturnedUpstreamRefusesStartOfReplacedOwnerWithinMilliseconds guards against a unit that runs
// twice because its upstream returns, unlisted, and receives a start of the replaced owner
// before its successor calls it.
func TestReturnedUpstreamRefusesStartOfReplacedOwnerWithinMilliseconds(t *testing.T) {
	const late = 30 * time.Millisecond
	tests := map[string]struct {
		// busy means that other work runs on the upstream when it ends, and unlisted that the
		// platform lists it no more.
		busy, unlisted bool
	}{
		"idle":               {unlisted: true},
		"busy":               {busy: true, unlisted: true},
		"busy, still listed": {busy: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSameIDScene(t, "i-1")
			if test.busy {
				s.accept(lastingJob)
				require.Equal(s, "i-1", s.awaitStart())
			}
			s.accept(testJob)
			order := s.awaitOrder()
			s.takeOver()
			s.renewAll()
			s.bootPreferred("i-9")
			require.Equal(s, "i-9", s.awaitStart())
			s.work(time.Second)
			s.sim.upstreams["i-1"].alive = false
			if test.unlisted {
				s.register()
			}
			s.callReturning("i-1", verifyAfter+transitTime)
			if test.busy && test.unlisted {
				s.endUnlisted("i-1")
			}
			s.callReturning("i-1", downTime)
			s.sim.boot("i-1", false)
			s.callReturning("i-1", late)
			require.ErrorIs(t, s.carryOutStart(order, time.Hour), bbrorder.ErrFenced)
			s.register()
			s.work(time.Second)
			require.Empty(t, s.sim.violations)
			require.True(t, s.o.sched.upstreams["i-1"].registered)
		})
	}
}

// TestUpstreamThatDoesNotReturnIsForgotten guards against calls without end to an upstream that is
// gone for good, or whose address another one has.
func TestUpstreamThatDoesNotReturnIsForgotten(t *testing.T) {
	s := newSameIDScene(t, "i-1", "i-2")
	s.takeOver()
	s.renewAll()
	for _, id := range []string{"i-1", "i-2"} {
		s.sim.upstreams[id].alive = false
	}
	s.register()
	r := s.planRenewal("i-2")
	s.o.sched.ApplyRenewalFailure(r.Upstream.Incarnation, bbrorder.ErrOtherIncarnation, s.sim.now)
	_, known := s.o.sched.PlanRenewal("i-2", true, s.sim.now)
	require.False(t, known)
	s.sim.advance(testTiming.Handover + maxOrderDelay)
	s.o.sched.ExpireLeases(s.sim.now)
	require.Empty(t, s.o.sched.UpstreamIDs())
}

// TestManyAwayUpstreamsAreCalledAtBoundedRate guards against an owner that spends its time on calls
// to the upstreams of an availability zone that is away.
func TestManyAwayUpstreamsAreCalledAtBoundedRate(t *testing.T) {
	s := newSameIDScene(t, "i-1")
	s.takeOver()
	for range 100 {
		up := &upstream{lostAnswers: 1, runs: make(map[runKey]*run)}
		up.ID = "away-" + time.Duration(len(s.o.sched.upstreams)).String()
		s.o.sched.addUpstream(up, up.Incarnation)
	}
	require.Equal(t, RenewalRetryDelay, s.planRenewal("i-1").RetryDelay)
}
