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

// dueWaitLimit is how long callers accept that a finite work unit has no run while an
// upstream has the free capacity for it.
const dueWaitLimit = 3 * time.Second

// listAll delivers a listing of each upstream in which all of its runs continue.
func (s *scene) listAll() {
	for _, up := range s.sched.sortedUpstreams() {
		var running []bbrwork.Run
		for key := range up.runs {
			running = append(running, bbrwork.Run{Unit: key.unit, Number: key.number, Percent: fullPercent})
		}
		s.listRunning(up.ID, running)
	}
}

// TestUpstreamThatAnswersOnlyARefusalIsUsedAgain guards against an upstream that stays out of
// use for ever, since the last call that it answered was a refused start and not a renewal.
func TestUpstreamThatAnswersOnlyARefusalIsUsedAgain(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.accept(testJob, unitStep(1))
	plan := s.plan()
	require.Len(t, plan.Starts, 1)
	_, known := s.sched.PlanRenewal("i-1", true, s.now)
	require.True(t, known)
	s.sched.ApplyRenewalFailure(s.upstream("i-1").Incarnation, bbrorder.ErrAnswerLost, s.now)
	s.answerStarts(plan, bbrorder.ErrNoCapacity)
	s.advance(verifyAfter)
	s.awaitStartWithin(dueWaitLimit, unitName(0), func() {
		if renewal, known := s.sched.PlanRenewal("i-1", true, s.now); known && !renewal.Idle {
			s.listAll()
		}
	})
}

// keepSuspect lets work fail on the upstream whenever suspectPeriod is half over.
func (s *scene) keepSuspect(id string) {
	h := &s.sched.upstreams[id].health
	for !h.suspect(s.now) || s.now.Sub(h.lastFailure) >= suspectPeriod/2 {
		h.recordEnd(bbrwork.OutcomeFailed, s.now)
	}
}

// TestFiniteWorkUsesSuspectUpstreamsThatAloneSuitIt guards against a work unit that waits as
// long as other work fails on the only upstream that can ever take it.
func TestFiniteWorkUsesSuspectUpstreamsThatAloneSuitIt(t *testing.T) {
	labelled, wide := unitStep(1), unitStep(1)
	labelled.Label = "kind-1"
	wide.Need.MilliCPU = 3500
	for name, step := range map[string]bbrwork.Step{"label": labelled, "wide": wide} {
		t.Run(name, func(t *testing.T) {
			s := newScene(t, true)
			s.registerCapacity("i-2", 4000, "kind-2", "r-1")
			s.startLongRunning(longRunningJob, 1, bbrwork.Resources{MilliCPU: 1000, MemoryMB: 100})
			s.registerCapacity("i-1", 4000, "kind-1", "r-1")
			s.keepSuspect("i-1")
			s.accept(testJob, step)
			order := s.awaitStartWithin(dueWaitLimit, unitName(0), func() {
				s.listAll()
				s.keepSuspect("i-1")
			})
			require.Equal(t, "i-1", order.Upstream.ID)
		})
	}
}

// TestAdviceIsAskedAboutSuspectUpstreams guards against work that has no ticket for a suspect
// upstream, since the advice service permits no other.
func TestAdviceIsAskedAboutSuspectUpstreams(t *testing.T) {
	for _, step := range []bbrwork.Step{unitStep(1), longRunningStep(1)} {
		s := newScene(t, true, "i-1", "i-2")
		s.sched.SetConfig(bbrwork.NewConfig(2, testQueues, nil, bbrwork.Limits{}))
		s.plan()
		s.keepSuspect("i-1")
		s.sched.AddJob(&bbrwork.Job{ID: testJob, Queue: "plates", Service: "press", Spec: "x", Steps: []bbrwork.Step{step}, Accepted: s.now}, 0, nil, s.now)
		var starts []StartOrder
		for limit := s.now.Add(dueWaitLimit); len(starts) == 0 && s.now.Before(limit); s.advance(50 * time.Millisecond) {
			plan := s.sched.Plan(true, s.now)
			starts = plan.Starts
			for _, request := range plan.AdviceRequests {
				s.sched.ApplyAdvice(request, map[string]string{"i-1": "t"}, ticketTTL, nil, s.now, s.now)
			}
			s.listAll()
			s.keepSuspect("i-1")
			s.store()
		}
		require.Len(t, starts, 1)
		require.Equal(t, "i-1", starts[0].Upstream.ID)
	}
}

// TestGangUsesSuspectUpstreamsThatItNeeds guards against a gang that waits as long as other
// work fails on an upstream without which it never fits.
func TestGangUsesSuspectUpstreamsThatItNeeds(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		t.Run(fmt.Sprint("long-running ", longRunning), func(t *testing.T) {
			s := newScene(t, true, "i-1", "i-2")
			s.keepSuspect("i-1")
			gang := unitStep(2)
			gang.Gang, gang.MaxPerUpstream, gang.LongRunning = true, 1, longRunning
			s.accept(testJob, gang)
			s.awaitStartWithin(dueWaitLimit, unitName(0), func() {
				s.listAll()
				s.keepSuspect("i-1")
			})
		})
	}
}

// isolate accuses the first work unit of the test's job of crashes beside many others.
func (s *scene) isolate() *unit {
	u := s.sched.jobs[testJob].findUnit(unitName(0))
	for i := range 3 {
		s.sched.accuse(u, bbrcrash.Crash{Upstream: fmt.Sprint("i-", 7+i), Run: i + 1, At: s.now, Others: 20}, s.now)
	}
	require.Equal(s, bbrcrash.Isolated, u.crashes.Standing())
	s.store()
	return u
}

const otherJob = "00000000000000d1"

// TestTrialLeavesSuspectUpstreamsToOtherWork guards against work that finds no upstream in the
// round in which a trial takes the last one that is not suspect.
func TestTrialLeavesSuspectUpstreamsToOtherWork(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2")
	s.plan()
	s.keepSuspect("i-2")
	s.accept(testJob, unitStep(1))
	s.isolate()
	s.accept(otherJob, unitStep(1))
	starts := s.sched.Plan(true, s.now).Starts
	require.NotNil(t, s.sched.upstreams["i-1"].trialUnit)
	require.Len(t, starts, 1)
	require.Equal(t, otherJob, starts[0].Start.Unit.Job)
}

// TestTrialTakesNoSuspectUpstream guards against work that finds no upstream in the round in which
// a trial that can't start there takes the only one, which is suspect.
func TestTrialTakesNoSuspectUpstream(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.plan()
	s.keepSuspect("i-1")
	s.accept(testJob, unitStep(1))
	s.isolate()
	s.accept(otherJob, unitStep(1))
	starts := s.sched.Plan(true, s.now).Starts
	require.Len(t, starts, 1)
	require.Equal(t, otherJob, starts[0].Start.Unit.Job)
	require.Nil(t, s.sched.upstreams["i-1"].trialUnit)
	s.advance(suspectPeriod)
	s.listAll()
	s.plan()
	require.NotNil(t, s.sched.upstreams["i-1"].trialUnit)
}

// TestLongTrialDoesNotKeepTheOnlyUpstream guards against harmless work that waits until a
// long run alone has ended, though there is free capacity beside it.
func TestLongTrialDoesNotKeepTheOnlyUpstream(t *testing.T) {
	s := newScene(t, true, "i-1")
	suspect := unitStep(1)
	suspect.Estimate = time.Minute
	s.accept(testJob, suspect)
	s.isolate()
	s.awaitStartWithin(dueWaitLimit, unitName(0), s.listAll)
	s.sched.ApplyStartResult(StartOrder{Upstream: s.upstream("i-1"), Start: bbrorder.Start{Unit: unitName(0), Run: 1}}, s.now.Sub(s.start), nil, s.now)
	s.accept(otherJob, unitStep(1))
	s.awaitStartWithin(dueWaitLimit, bbrwork.Unit{Job: otherJob}, s.listAll)
}

// TestTrialThatCannotStartDoesNotKeepTheOnlyUpstream guards against harmless work that waits
// beside free capacity, since a suspect waits for the end of a long run on the only upstream.
func TestTrialThatCannotStartDoesNotKeepTheOnlyUpstream(t *testing.T) {
	s := newScene(t, true, "i-1")
	filler := unitStep(1)
	filler.Estimate = time.Minute
	s.accept(fillerJob, filler)
	s.answerStarts(s.plan(), nil)
	s.accept(testJob, unitStep(1))
	s.isolate()
	s.plan()
	s.accept(otherJob, unitStep(1))
	s.awaitStartWithin(dueWaitLimit, bbrwork.Unit{Job: otherJob}, s.listAll)
}

// TestRefusedWideWorkDoesNotKeepSmallWorkWaiting guards against small work that never gets its
// turn on an upstream that refuses wide work again and again, since it has less than it reports.
func TestRefusedWideWorkDoesNotKeepSmallWorkWaiting(t *testing.T) {
	s := newScene(t, true)
	s.registerCapacity("i-1", 16000)
	wide := unitStep(4)
	wide.Need.MilliCPU = 4000
	s.accept("0000000000000001", wide)
	s.accept(testJob, unitStep(1))
	for limit := s.now.Add(dueWaitLimit); s.now.Before(limit); s.advance(50 * time.Millisecond) {
		plan := s.plan()
		for _, order := range plan.Starts {
			if order.Start.Unit == unitName(0) {
				return
			}
		}
		s.answerStarts(plan, bbrorder.ErrNoCapacity)
		s.listAll()
	}
	require.Fail(t, "the small work unit was not started in time")
}

// TestFiniteWorkDoesNotWaitLongForTheRackOfItsData guards against a short work unit that waits
// for a long run on the rack of its data, although it would long have ended on another rack.
func TestFiniteWorkDoesNotWaitLongForTheRackOfItsData(t *testing.T) {
	s := newScene(t, true)
	s.registerCapacity("i-1", 4000, "r-1")
	s.registerCapacity("i-2", 4000, "r-2")
	filler := unitStep(6)
	filler.Estimate = time.Minute
	s.accept(fillerJob, filler)
	s.answerStarts(s.plan(), nil)
	full := s.sched.upstreams["i-1"]
	if full.free().MilliCPU > 0 {
		full = s.sched.upstreams["i-2"]
	}
	require.Zero(t, full.free().MilliCPU)
	step := unitStep(1)
	step.DataRack = full.Rack()
	s.accept(testJob, step)
	s.awaitStartWithin(dueWaitLimit, unitName(0), s.listAll)
}

// TestTicketForAnUpstreamFarFromTheDataDoesNotKeepOthersUnasked guards against a work unit that
// waits beside a free upstream on the rack of its data until its ticket for a far one expires.
func TestTicketForAnUpstreamFarFromTheDataDoesNotKeepOthersUnasked(t *testing.T) {
	s := newScene(t, true)
	s.sched.SetConfig(bbrwork.NewConfig(2, testQueues, nil, bbrwork.Limits{}))
	s.registerCapacity("i-1", 4000, "r-1")
	s.registerCapacity("i-2", 4000, "r-2")
	filler := unitStep(6)
	filler.Estimate = time.Minute
	s.accept(fillerJob, filler)
	s.answerStarts(s.plan(), nil)
	full := s.sched.upstreams["i-1"]
	if full.free().MilliCPU > 0 {
		full = s.sched.upstreams["i-2"]
	}
	step := unitStep(1)
	step.DataRack, step.Estimate = full.Rack(), time.Minute
	s.sched.AddJob(&bbrwork.Job{ID: testJob, Queue: "plates", Service: "press", Spec: "x", Steps: []bbrwork.Step{step}, Accepted: s.now}, 0, nil, s.now)
	advise := func(plan Plan) {
		for _, request := range plan.AdviceRequests {
			s.sched.ApplyAdvice(request, map[string]string{"i-1": "t", "i-2": "t"}, time.Minute, nil, s.now, s.now)
		}
	}
	plan := s.sched.Plan(true, s.now)
	require.Empty(t, plan.Starts)
	advise(plan)
	for _, r := range full.runs {
		s.sched.dropRun(r, s.now)
		r.unit.markDone()
		break
	}
	for limit := s.now.Add(dueWaitLimit); s.now.Before(limit); s.advance(50 * time.Millisecond) {
		plan := s.sched.Plan(true, s.now)
		if len(plan.Starts) > 0 {
			require.Equal(t, full.ID, plan.Starts[0].Upstream.ID)
			return
		}
		advise(plan)
		s.listAll()
	}
	require.Fail(t, "the work unit was not started in time")
}

// TestGangLeavesTheRackOfItsDataIfItMay guards against a gang that need not run on one rack and
// waits for a long run on one, though its members fit on two racks now.
func TestGangLeavesTheRackOfItsDataIfItMay(t *testing.T) {
	s := newScene(t, true)
	s.registerCapacity("i-1", 4000, "r-1")
	s.registerCapacity("i-2", 4000, "r-2")
	filler := unitStep(2)
	filler.MaxPerUpstream, filler.Estimate = 1, time.Minute
	s.accept(fillerJob, filler)
	s.answerStarts(s.plan(), nil)
	gang := unitStep(2)
	gang.Gang, gang.DataRack, gang.Need.MilliCPU = true, "r-1", 2000
	s.accept(testJob, gang)
	s.awaitStartWithin(dueWaitLimit, unitName(0), s.listAll)
}

// TestScarceCapacityKeepsWorkNearItsData guards against a backlog that spreads over all racks
// when it has waited for long enough, and then takes several times as long.
func TestScarceCapacityKeepsWorkNearItsData(t *testing.T) {
	s := newScene(t, true)
	s.registerCapacity("i-1", 4000, "r-1")
	s.registerCapacity("i-2", 4000, "r-2")
	filler := unitStep(15)
	filler.Need.MilliCPU, filler.Estimate = 500, time.Minute
	s.accept(fillerJob, filler)
	for range 3 {
		s.answerStarts(s.plan(), nil)
	}
	full := s.sched.upstreams["i-1"]
	if full.free().MilliCPU > 0 {
		full = s.sched.upstreams["i-2"]
	}
	require.Zero(t, full.free().MilliCPU)
	step := unitStep(1)
	step.DataRack, step.Need.MilliCPU = full.Rack(), 500
	s.accept(testJob, step)
	require.Empty(t, s.startsWithin(10*time.Second))
}

// TestAttemptsOnSuspectUpstreamArePaused guards against a work unit that uses up its attempts
// at once on a suspect upstream, since another unit of its step has waited for long enough.
func TestAttemptsOnSuspectUpstreamArePaused(t *testing.T) {
	s := newScene(t, true)
	s.registerCapacity("i-1", 4000, "kind-1", "r-1")
	s.registerCapacity("i-2", 4000, "kind-2", "r-1")
	s.keepSuspect("i-1")
	step := unitStep(2)
	step.Label, step.Need.MilliCPU = "kind-1", 4000
	s.accept(testJob, step)
	failedAt := make(map[bbrwork.Unit]time.Time)
	sequence := int64(0)
	for limit := s.now.Add(10 * time.Second); s.now.Before(limit); s.advance(50 * time.Millisecond) {
		s.keepSuspect("i-1")
		plan := s.plan()
		s.answerStarts(plan, nil)
		s.listAll()
		for _, order := range plan.Starts {
			unit := order.Start.Unit
			if at, failed := failedAt[unit]; failed {
				require.GreaterOrEqual(t, s.now.Sub(at), suspectUseDelay, "%s run %d", unit, order.Start.Run)
			}
			sequence++
			s.list("i-1", bbrwork.RunEnd{Sequence: sequence, Unit: unit, Run: order.Start.Run, Outcome: bbrwork.OutcomeFailed})
			failedAt[unit] = s.now
		}
	}
	require.Len(t, failedAt, 2)
}

// TestWaitingWorkLeavesCapacityFarFromItsData guards against a backlog that takes in one round
// all capacity of the other racks, where it runs slowly.
func TestWaitingWorkLeavesCapacityFarFromItsData(t *testing.T) {
	const upstreams, milliCPU = 8, 8000
	s := newScene(t, true)
	for i := range upstreams {
		s.registerCapacity(fmt.Sprint("i-", i), milliCPU, "kind-"+fmt.Sprint(i), fmt.Sprint("r-", min(1, i)))
	}
	for i := range upstreams {
		filler := unitStep(1)
		filler.Label, filler.Need.MilliCPU, filler.Estimate = "kind-"+fmt.Sprint(i), milliCPU/2, time.Minute
		if i == 0 {
			filler.Need.MilliCPU = milliCPU
		}
		s.accept(jobID(i), filler)
		s.answerStarts(s.plan(), nil)
	}
	require.Zero(t, s.sched.upstreams["i-0"].free().MilliCPU)
	far := unitStep(100)
	far.DataRack = "r-0"
	s.accept(testJob, far)
	require.NotEmpty(t, s.startsWithin(10*time.Second))
	free := 0
	for _, up := range s.sched.upstreams {
		free += up.free().MilliCPU
	}
	require.GreaterOrEqual(t, free, upstreams*milliCPU/scarceShare-far.Need.MilliCPU)
}
