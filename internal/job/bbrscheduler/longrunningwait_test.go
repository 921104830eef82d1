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

// longRunningWaitLimit is how long callers accept that a long-running work unit has no run
// while there is capacity for it.
const longRunningWaitLimit = 6 * time.Second

func longRunningStep(count int) bbrwork.Step {
	step := unitStep(count)
	step.LongRunning = true
	return step
}

// registerCapacity registers an upstream with the capacity and labels, which then answers.
func (s *scene) registerCapacity(id string, milliCPU int, labels ...string) {
	up := s.upstream(id)
	up.Capacity.MilliCPU = milliCPU
	if len(labels) > 0 {
		up.Labels = labels
	}
	s.sched.RegisterUpstream(up, s.now)
	s.list(id)
}

// TestFailedStartsOfLongRunningWorkMoveOn guards against a long-running work unit that is
// tried again and again on the upstream with the most free capacity, which answers
// renewals but starts nothing.
func TestFailedStartsOfLongRunningWorkMoveOn(t *testing.T) {
	for _, failure := range []error{bbrorder.ErrAnswerLost, bbrorder.ErrNotSent, bbrorder.ErrInvalid, bbrorder.ErrExpired, bbrorder.ErrNoCapacity, bbrorder.ErrUnhealthy, bbrorder.ErrStaleRun} {
		t.Run(failure.Error(), func(t *testing.T) {
			s := newScene(t, true)
			s.registerCapacity("i-1", 16000)
			s.registerCapacity("i-2", 8000)
			s.registerCapacity("i-3", 4000)
			s.accept(testJob, longRunningStep(1))
			for limit := s.now.Add(longRunningWaitLimit); s.now.Before(limit); {
				for _, order := range s.plan().Starts {
					if order.Upstream.ID == "i-3" {
						return
					}
					s.advance(100 * time.Millisecond)
					s.sched.ApplyStartResult(order, 0, failure, s.now)
				}
				for _, id := range []string{"i-1", "i-2", "i-3"} {
					s.list(id)
				}
				s.advance(50 * time.Millisecond)
			}
			require.Fail(t, "the work unit never started on the upstream that accepts it")
		})
	}
}

// awaitStart plans until a start of the work unit is planned, and fails after
// longRunningWaitLimit. between is called after each plan.
func (s *scene) awaitStart(unit bbrwork.Unit, between func()) StartOrder {
	return s.awaitStartWithin(longRunningWaitLimit, unit, between)
}

// awaitStartWithin is awaitStart with another limit.
func (s *scene) awaitStartWithin(wait time.Duration, unit bbrwork.Unit, between func()) StartOrder {
	for limit := s.now.Add(wait); s.now.Before(limit); {
		plan := s.plan()
		for _, order := range plan.Starts {
			if order.Start.Unit == unit {
				return order
			}
		}
		s.answerStarts(plan, nil)
		for _, order := range plan.Stops {
			s.sched.ApplyStopResult(order, nil, s.now)
		}
		between()
		s.advance(50 * time.Millisecond)
	}
	require.Fail(s, "the work unit was not started in time")
	return StartOrder{}
}

const fillerJob = "00000000000000f1"

// TestLongRunningWorkDoesNotWaitForTheRackOfItsData guards against a long-running work unit
// that waits for finite work on the rack of its data while other racks have capacity.
func TestLongRunningWorkDoesNotWaitForTheRackOfItsData(t *testing.T) {
	s := newScene(t, true)
	s.registerCapacity("i-1", 4000, "r-1")
	s.registerCapacity("i-2", 4000, "r-2")
	filler := unitStep(6)
	filler.Estimate = 30 * time.Second
	s.accept(fillerJob, filler)
	s.answerStarts(s.plan(), nil)
	full := s.sched.upstreams["i-1"]
	if full.free().MilliCPU > 0 {
		full = s.sched.upstreams["i-2"]
	}
	require.Zero(t, full.free().MilliCPU)
	step := longRunningStep(1)
	step.DataRack = full.Rack()
	step.Need.MilliCPU = 2000
	s.accept(testJob, step)
	s.awaitStart(unitName(0), func() {})
}

// TestLongRunningWorkUsesSuspectUpstreamsWithItsLabel guards against a long-running work unit
// that waits as long as other work fails on the only upstream with its label.
func TestLongRunningWorkUsesSuspectUpstreamsWithItsLabel(t *testing.T) {
	s := newScene(t, true)
	s.registerCapacity("i-1", 4000, "kind-1", "r-1")
	s.registerCapacity("i-2", 4000, "kind-2", "r-1")
	step := longRunningStep(1)
	step.Label = "kind-1"
	health := &s.sched.upstreams["i-1"].health
	health.recordEnd(bbrwork.OutcomeFailed, s.now)
	health.recordEnd(bbrwork.OutcomeFailed, s.now)
	s.accept(testJob, step)
	s.awaitStart(unitName(0), func() {
		if s.now.Sub(health.lastFailure) >= 2*time.Second {
			health.recordEnd(bbrwork.OutcomeFailed, s.now)
		}
	})
}

// TestLongRunningWorkStartsWhatItsListingLacks guards against work units that are believed to
// run because their start was answered, or its answer lost, while the upstream does not
// list them.
func TestLongRunningWorkStartsWhatItsListingLacks(t *testing.T) {
	for _, result := range []error{nil, bbrorder.ErrAnswerLost} {
		s := newScene(t, true, "i-1")
		s.accept(testJob, longRunningStep(1))
		plan := s.plan()
		require.Len(t, plan.Starts, 1)
		s.answerStarts(plan, result)
		again := s.awaitStart(unitName(0), func() { s.list("i-1") })
		require.Equal(t, 2, again.Start.Run)
	}
}

// TestLongRunningWorkStartsBesideReservations guards against capacity that is reserved for
// finite work and keeps a long-running work unit waiting.
func TestLongRunningWorkStartsBesideReservations(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.sched.ReserveCapacity = true
	filler := unitStep(3)
	filler.Estimate = 30 * time.Second
	s.accept(fillerJob, filler)
	s.answerStarts(s.plan(), nil)
	wide := unitStep(1)
	wide.Need.MilliCPU, wide.Estimate = 4000, 60*time.Second
	s.accept("00000000000000f2", wide)
	s.plan()
	s.accept(testJob, longRunningStep(1))
	s.awaitStart(unitName(0), func() {})
}

// TestLongRunningWorkComesFirst guards against an order of starts in which a long-running
// work unit is last each time.
func TestLongRunningWorkComesFirst(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.accept("0000000000000001", unitStep(8))
	s.accept(testJob, longRunningStep(1))
	s.answerStarts(s.plan(), nil)
	s.store()
	order := s.plan().Starts[0]
	require.Equal(t, unitName(0), order.Start.Unit)
}

// TestLongRunningWorkOnARestartedUpstreamIsNotLeftUnknown guards against the run of an
// earlier incarnation whose start may still take effect and that stays unknown.
func TestLongRunningWorkOnARestartedUpstreamIsNotLeftUnknown(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.advance(10 * time.Second)
	s.list("i-1")
	s.accept(testJob, longRunningStep(1))
	plan := s.plan()
	require.Len(t, plan.Starts, 1)
	s.answerStarts(plan, bbrorder.ErrAnswerLost)
	rebooted := s.now
	s.awaitStart(unitName(0), func() {
		if renewal, known := s.sched.PlanRenewal("i-1", true, s.now); known {
			sent := s.now
			s.advance(time.Millisecond)
			s.sched.ApplyListing(renewal.Upstream.Incarnation, &bbrwork.Listing{Clock: s.now.Sub(rebooted), StartMillis: 2000}, sent, s.now)
		}
		again := s.upstream("i-1")
		again.StartMillis = 2000
		s.sched.RegisterUpstream(again, s.now)
	})
}

// TestLongRunningSuspectDoesNotWaitForAnUpstreamOfItsOwn guards against a long-running work
// unit that was beside several crashes and waits for an upstream without other work while
// there is capacity beside it.
func TestLongRunningSuspectDoesNotWaitForAnUpstreamOfItsOwn(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2")
	filler := unitStep(6)
	filler.Estimate = 60 * time.Second
	s.accept(fillerJob, filler)
	s.answerStarts(s.plan(), nil)
	s.accept(testJob, longRunningStep(1))
	u := s.sched.jobs[testJob].findUnit(unitName(0))
	for i := range 3 {
		s.sched.accuse(u, bbrcrash.Crash{Upstream: fmt.Sprint("i-", 7+i), Run: i + 1, At: s.now, Others: 20}, s.now)
	}
	require.Equal(t, bbrcrash.Isolated, u.crashes.Standing())
	s.awaitStart(unitName(0), func() {})
}

// TestLongRunningWorkDoesNotWaitForTheAdviceOnFiniteWork guards against a long-running work
// unit that finds all requests to the advice service taken by finite work, round after
// round.
func TestLongRunningWorkDoesNotWaitForTheAdviceOnFiniteWork(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2")
	s.sched.SetConfig(bbrwork.NewConfig(2, testQueues, nil, bbrwork.Limits{}))
	accept := func(id string, step bbrwork.Step) {
		s.sched.AddJob(&bbrwork.Job{ID: id, Queue: "plates", Service: "press", Spec: "x", Steps: []bbrwork.Step{step}, Accepted: s.now}, 0, nil, s.now)
	}
	for i := range 40 {
		accept(fmt.Sprintf("%016x", i+1), unitStep(1))
	}
	var inFlight []AdviceRequest
	answerFirst := func(plan Plan) {
		inFlight = append(inFlight, plan.AdviceRequests...)
		require.LessOrEqual(t, len(inFlight), maxAdviceInFlight)
		if len(inFlight) > 0 {
			s.sched.ApplyAdvice(inFlight[0], map[string]string{"i-1": "t", "i-2": "t"}, ticketTTL, nil, s.now, s.now)
			inFlight = inFlight[1:]
		}
	}
	answerFirst(s.plan())
	accept(testJob, longRunningStep(1))
	for limit := s.now.Add(longRunningWaitLimit); s.now.Before(limit); s.advance(time.Second) {
		plan := s.plan()
		s.store()
		stored := s.plan()
		for _, starts := range [][]StartOrder{plan.Starts, stored.Starts} {
			if len(starts) > 0 && starts[0].Start.Unit == unitName(0) {
				return
			}
		}
		plan.AdviceRequests = append(plan.AdviceRequests, stored.AdviceRequests...)
		answerFirst(plan)
	}
	require.Fail(t, "the work unit was not started in time")
}
