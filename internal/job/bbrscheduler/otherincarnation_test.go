package bbrscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrcrash"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	endedFirst  = "00000000000000a2"
	shortRun    = 100 * time.Millisecond
	lastingJob  = "00000000000000a3"
	downTime    = 600 * time.Millisecond
	transitTime = 10 * time.Millisecond
)

// awaitOrder plans until a start is ordered, and returns the order without sending it.
func (s *sameIDScene) awaitOrder() StartOrder {
	for range 100 {
		plan := s.o.sched.Plan(true, s.sim.now)
		s.o.flush()
		if len(plan.Starts) > 0 {
			return plan.Starts[0]
		}
		s.sim.advance(transitTime)
	}
	require.FailNow(s, "the unit does not start")
	return StartOrder{}
}

// carryOut lets the present incarnation carry out the start of a run of the length.
func (s *sameIDScene) carryOutStart(order StartOrder, length time.Duration) error {
	return s.sim.upstreams[order.Upstream.ID].start(order, length, bbrwork.OutcomeDone)
}

// sendStarts sends the starts of some rounds of planning.
func (s *sameIDScene) sendStarts(rounds int, length time.Duration) {
	for range rounds {
		s.sim.advance(transitTime)
		for _, order := range s.o.sched.Plan(true, s.sim.now).Starts {
			s.sendStart(order, length)
		}
	}
}

func (s *sameIDScene) loseStart(order StartOrder) {
	s.o.sched.ApplyStartResult(order, 0, bbrorder.ErrAnswerLost, s.sim.now)
}

// bootPreferred boots an upstream with less capacity, on which finite work starts first.
func (s *sameIDScene) bootPreferred(id string) {
	s.sim.boot(id, false)
	s.sim.upstreams[id].registration.Capacity = fullCapacity.DividedBy(2)
	s.register()
	s.renewAll()
	require.Empty(s, s.plan(), "the upstream is not recorded yet")
}

// planFor plans until a unit starts, for the time at most.
func (s *sameIDScene) planFor(length time.Duration) {
	for end := s.sim.now.Add(length); s.sim.now.Before(end) && len(s.plan()) == 0; {
		s.sim.advance(transitTime)
	}
}

// requireOneRun lets the owner work, and checks that the unit has one run in time, that it never ran
// twice, and that nothing runs beside.
func (s *sameIDScene) requireOneRun() {
	s.register()
	s.work(lateStartWait + time.Second)
	runs := 0
	for _, up := range s.sim.upstreams {
		runs += len(up.runs)
	}
	require.Equal(s, 1, runs)
	require.Empty(s, s.sim.violations)
}

// endUnlisted ends the incarnation, which does not answer, as the platform does not list it.
func (s *sameIDScene) endUnlisted(id string) {
	incarnation := s.sim.upstreams[id].registration.Incarnation
	require.Contains(s, s.o.sched.Unverified(s.sim.now), incarnation)
	s.o.sched.EndIncarnation(incarnation, "the platform lists it no more", s.sim.now)
}

// settledStarts has, by name, what makes an owner take the start of a work unit without an
// answer for settled, so that the unit may start again.
var settledStarts = map[string]func(s *sameIDScene, order StartOrder){
	"deadline passed by the earlier clock": func(s *sameIDScene, order StartOrder) {
		s.bootPreferred("i-9")
		s.loseStart(order)
		s.sim.advance(testTiming.StartTimeout + transitTime)
		s.renewAll()
		s.planFor(time.Second)
		s.restart("i-1", downTime)
	},
	"stopped on the incarnation between": func(s *sameIDScene, order StartOrder) {
		s.bootPreferred("i-9")
		s.loseStart(order)
		s.restart("i-1", downTime)
		s.renewAll()
		require.Empty(s, s.plan())
		s.sim.advance(transitTime)
		s.renewAll()
		s.planFor(time.Second)
		s.restart("i-1", downTime)
	},
	"stopped on the incarnation between, which listed nothing after it": func(s *sameIDScene, order StartOrder) {
		s.bootPreferred("i-9")
		s.loseStart(order)
		s.restart("i-1", downTime)
		s.renewAll()
		require.Empty(s, s.plan())
		s.restart("i-1", downTime)
		s.renewAll()
		s.planFor(time.Second)
	},
	"not listed by the platform for a moment": func(s *sameIDScene, order StartOrder) {
		s.bootPreferred("i-9")
		s.sim.upstreams["i-1"].alive = false
		s.renewAll()
		s.sim.advance(verifyAfter + transitTime)
		s.endUnlisted("i-1")
		s.loseStart(order)
		s.planFor(time.Second)
		s.restart("i-1", downTime)
	},
}

// TestUnansweredStartIsRefusedByKnownIncarnation guards against a unit that runs twice because
// its start is carried out seconds later, by a next incarnation that the owner has listed.
func TestUnansweredStartIsRefusedByKnownIncarnation(t *testing.T) {
	for name, settle := range settledStarts {
		t.Run(name, func(t *testing.T) {
			s := newSameIDScene(t, "i-1")
			s.accept(testJob)
			order := s.awaitOrder()
			settle(s, order)
			s.register()
			s.work(500 * time.Millisecond)
			_ = s.carryOutStart(order, time.Hour)
			s.requireOneRun()
		})
	}
}

// TestUnansweredStartOfCancelledJobIsRefused guards against work of a cancelled job that runs,
// and that nobody stops, because its start is carried out seconds later by a next incarnation.
func TestUnansweredStartOfCancelledJobIsRefused(t *testing.T) {
	s := newSameIDScene(t, "i-1")
	s.accept(testJob)
	order := s.awaitOrder()
	s.loseStart(order)
	s.o.sched.Cancel(testJob, s.sim.now)
	s.work(time.Second)
	require.Empty(t, s.o.sched.jobs)
	s.restart("i-1", downTime)
	s.register()
	s.work(500 * time.Millisecond)
	_ = s.carryOutStart(order, time.Hour)
	s.work(testTiming.StopTimeout)
	require.Empty(t, s.sim.upstreams["i-1"].runs)
}

// TestLateOrderDoesNotExtendLeaseOfNextIncarnation guards against a unit that starts elsewhere
// while it runs on an upstream whose lease an order for its earlier incarnation has extended
// long after the first listing.
func TestLateOrderDoesNotExtendLeaseOfNextIncarnation(t *testing.T) {
	const delay = 3 * time.Second
	tests := map[string]func(s *sameIDScene) (late func()){
		"renewal": func(s *sameIDScene) func() {
			r := s.planRenewal("i-1")
			require.NotZero(s, r.LeaseUntil)
			s.restart("i-1", downTime)
			s.o.sched.ApplyRenewalFailure(r.Upstream.Incarnation, bbrorder.ErrAnswerLost, s.sim.now)
			return func() { _, _ = s.deliver(r) }
		},
		"start of a stopped run": func(s *sameIDScene) func() {
			s.accept(lastingJob)
			order := s.awaitOrder()
			s.restart("i-1", downTime)
			s.loseStart(order)
			return func() { require.Error(s, s.carryOutStart(order, time.Hour)) }
		},
	}
	for name, lose := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSameIDScene(t, "i-1")
			s.accept(testJob)
			s.awaitStart()
			s.work(time.Second)
			late := lose(s)
			s.register()
			s.work(delay)
			require.NotEmpty(t, s.sim.upstreams["i-1"].runs)
			late()
			s.cut("i-1")
			s.sim.boot("i-9", false)
			s.register()
			s.work(2 * testTiming.MaxRunLease)
			require.NotEmpty(t, s.sim.upstreams["i-9"].runs)
			require.Empty(t, s.sim.violations)
		})
	}
}

// sendStart carries out the start and delivers the answer.
func (s *sameIDScene) sendStart(order StartOrder, length time.Duration) {
	s.sim.advance(transitTime)
	err := s.carryOutStart(order, length)
	s.o.sched.ApplyStartResult(order, s.sim.upstreams[order.Upstream.ID].clock(), err, s.sim.now)
}

// newAcknowledgingScene returns a scene whose owner may acknowledge an end to i-1, on which
// other work runs.
func newAcknowledgingScene(t *testing.T) *sameIDScene {
	s := newSameIDScene(t, "i-1")
	s.accept(endedFirst)
	s.sendStart(s.awaitOrder(), shortRun)
	s.accept(lastingJob)
	s.awaitStart()
	s.sim.advance(2 * shortRun)
	s.renewAll()
	s.o.flush()
	return s
}

// planAcknowledgement plans a renewal that acknowledges the end.
func (s *sameIDScene) planAcknowledgement() renewal {
	r := s.planRenewal("i-1")
	require.EqualValues(s, 1, r.Acknowledged)
	return r
}

// TestEndIsNotAcknowledgedUnread guards against a unit that starts again after it was done,
// because an acknowledgement for the earlier incarnation made the next one forget that end.
func TestEndIsNotAcknowledgedUnread(t *testing.T) {
	tests := map[string]func(s *sameIDScene){
		"acknowledgement after the first listing": func(s *sameIDScene) {
			r := s.planAcknowledgement()
			s.restart("i-1", downTime)
			s.o.sched.ApplyRenewalFailure(r.Upstream.Incarnation, bbrorder.ErrAnswerLost, s.sim.now)
			s.register()
			s.work(500 * time.Millisecond)
			s.accept(testJob)
			s.sendStart(s.awaitOrder(), shortRun)
			s.sim.advance(2 * shortRun)
			_, _ = s.deliver(r)
		},
		"start answered by a later clock after a lost renewal": func(s *sameIDScene) {
			r := s.planAcknowledgement()
			booted := s.sim.upstreams["i-1"].bootedAt
			s.restart("i-1", downTime)
			s.sim.upstreams["i-1"].bootedAt = booted.Add(-2 * time.Hour)
			s.o.sched.ApplyRenewalFailure(r.Upstream.Incarnation, bbrorder.ErrAnswerLost, s.sim.now)
			s.accept(testJob)
			s.sendStart(s.awaitOrder(), shortRun)
			s.sendStarts(10, shortRun)
			s.sim.advance(2 * shortRun)
			s.renewAll()
			s.register()
			s.work(time.Second)
			s.endRuns("i-1", bbrwork.OutcomeDone)
		},
		"late listing of the earlier incarnation after a start": func(s *sameIDScene) {
			r := s.planAcknowledgement()
			listing, err := s.deliver(r)
			require.NoError(s, err)
			s.restart("i-1", downTime)
			s.accept(testJob)
			s.sendStart(s.awaitOrder(), shortRun)
			s.o.sched.ApplyListing(r.Upstream.Incarnation, &listing, r.plannedAt, s.sim.now)
			s.sim.advance(2 * shortRun)
			s.renewAll()
		},
		"start answered by a later clock": func(s *sameIDScene) {
			booted := s.sim.upstreams["i-1"].bootedAt
			s.restart("i-1", downTime)
			s.sim.upstreams["i-1"].bootedAt = booted.Add(-2 * time.Hour)
			s.accept(testJob)
			s.sendStart(s.awaitOrder(), shortRun)
			s.sendStarts(10, shortRun)
			s.sim.advance(2 * shortRun)
			s.renewAll()
			s.register()
			s.work(time.Second)
			s.endRuns("i-1", bbrwork.OutcomeDone)
		},
	}
	for name, restart := range tests {
		t.Run(name, func(t *testing.T) {
			s := newAcknowledgingScene(t)
			restart(s)
			require.True(t, s.sim.unit(unitName(0)).done)
			s.register()
			s.work(time.Second)
			require.Empty(t, s.sim.violations)
		})
	}
}

// TestUnregistrationKeepsAnnouncedRestart guards against renewals by the earlier clock that are
// sent to a next incarnation which was registered and is not any more.
func TestUnregistrationKeepsAnnouncedRestart(t *testing.T) {
	s := newRestartedScene(t)
	s.sched.RegisterUpstream(s.again, s.now)
	s.sched.UnregisterUpstream(s.again.ID, s.now)
	renewal, known := s.sched.PlanRenewal(s.again.ID, true, s.now)
	require.True(t, known)
	require.Zero(t, renewal.LeaseUntil)
}

// TestListedTrialOnNextIncarnationIsNotAccused guards against accusing a suspect of a crash
// of the recorded incarnation while the next one lists its run.
func TestListedTrialOnNextIncarnationIsNotAccused(t *testing.T) {
	s := newScene(t, false)
	s.accept(testJob, unitStep(1))
	crashes := bbrcrash.History{{Upstream: "i-7", StartMillis: 1000, Run: 1, Youngest: true, Certain: true}, {Upstream: "i-8", StartMillis: 1000, Run: 2, Youngest: true, Certain: true}}
	record := bbrcrash.Record{Suspects: []bbrcrash.Suspect{{Crashes: crashes, Trial: &bbrcrash.Trial{Upstream: "i-1", StartMillis: 1000, Run: 3}}}}
	require.True(t, s.sched.RestoreCrashes(testJob, encodeCrashRecord(record), s.now))
	loadAll(s.sched, []bbrwork.Upstream{s.upstream("i-1")}, 0, s.now)
	renewal, known := s.sched.PlanRenewal("i-1", true, s.now)
	require.True(t, known)
	listing := bbrwork.Listing{Clock: time.Second, StartMillis: 2000, Running: []bbrwork.Run{{Unit: unitName(0), Number: 3}}}
	s.sched.ApplyListing(renewal.Upstream.Incarnation, &listing, s.now, s.now.Add(transitTime))
	require.Equal(t, crashes, s.sched.jobs[testJob].findUnit(unitName(0)).crashes)
}

// TestNextIncarnationOfDrainingUpstreamKeepsItsRuns guards against stopping long-running work on
// an upstream that does not drain: its earlier incarnation did.
func TestNextIncarnationOfDrainingUpstreamKeepsItsRuns(t *testing.T) {
	s := newScene(t, true, "i-1")
	step := unitStep(1)
	step.LongRunning = true
	s.accept(testJob, step)
	plan := s.plan()
	require.Len(t, plan.Starts, 1)
	draining := s.upstream("i-1")
	draining.Draining = true
	s.sched.RegisterUpstream(draining, s.now)
	s.answerStarts(plan, nil)
	listing := bbrwork.Listing{Clock: time.Second, StartMillis: 2000, Running: []bbrwork.Run{{Unit: unitName(0), Number: 1, Percent: fullPercent}}}
	s.sched.ApplyListing(draining.Incarnation, &listing, s.now, s.now.Add(transitTime))
	s.advance(time.Second)
	require.Empty(t, s.plan().Stops)
}

// TestUnansweredStartIsNotCarriedOutByUnknownIncarnation guards against the same before the
// owner has sent anything to the next incarnation.
func TestUnansweredStartIsNotCarriedOutByUnknownIncarnation(t *testing.T) {
	for name, settle := range settledStarts {
		t.Run(name, func(t *testing.T) {
			s := newSameIDScene(t, "i-1")
			s.accept(testJob)
			order := s.awaitOrder()
			settle(s, order)
			_ = s.carryOutStart(order, time.Hour)
			s.requireOneRun()
		})
	}
}

// TestStartOfReplacedOwnerOnUnknownIncarnation guards against a unit that runs twice because
// a paused owner's start reaches an incarnation that has not seen its successor's token.
func TestStartOfReplacedOwnerOnUnknownIncarnation(t *testing.T) {
	tests := map[string]func(s *sameIDScene){
		"restarted after its listing": func(s *sameIDScene) {
			s.takeOver()
			s.bootPreferred("i-9")
			require.Equal(s, "i-9", s.awaitStart())
			s.restart("i-1", downTime)
		},
		"not listed by the platform for a moment": func(s *sameIDScene) {
			s.sim.upstreams["i-1"].alive = false
			s.takeOver()
			s.bootPreferred("i-9")
			s.endUnlisted("i-1")
			require.Equal(s, "i-9", s.awaitStart())
			s.restart("i-1", downTime)
		},
	}
	for name, restart := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSameIDScene(t, "i-1")
			s.accept(testJob)
			order := s.awaitOrder()
			restart(s)
			_ = s.carryOutStart(order, time.Hour)
			require.Empty(t, s.sim.violations)
		})
	}
}

// TestLongRunningStartOfReplacedOwnerIsAwaited guards against long-running work that runs twice because a
// start of the replaced owner reaches an incarnation that nobody has called yet, while its
// successor has started the work unit elsewhere.
func TestLongRunningStartOfReplacedOwnerIsAwaited(t *testing.T) {
	restarts := map[string]func(s *sameIDScene){
		"restarted after its listing": func(s *sameIDScene) {
			s.planFor(time.Second)
			s.restart("i-1", downTime)
		},
		"restarted under its successor's run": func(s *sameIDScene) {
			s.planFor(time.Second)
			s.work(time.Second)
			s.restart("i-1", downTime)
		},
		"unlisted for as long as it is awaited": func(s *sameIDScene) {
			s.planFor(time.Second)
			s.sim.upstreams["i-1"].alive = false
			s.register()
			s.work(lateStartWait - testTiming.Handover - time.Second)
			s.restart("i-1", 0)
		},
		"not listed by the platform for a moment": func(s *sameIDScene) {
			up := s.sim.upstreams["i-1"]
			up.alive = false
			s.o.sched.EndIncarnation(up.registration.Incarnation, "the platform lists it no more", s.sim.now)
			s.planFor(time.Second)
			s.restart("i-1", downTime)
		},
		"draining": func(s *sameIDScene) {
			s.sim.upstreams["i-1"].registration.Draining = true
			s.register()
			s.planFor(time.Second)
			s.restart("i-1", downTime)
		},
	}
	for name, restart := range restarts {
		for _, again := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", later run ", again), func(t *testing.T) {
				s := newSameIDScene(t, "i-1")
				s.acceptStep(testJob, longRunningStep(1))
				if again {
					s.awaitStart()
					s.endRuns("i-1", bbrwork.OutcomeStopped)
					s.renewAll()
				}
				order := s.awaitOrder()
				s.takeOver()
				s.renewAll()
				s.sim.boot("i-9", false)
				s.sim.upstreams["i-9"].registration.Capacity = fullCapacity.Plus(fullCapacity)
				s.register()
				s.renewAll()
				restart(s)
				_ = s.carryOutStart(order, time.Hour)
				s.requireOneRun()
			})
		}
	}
}

// TestStartOvertakenByListingIsNotAccused guards against accusing a work unit of the end of an
// incarnation on which it never ran: the next one lists its run later.
func TestStartOvertakenByListingIsNotAccused(t *testing.T) {
	s := newRestartedScene(t)
	s.listAgain(nil)
	s.answerStart(nil)
	s.listAgain([]bbrwork.Run{s.run()})
	require.Empty(t, s.sched.suspects)
}

// TestEndIsNotAcknowledgedByOvertakenRenewal guards against the same by a renewal in flight that a
// start overtakes on the next incarnation.
func TestEndIsNotAcknowledgedByOvertakenRenewal(t *testing.T) {
	s := newAcknowledgingScene(t)
	r := s.planAcknowledgement()
	s.restart("i-1", downTime)
	s.accept(testJob)
	s.sendStart(s.awaitOrder(), shortRun)
	s.sim.advance(2 * shortRun)
	s.send(r)
	require.True(t, s.sim.unit(unitName(0)).done)
	s.register()
	s.work(time.Second)
	require.Empty(t, s.sim.violations)
}

// TestUnansweredStartIsAccusedOnce guards against a job that is given up because a single start
// without an answer counts for each restart of its upstream.
func TestUnansweredStartIsAccusedOnce(t *testing.T) {
	s := newSameIDScene(t, "i-1")
	s.accept(testJob)
	s.loseStart(s.awaitOrder())
	for range 3 {
		s.restart("i-1", downTime)
		s.renewAll()
	}
	u := s.o.sched.jobs[testJob].findUnit(unitName(0))
	require.Len(t, u.crashes, 1)
}

// TestUnansweredStartOnSilentUpstreamStartsElsewhereOnce guards against a unit that starts elsewhere
// while its start can still be carried out by the next incarnation of a silent upstream.
func TestUnansweredStartOnSilentUpstreamStartsElsewhereOnce(t *testing.T) {
	for _, late := range []time.Duration{time.Second, 3 * time.Second, 7 * time.Second, 11 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			s := newSameIDScene(t, "i-1")
			s.accept(testJob)
			order := s.awaitOrder()
			s.cut("i-1")
			s.loseStart(order)
			s.restart("i-1", downTime)
			s.cut("i-1")
			s.bootPreferred("i-9")
			s.work(late - downTime)
			require.NoError(t, s.carryOutStart(order, time.Hour))
			s.work(maxOrderDelay + testTiming.MaxRunLease)
			require.NotEmpty(t, s.sim.upstreams["i-9"].runs)
			require.Empty(t, s.sim.violations)
		})
	}
}
