package bbrscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// loadAll lets a successor begin that knows all stored jobs: they were added before.
func loadAll(sched *Scheduler, recorded []bbrwork.Upstream, inherited bbrkv.Revision, now time.Time) {
	sched.BeginLoading(recorded, inherited, now)
	sched.FinishLoading(now)
}

// lateJob is a job that a loading owner learns of late.
const lateJob = "00000000000000c9"

var lateUnit = bbrwork.Unit{Job: lateJob}

// lateRun is the run of lateUnit that an upstream lists.
var lateRun = bbrwork.Run{Unit: lateUnit, Number: 1, Checkpoint: "half"}

func lateEnd(sequence int64, outcome bbrwork.RunOutcome) bbrwork.RunEnd {
	return bbrwork.RunEnd{Sequence: sequence, Unit: lateUnit, Run: 1, Outcome: outcome, Checkpoint: "half"}
}

// newLoadingScene returns a scene of a successor that has begun to load jobs, all of which an
// earlier owner may have started. The upstreams, which that owner recorded, are registered.
func newLoadingScene(t *testing.T, upstreams ...string) *scene {
	s := newScene(t, false)
	var recorded []bbrwork.Upstream
	for _, id := range upstreams {
		recorded = append(recorded, s.upstream(id))
	}
	s.sched.BeginLoading(recorded, 500, s.now)
	for _, id := range upstreams {
		s.register(id)
	}
	return s
}

// stored adds a job that was stored before the takeover.
func (s *scene) stored(id string, step bbrwork.Step) {
	s.sched.AddJob(&bbrwork.Job{ID: id, Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{step}, Accepted: s.now}, 100, nil, s.now)
}

// renewal returns the renewal that the upstream gets now.
func (s *scene) renewal(id string) RenewalPlan {
	s.advance(time.Millisecond)
	plan, known := s.sched.PlanRenewal(id, true, s.now)
	require.True(s, known)
	return plan
}

// upstreamsOf returns the upstreams that the plan starts work on.
func upstreamsOf(plan Plan) map[string]int {
	ids := make(map[string]int)
	for _, order := range plan.Starts {
		ids[order.Upstream.ID]++
	}
	return ids
}

// TestRunOfJobToBeLoadedGoesOn guards against a successor that stops a run, or lets its lease
// expire, because its job is still to be loaded, and against work that is started beside it
// while its needs are not known.
func TestRunOfJobToBeLoadedGoesOn(t *testing.T) {
	s := newLoadingScene(t, "i-1", "i-2")
	s.list("i-2")
	for range 40 {
		s.listRunning("i-1", []bbrwork.Run{lateRun})
		renewal := s.renewal("i-1")
		require.True(t, renewal.HasRuns)
		require.False(t, renewal.Idle)
		require.NotZero(t, renewal.LeaseUntil)
		require.Empty(t, s.plan().Stops)
		s.advance(200 * time.Millisecond)
	}
	require.Equal(t, []string{lateJob}, s.sched.MissingJobs(10))
	s.stored(testJob, unitStep(8))
	require.Equal(t, map[string]int{"i-2": 4}, upstreamsOf(s.plan()))

	s.stored(lateJob, unitStep(1))
	require.Empty(t, s.sched.MissingJobs(10))
	u := s.unit(lateJob, 0)
	require.Len(t, u.runs, 1)
	require.Equal(t, "half", u.checkpoint)
	require.Equal(t, bbrwork.Resources{MilliCPU: 1000, MemoryMB: 100}, s.sched.upstreams["i-1"].used)
	plan := s.plan()
	require.Empty(t, plan.Stops)
	require.Equal(t, map[string]int{"i-1": 3}, upstreamsOf(plan), "only the other units of the known job start")
	require.NotContains(t, startedBy(plan), lateJob)
}

// TestUpstreamWithRunsOfJobsToBeLoadedIsKept guards against an upstream that is given away, is
// forgotten, or is hidden from a further successor, while it runs work that is not known yet.
func TestUpstreamWithRunsOfJobsToBeLoadedIsKept(t *testing.T) {
	s := newLoadingScene(t, "i-1", "i-2", "i-3")
	s.listRunning("i-1", []bbrwork.Run{lateRun})
	s.listRunning("i-3", nil, bbrwork.RunEnd{Sequence: 1, Unit: bbrwork.Unit{Job: lateJob, Index: 1}, Run: 1, Outcome: bbrwork.OutcomeDone})
	s.list("i-2")
	require.True(t, s.sched.EarlierWorkLocated(s.now))
	require.Empty(t, s.sched.Demand(s.now).Releasable)
	s.stored(testJob, unitStep(1))
	s.sched.Plan(true, s.now)
	recorded := make(map[string]bool)
	for _, up := range s.sched.Batch(1000, s.now).Recorded {
		recorded[up.ID] = true
	}
	require.Equal(t, map[string]bool{"i-1": true, "i-2": true, "i-3": true}, recorded)
	s.sched.SetReserved(map[string]bool{"i-1": true, "i-2": true}, s.now)
	require.Equal(t, []string{"i-2"}, s.sched.Drained(s.now))
	s.sched.UnregisterUpstream("i-1", s.now)
	s.sched.UnregisterUpstream("i-3", s.now)
	s.advance(2 * unregisteredRetention)
	s.sched.forgetUnregistered(s.now)
	require.Contains(t, s.sched.upstreams, "i-1")
	require.Contains(t, s.sched.upstreams, "i-3")
	recorded = make(map[string]bool)
	for _, up := range s.sched.Batch(1000, s.now).Recorded {
		recorded[up.ID] = true
	}
	require.True(t, recorded["i-1"] && recorded["i-3"])
}

// TestEndOfJobToBeLoadedIsNotLost guards against an end that is acknowledged before its job is
// known, so that its work is repeated.
func TestEndOfJobToBeLoadedIsNotLost(t *testing.T) {
	s := newLoadingScene(t, "i-1")
	s.stored(testJob, unitStep(2))
	known := func(sequence int64, index int) bbrwork.RunEnd {
		return bbrwork.RunEnd{Sequence: sequence, Unit: unitName(index), Run: 1, Outcome: bbrwork.OutcomeDone}
	}
	ends := []bbrwork.RunEnd{known(1, 0), lateEnd(2, bbrwork.OutcomeDone), known(3, 1)}
	s.listRunning("i-1", nil, ends...)
	require.Equal(t, []string{lateJob}, s.sched.MissingJobs(10))
	writes := s.store()
	require.Len(t, writes, 1)
	require.Equal(t, bbrwork.Completed, writes[0].FinalState)
	require.EqualValues(t, 1, s.renewal("i-1").Acknowledged)
	s.listRunning("i-1", nil, ends[1:]...)
	require.False(t, s.sched.CanAcknowledge())
	require.False(t, s.sched.HasUnacknowledgedEnds("i-1"), "a renewal that waited for the store would wait for the job")
	require.False(t, s.renewal("i-1").Idle)

	s.stored(lateJob, unitStep(1))
	require.Empty(t, s.sched.Plan(true, s.now).Starts)
	require.Equal(t, bbrwork.Completed, s.sched.jobs[lateJob].finalState)
	require.EqualValues(t, 1, s.renewal("i-1").Acknowledged, "the end is not stored yet")
	s.list("i-1", ends[1:]...)
	s.store()
	require.EqualValues(t, 3, s.sched.upstreams["i-1"].acknowledged)
}

// TestEndsOfJobToBeLoadedCountOnce guards against an end that counts twice, since upstreams
// list it until it is acknowledged, or not at all.
func TestEndsOfJobToBeLoadedCountOnce(t *testing.T) {
	s := newLoadingScene(t, "i-1")
	for range 5 {
		s.list("i-1", lateEnd(1, bbrwork.OutcomeFailed))
	}
	s.stored(lateJob, unitStep(1))
	u := s.unit(lateJob, 0)
	require.Equal(t, 1, u.failureCount())
	require.Equal(t, "half", u.checkpoint)
	require.Equal(t, "i-1", u.avoidUpstream)
	s.list("i-1", lateEnd(1, bbrwork.OutcomeFailed))
	require.Equal(t, 1, u.failureCount())
	plan := s.plan()
	require.Len(t, plan.Starts, 1)
	require.Equal(t, "half", plan.Starts[0].Start.Checkpoint)
	require.Equal(t, runNumberGap+1, plan.Starts[0].Start.Run)
}

// TestEndBeforeItsJobLocates guards against long-running work that waits for a silent upstream,
// although the end of its last run was listed before its job was loaded.
func TestEndBeforeItsJobLocates(t *testing.T) {
	s := newScene(t, false)
	s.sched.InheritOrders(true)
	s.sched.BeginLoading([]bbrwork.Upstream{s.upstream("i-1"), s.upstream("i-silent")}, 500, s.now)
	s.register("i-1")
	s.list("i-1", lateEnd(1, bbrwork.OutcomeStopped))
	step := unitStep(1)
	step.LongRunning = true
	s.stored(lateJob, step)
	require.True(t, s.unit(lateJob, 0).located)
	require.False(t, s.sched.EarlierWorkLocated(s.now))
}

// TestEndOutlivesItsUpstream guards against an end that is lost because its upstream ended
// before its job was loaded.
func TestEndOutlivesItsUpstream(t *testing.T) {
	s := newLoadingScene(t, "i-1")
	s.list("i-1", lateEnd(1, bbrwork.OutcomeDone))
	s.sched.EndIncarnation(s.upstream("i-1").Incarnation, "ended", s.now)
	s.stored(lateJob, unitStep(1))
	require.Equal(t, bbrwork.Completed, s.sched.jobs[lateJob].finalState)
}

// TestJobThatIsNotStored guards against runs of ended jobs that go on, and against ends of
// such jobs that keep others from being acknowledged.
func TestJobThatIsNotStored(t *testing.T) {
	for name, settle := range map[string]func(s *scene){
		"read by key":     func(s *scene) { s.sched.RecordMissing(lateJob, s.now) },
		"all jobs loaded": func(s *scene) { require.Empty(s, s.sched.FinishLoading(s.now)) },
		"malformed": func(s *scene) {
			s.sched.AddJob(&bbrwork.Job{ID: lateJob, Service: "press", Queue: "proofs", Steps: []bbrwork.Step{{DependsOn: []int{5}, Count: 1}}}, 100, nil, s.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newLoadingScene(t, "i-1")
			running := []bbrwork.Run{{Unit: bbrwork.Unit{Job: lateJob, Index: 1}, Number: 1}}
			s.listRunning("i-1", running, lateEnd(1, bbrwork.OutcomeDone))
			s.advance(2 * orphanGrace)
			require.Empty(t, s.plan().Stops)
			settle(s)
			require.Empty(t, s.sched.MissingJobs(10))
			s.listRunning("i-1", running, lateEnd(1, bbrwork.OutcomeDone))
			s.advance(2 * orphanGrace)
			require.Len(t, s.plan().Stops, 1)
			s.store()
			require.EqualValues(t, 1, s.renewal("i-1").Acknowledged)
		})
	}
}

// TestRunOfJobToBeLoadedLapses guards against a work unit that starts elsewhere before the
// lease of its run on a silent upstream has ended, or never.
func TestRunOfJobToBeLoadedLapses(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprintf("loaded late %v", late), func(t *testing.T) {
			s := newLoadingScene(t, "i-1", "i-2")
			s.listRunning("i-1", []bbrwork.Run{lateRun})
			s.list("i-2")
			require.NotZero(t, s.renewal("i-1").LeaseUntil)
			bound := s.now.Add(leaseBound(testTiming.MaxRunLease))
			if !late {
				s.stored(lateJob, unitStep(1))
			}
			starts := 0
			for starts == 0 && s.now.Before(bound.Add(time.Second)) {
				s.sched.ApplyRenewalFailure(s.upstream("i-1").Incarnation, bbrorder.ErrAnswerLost, s.now)
				s.list("i-2")
				if plan := s.plan(); len(plan.Starts) > 0 {
					starts++
					require.True(t, s.now.After(bound.Add(-500*time.Millisecond)), "started %v before the lease ends", bound.Sub(s.now))
					require.Greater(t, plan.Starts[0].Start.Run, lateRun.Number)
				}
				s.advance(300 * time.Millisecond)
			}
			if late {
				require.Zero(t, starts)
				require.False(t, s.sched.usageUnknown(s.now), "it holds up organisations with a cap")
				s.stored(lateJob, unitStep(1))
				require.Len(t, s.plan().Starts, 1)
				return
			}
			require.Equal(t, 1, starts)
		})
	}
}

// TestLapsedRunOfJobToBeLoadedDoesNotCount guards against the end of a run that counts after
// its lease had ended, when its work unit may have started elsewhere.
func TestLapsedRunOfJobToBeLoadedDoesNotCount(t *testing.T) {
	s := newLoadingScene(t, "i-1", "i-2")
	s.listRunning("i-1", []bbrwork.Run{lateRun})
	s.list("i-2")
	for range 40 {
		s.sched.ApplyRenewalFailure(s.upstream("i-1").Incarnation, bbrorder.ErrAnswerLost, s.now)
		s.list("i-2")
		s.plan()
		s.advance(300 * time.Millisecond)
	}
	s.stored(lateJob, unitStep(1))
	s.answerStarts(s.plan(), nil)
	require.Len(t, s.unit(lateJob, 0).runs, 1)
	s.list("i-1", lateEnd(1, bbrwork.OutcomeDone))
	require.False(t, s.unit(lateJob, 0).done)
}

// TestCrashUnderRunOfJobToBeLoaded guards against work that crashes its upstreams again and
// again because its owner did not know it at the time.
func TestCrashUnderRunOfJobToBeLoaded(t *testing.T) {
	s := newLoadingScene(t, "i-1")
	s.listRunning("i-1", []bbrwork.Run{lateRun})
	s.sched.EndIncarnation(s.upstream("i-1").Incarnation, "crashed", s.now)
	s.stored(lateJob, unitStep(1))
	u := s.unit(lateJob, 0)
	require.Len(t, u.crashes, 1)
	require.Equal(t, lateRun.Number, u.crashes[0].Run)
	require.Empty(t, u.runs)
}

// TestCrashRecordWaitsForItsJob guards against a suspect that starts beside other work since
// its job is loaded after its crash record, and against a trial whose outcome is not seen.
func TestCrashRecordWaitsForItsJob(t *testing.T) {
	const crash = `{"upstream":"i-8","youngest":true,"certain":true,"others":3}`
	record := []byte(`{"suspects":[{"crashes":[` + crash + `],"trial":{"upstream":"i-1","startMillis":1000,"run":1}}]}`)
	begin := func(t *testing.T) *scene {
		s := newScene(t, false)
		require.False(t, s.sched.RestoreCrashes(lateJob, record, s.now))
		require.False(t, s.sched.RestoreCrashes("00000000000000d1", record, s.now))
		s.sched.BeginLoading([]bbrwork.Upstream{s.upstream("i-1")}, 500, s.now)
		s.register("i-1")
		return s
	}
	t.Run("the trial runs", func(t *testing.T) {
		s := begin(t)
		s.listRunning("i-1", []bbrwork.Run{lateRun})
		s.stored(lateJob, unitStep(1))
		u := s.unit(lateJob, 0)
		require.Len(t, u.crashes, 1)
		require.False(t, u.trialInherited)
		require.NotNil(t, u.trial)
	})
	t.Run("the trial did not begin", func(t *testing.T) {
		s := begin(t)
		s.list("i-1")
		s.stored(lateJob, unitStep(1))
		require.Len(t, s.unit(lateJob, 0).crashes, 1)
		require.Nil(t, s.unit(lateJob, 0).trial)
	})
	t.Run("the upstream ended", func(t *testing.T) {
		s := begin(t)
		s.sched.EndIncarnation(s.upstream("i-1").Incarnation, "crashed", s.now)
		s.stored(lateJob, unitStep(1))
		require.Len(t, s.unit(lateJob, 0).crashes, 2)
		writes := s.store()
		require.Len(t, writes, 1)
		require.NotEmpty(t, writes[0].Crashes)
	})
	t.Run("not reached yet", func(t *testing.T) {
		s := begin(t)
		s.stored(lateJob, unitStep(1))
		require.True(t, s.unit(lateJob, 0).trialInherited)
		s.sched.EndIncarnation(s.upstream("i-1").Incarnation, "crashed", s.now)
		require.Len(t, s.unit(lateJob, 0).crashes, 2)
	})
	t.Run("no such job", func(t *testing.T) {
		s := begin(t)
		s.stored(lateJob, unitStep(1))
		require.Equal(t, []string{"00000000000000d1"}, s.sched.FinishLoading(s.now))
	})
	t.Run("given up", func(t *testing.T) {
		s := newScene(t, false)
		crashes := crash + `,{"upstream":"i-9","youngest":true,"certain":true}` + `,{"upstream":"i-7","youngest":true,"certain":true}`
		require.False(t, s.sched.RestoreCrashes(lateJob, []byte(`{"suspects":[{"crashes":[`+crashes+`],"trial":{"upstream":"i-1","startMillis":1000,"run":1}}]}`), s.now))
		s.sched.BeginLoading(nil, 500, s.now)
		s.stored(lateJob, unitStep(1))
		require.Equal(t, bbrwork.Failed, s.sched.jobs[lateJob].finalState)
		require.Equal(t, bbrcode.CrashesUpstreams, s.sched.jobs[lateJob].endCode)
	})
}

// TestCapHoldsWhileJobsAreLoaded guards against an organisation that exceeds its cap, or gives
// its share away, because runs of jobs that are still to be loaded are not counted.
func TestCapHoldsWhileJobsAreLoaded(t *testing.T) {
	s := newLoadingScene(t, "i-1", "i-2")
	s.applyCap(limitedMilliCPU)
	s.list("i-2")
	s.acceptOf("00000000000000a1", limitedOrganisation, 600, 2)
	s.acceptOf("00000000000000a2", "", 600, 1)
	account := s.sched.Account(limitedOrganisation)
	account.OthersWait = 2
	require.Equal(t, map[string]int{"00000000000000a2": 1}, startedBy(s.plan()), "i-1 is not located")
	require.Equal(t, ReasonJobsNotLoaded, s.sched.waitReasons(true, s.now)["00000000000000a1.0.0"])
	s.listRunning("i-1", []bbrwork.Run{lateRun})
	require.True(t, s.sched.EarlierWorkLocated(s.now))
	require.Empty(t, s.plan().Starts, "the run may be of the organisation")
	require.Equal(t, ReasonJobsNotLoaded, s.sched.waitReasons(true, s.now)["00000000000000a1.0.0"])
	require.Equal(t, account.Held, account.Target(4), "nothing is released")

	job := &bbrwork.Job{ID: lateJob, Queue: "proofs", Service: "press", Spec: "x", Organisation: limitedOrganisation, Accepted: s.now, Steps: []bbrwork.Step{unitStep(1)}}
	s.sched.AddJob(job, 100, nil, s.now)
	require.True(t, s.sched.Loading())
	require.Equal(t, map[string]int{"00000000000000a1": 1}, startedBy(s.plan()), "the run counts")
}

// TestHorizonWhileJobsAreLoaded guards against a second successor that believes that a job was
// never started, because the first did not know it and stored a horizon below it.
func TestHorizonWhileJobsAreLoaded(t *testing.T) {
	s := newLoadingScene(t, "i-1")
	s.listRunning("i-1", []bbrwork.Run{lateRun})
	s.acceptStored(testJob, 10)
	require.True(t, s.sched.EarlierWorkLocated(s.now))
	require.EqualValues(t, 500, s.sched.Batch(1, s.now).Horizon)
	s.acceptStored(lateJob, 490)
	s.sched.FinishLoading(s.now)
	require.EqualValues(t, 490+horizonLead, s.sched.Batch(1, s.now).Horizon)
}

// TestUnknownHorizonWaitsForAllJobs guards against work that starts although no horizon can be
// stored: an earlier owner stored none, and its started jobs are not all known.
func TestUnknownHorizonWaitsForAllJobs(t *testing.T) {
	s := newScene(t, false)
	s.sched.BeginLoading([]bbrwork.Upstream{s.upstream("i-1")}, 0, s.now)
	s.register("i-1")
	s.list("i-1")
	s.acceptStored(testJob, 10)
	require.Empty(t, s.plan().Starts)
	require.False(t, s.sched.NeedsHorizon(), "it would be stored again and again")
	require.Zero(t, s.sched.Batch(1, s.now).Horizon)
	require.Equal(t, map[string]Reason{testJob + ".0.0": ReasonJobsNotLoaded}, s.sched.waitReasons(true, s.now))
	s.sched.FinishLoading(s.now)
	require.Len(t, s.plan().Starts, 1)
}

// TestOrdersStoredWhileJobsAreLoaded guards against a promise about run numbers that does not
// hold for jobs that are still to be loaded. What all earlier owners promised holds.
func TestOrdersStoredWhileJobsAreLoaded(t *testing.T) {
	for _, inherited := range []bool{false, true} {
		s := newScene(t, false)
		s.sched.InheritOrders(inherited)
		s.sched.BeginLoading([]bbrwork.Upstream{s.upstream("i-1")}, 500, s.now)
		s.register("i-1")
		s.listRunning("i-1", []bbrwork.Run{{Unit: lateUnit, Number: 7}})
		for range 3 {
			require.Equal(t, inherited, s.sched.Batch(10, s.now).OrdersStored)
			s.store()
		}
		step := unitStep(1)
		step.LongRunning = true
		s.stored(lateJob, step)
		s.sched.FinishLoading(s.now)
		for range 3 {
			s.store()
		}
		require.True(t, s.sched.Batch(10, s.now).OrdersStored)
		if !inherited {
			require.Equal(t, 7, s.unit(lateJob, 0).stored().ordered)
		}
	}
}

// TestRunNumbersAreSkippedForLateJobs guards against a run number that an earlier owner may
// have used, for a job that is loaded late.
func TestRunNumbersAreSkippedForLateJobs(t *testing.T) {
	s := newLoadingScene(t, "i-1")
	s.list("i-1")
	s.acceptStored(lateJob, 500)
	s.acceptStored(testJob, 501)
	require.Equal(t, runNumberGap, s.unit(lateJob, 0).lastRun)
	require.Zero(t, s.unit(testJob, 0).lastRun, "nobody has started it")
}

// TestCancelledBeforeItIsLoaded guards against work that starts although its cancellation was
// read before the job.
func TestCancelledBeforeItIsLoaded(t *testing.T) {
	s := newLoadingScene(t, "i-1")
	s.list("i-1")
	s.sched.Cancel(lateJob, s.now)
	s.stored(lateJob, unitStep(1))
	require.Empty(t, s.sched.Plan(true, s.now).Starts)
	require.Equal(t, bbrwork.Cancelled, s.sched.jobs[lateJob].finalState)
}

// TestEndedJobIsNotLoadedAgain guards against a job that starts again since a list that was
// read before its end names it, however long loading takes.
func TestEndedJobIsNotLoadedAgain(t *testing.T) {
	s := newLoadingScene(t, "i-1")
	s.list("i-1", lateEnd(1, bbrwork.OutcomeDone))
	s.stored(lateJob, unitStep(1))
	s.store()
	s.advance(2 * endedRetention)
	s.store()
	s.stored(lateJob, unitStep(1))
	s.list("i-1")
	require.Empty(t, s.plan().Starts)
}

// TestFirstOwnerLoads guards against a first owner that takes jobs that were accepted before
// it for started ones.
func TestFirstOwnerLoads(t *testing.T) {
	s := newScene(t, true)
	s.sched.BeginLoading(nil, 0, s.now)
	require.True(t, s.sched.Loading())
	s.register("i-1")
	s.list("i-1")
	s.stored(testJob, unitStep(1))
	plan := s.plan()
	require.Len(t, plan.Starts, 1)
	require.Equal(t, 1, plan.Starts[0].Start.Run)
	s.sched.FinishLoading(s.now)
	require.False(t, s.sched.Loading())
}

// TestMissingJobsOrder guards against an owner that reads jobs of which only ends are listed
// before those that keep upstreams from taking work.
func TestMissingJobsOrder(t *testing.T) {
	s := newLoadingScene(t, "i-1")
	unit := func(id string) bbrwork.Unit { return bbrwork.Unit{Job: id} }
	s.listRunning("i-1", []bbrwork.Run{{Unit: unit("00000000000000b1"), Number: 1}, {Unit: unit("00000000000000b3"), Number: 1}},
		bbrwork.RunEnd{Sequence: 1, Unit: unit("00000000000000b2"), Run: 1, Outcome: bbrwork.OutcomeDone})
	require.Equal(t, []string{"00000000000000b1", "00000000000000b3", "00000000000000b2"}, s.sched.MissingJobs(10))
	require.Equal(t, []string{"00000000000000b1"}, s.sched.MissingJobs(1))
}

// newLoadedScene returns a scene of a successor that has loaded all jobs that it has learned of,
// and that has not reached the upstreams. An earlier owner recorded them.
func newLoadedScene(t *testing.T, upstreams ...string) *scene {
	s := newLoadingScene(t, upstreams...)
	require.Empty(t, s.sched.FinishLoading(s.now))
	return s
}

// TestEndOfJobThatArrivesAfterLoadingCounts guards against work that is done again, because an
// upstream listed its end first after all jobs were loaded, and before its job arrived.
func TestEndOfJobThatArrivesAfterLoadingCounts(t *testing.T) {
	s := newLoadedScene(t, "i-1")
	s.list("i-1", lateEnd(1, bbrwork.OutcomeDone))
	require.True(t, s.sched.EarlierWorkLocated(s.now))
	require.False(t, s.sched.EarlierWorkKnown(s.now))
	require.False(t, s.sched.Loading())
	require.Equal(t, []string{lateJob}, s.sched.MissingJobs(10))
	s.sched.Plan(true, s.now)
	batch := s.sched.Batch(1000, s.now)
	require.EqualValues(t, 500, batch.Horizon, "a further successor must look for the job")
	s.sched.ApplyStored(batch, 200, s.now)
	require.Zero(t, s.sched.upstreams["i-1"].acknowledged)
	require.False(t, s.renewal("i-1").Idle)
	s.sched.SetReserved(map[string]bool{"i-1": true}, s.now)
	require.Empty(t, s.sched.Drained(s.now))

	s.stored(lateJob, unitStep(1))
	require.True(t, s.sched.EarlierWorkKnown(s.now))
	require.Equal(t, bbrwork.Completed, s.sched.jobs[lateJob].finalState)
	require.Empty(t, s.plan().Starts)
	s.store()
	require.EqualValues(t, 1, s.sched.upstreams["i-1"].acknowledged)
	require.Equal(t, []string{"i-1"}, s.sched.Drained(s.now))
}

// TestRunOfJobThatArrivesAfterLoadingGoesOn guards against a run that is stopped, or whose work
// unit starts again, because an upstream listed it first after all jobs were loaded, and
// before its job arrived.
func TestRunOfJobThatArrivesAfterLoadingGoesOn(t *testing.T) {
	s := newLoadedScene(t, "i-1", "i-2")
	s.list("i-2")
	for range 20 {
		s.listRunning("i-1", []bbrwork.Run{lateRun})
		require.NotZero(t, s.renewal("i-1").LeaseUntil)
		require.Empty(t, s.plan().Stops)
		require.True(t, s.sched.usageUnknown(s.now))
		require.NotContains(t, s.sched.Demand(s.now).Releasable, "i-1")
		s.advance(200 * time.Millisecond)
	}
	// The end of a run that is kept is kept as well.
	s.listRunning("i-1", nil, lateEnd(1, bbrwork.OutcomeDone))
	s.stored(lateJob, unitStep(1))
	require.Equal(t, bbrwork.Completed, s.sched.jobs[lateJob].finalState)
	require.False(t, s.sched.usageUnknown(s.now))
}

// TestRunOfMissingJobIsStoppedAfterLoading guards against runs of ended jobs that go on: those
// of jobs that were found to be missing, before or after all jobs were loaded, and those that
// are listed once no earlier work remains to be located.
func TestRunOfMissingJobIsStoppedAfterLoading(t *testing.T) {
	for name, settle := range map[string]func(s *scene){
		"read during loading": func(s *scene) {
			s.listRunning("i-1", []bbrwork.Run{lateRun})
			s.sched.RecordMissing(lateJob, s.now)
			s.sched.FinishLoading(s.now)
		},
		"read after loading": func(s *scene) {
			s.sched.FinishLoading(s.now)
			s.listRunning("i-1", []bbrwork.Run{lateRun})
			s.sched.RecordMissing(lateJob, s.now)
		},
		"listed once all is located": func(s *scene) {
			s.sched.FinishLoading(s.now)
			s.list("i-1")
			s.list("i-2")
		},
		"listed once no earlier lease lasts": func(s *scene) {
			s.sched.FinishLoading(s.now)
			s.list("i-1")
			s.advance(s.sched.earlierLeasesEnd.Sub(s.now) + time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newLoadingScene(t, "i-1", "i-2")
			settle(s)
			s.listRunning("i-1", []bbrwork.Run{lateRun})
			require.Empty(t, s.sched.MissingJobs(10))
			s.advance(2 * orphanGrace)
			require.Len(t, s.plan().Stops, 1)
		})
	}
}
