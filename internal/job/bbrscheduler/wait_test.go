package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// runOn adds a run of another job to an upstream.
func (s *scene) runOn(id, on string, need bbrwork.Resources, longRunning bool) {
	s.accept(id, bbrwork.Step{Count: 1, Need: need, Estimate: time.Second, LongRunning: longRunning})
	r := s.sched.addRun(s.unit(id, 0), 1, s.sched.upstreams[on], s.now)
	r.phase, r.confirmedAt = phaseRunning, s.now
}

func (s *scene) unit(id string, step int) *unit {
	return s.sched.jobs[id].occurrences[0].steps[step].units[0]
}

// lastStepWait returns the wait of the last step of testJob.
func (s *scene) lastStepWait(confirmed bool) wait {
	steps := s.sched.jobs[testJob].occurrences[0].steps
	return s.sched.survey(s.now).wait(steps[len(steps)-1], confirmed)
}

// waitReasons returns the wait reason of each runnable step, as Load determines it.
func (sched *Scheduler) waitReasons(confirmed bool, now time.Time) map[string]Reason {
	sched.Load(confirmed, now)
	reasons := make(map[string]Reason)
	p := sched.survey(now)
	for _, w := range p.waitingSteps() {
		w = p.wait(w.step, confirmed)
		reasons[w.unit.name().StepName()] = w.reason
	}
	return reasons
}

// fillWithLongRunning fills both upstreams with long-running work, except for
// leftMB of memory on each.
func fillWithLongRunning(s *scene, leftMB int) {
	allocation := bbrwork.Resources{MilliCPU: 500, MemoryMB: 8000 - leftMB}
	s.runOn("00000000000000c1", "i-1", allocation, true)
	s.runOn("00000000000000c2", "i-2", allocation, true)
}

func TestWaitReason(t *testing.T) {
	wide := bbrwork.Step{Count: 1, Need: bbrwork.Resources{MilliCPU: 1000, MemoryMB: 5000}, Estimate: time.Second}
	second := unitStep(1)
	second.DependsOn = []int{0}
	gang := func(count int) bbrwork.Step {
		return bbrwork.Step{Count: count, Need: wide.Need, Estimate: time.Second, Gang: true}
	}
	tests := []struct {
		want        Reason
		confirmed   bool
		steps       []bbrwork.Step
		job         bbrwork.Job
		successor   bool
		arrange     func(s *scene)
		awaits      Awaited
		responsible Responsible
		text        string
	}{
		{want: ReasonClaimUnconfirmed, awaits: AwaitsAnswer, responsible: ResponsibleOwner, text: "has not confirmed"},
		{
			want: ReasonEarlierWorkUnlocated, confirmed: true, successor: true, awaits: AwaitsAnswer, responsible: ResponsibleOwner, text: "may be on 1 upstreams",
			arrange: func(s *scene) { loadAll(s.sched, []bbrwork.Upstream{s.upstream("i-silent")}, 0, s.now) },
		},
		{
			want: ReasonNotDue, confirmed: true, awaits: AwaitsTime, responsible: ResponsibleOwner, text: "it is due at 2026-01-02T03:05:00Z",
			job: bbrwork.Job{Schedule: bbrwork.Schedule{Count: 1, First: time.Date(2026, 1, 2, 3, 5, 0, 0, time.UTC)}},
		},
		{want: ReasonEarlierSteps, confirmed: true, steps: []bbrwork.Step{unitStep(1), second}, awaits: AwaitsEarlierWork, responsible: ResponsibleOwner, text: "earlier steps [0]"},
		{
			want: ReasonOrderUnstored, confirmed: true, awaits: AwaitsAnswer, responsible: ResponsibleOwner, text: "next run",
			steps: []bbrwork.Step{{Count: 1, LongRunning: true}},
			arrange: func(s *scene) {
				s.store()
				s.answerStarts(s.plan(), nil)
				s.list("i-1", bbrwork.RunEnd{Sequence: 1, Unit: unitName(0), Run: 1, Outcome: bbrwork.OutcomeStopped})
				s.list("i-2", bbrwork.RunEnd{Sequence: 1, Unit: unitName(0), Run: 1, Outcome: bbrwork.OutcomeStopped})
			},
		},
		{
			want: ReasonOrderUnstored, confirmed: true, awaits: AwaitsAnswer, responsible: ResponsibleOwner, text: "next run",
			steps:   []bbrwork.Step{{Count: 1, LongRunning: true}},
			arrange: func(s *scene) { require.Empty(s, s.sched.Plan(true, s.now).Starts) },
		},
		{
			want: ReasonLateStart, confirmed: true, awaits: AwaitsAnswer, responsible: ResponsibleOwner, text: "may still be carried out by upstream i-",
			arrange: func(s *scene) {
				plan := s.plan()
				s.answerStarts(plan, bbrorder.ErrAnswerLost)
				s.sched.EndIncarnation(plan.Starts[0].Upstream.Incarnation, "the platform lists it no more", s.now)
			},
		},
		{
			want: ReasonBeyondHorizon, confirmed: true, awaits: AwaitsAnswer, responsible: ResponsibleOwner, text: "higher horizon",
			arrange: func(s *scene) { s.sched.jobs[testJob].storedRevision = 1000 },
		},
		{
			want: ReasonAttemptPaused, confirmed: true, awaits: AwaitsTime, responsible: ResponsibleOwner, text: "tried again at",
			arrange: func(s *scene) { s.answerStarts(s.plan(), bbrorder.ErrNotSent) },
		},
		{
			want: ReasonAttemptPaused, confirmed: true, steps: []bbrwork.Step{gang(2)}, awaits: AwaitsTime, responsible: ResponsibleOwner, text: "tried again at 2026-01-02T03:05:00Z",
			arrange: func(s *scene) {
				s.unit(testJob, 0).step.units[1].notBefore = time.Date(2026, 1, 2, 3, 5, 0, 0, time.UTC)
			},
		},
		{
			want: ReasonGangStillRuns, confirmed: true, steps: []bbrwork.Step{gang(2)}, awaits: AwaitsEarlierWork, responsible: ResponsibleOwner, text: "1 of 2 members",
			arrange: func(s *scene) { s.sched.addRun(s.unit(testJob, 0), 1, s.sched.upstreams["i-1"], s.now) },
		},
		{
			want: ReasonJobsNotLoaded, confirmed: true, awaits: AwaitsAnswer, responsible: ResponsibleOwner, text: "runs or ends of 1 that it has not loaded yet",
			arrange: func(s *scene) {
				s.sched.BeginLoading(nil, 500, s.now)
				s.listRunning("i-1", []bbrwork.Run{lateRun})
				s.listRunning("i-2", []bbrwork.Run{{Unit: lateUnit, Number: 2}})
			},
		},
		{
			want: ReasonNoUsableUpstream, confirmed: true, awaits: AwaitsUpstream, responsible: ResponsibleFleetLeader, text: "0 of 2 upstreams may take work",
			arrange: func(s *scene) { s.sched.SetReserved(map[string]bool{"i-1": true, "i-2": true}, s.now) },
		},
		{want: ReasonComesNext, confirmed: true, awaits: AwaitsCapacity, responsible: ResponsibleOwner, text: "2 fit and start next"},
		{want: ReasonComesNext, confirmed: true, steps: []bbrwork.Step{gang(2)}, awaits: AwaitsCapacity, responsible: ResponsibleOwner, text: "2 of 2 members fit together"},
		{want: ReasonGangPartlyFits, confirmed: true, steps: []bbrwork.Step{gang(3)}, awaits: AwaitsUpstream, responsible: ResponsibleFleetLeader, text: "2 of 3 members fit together, 2 once"},
		{
			want: ReasonGangPartlyFits, confirmed: true, steps: []bbrwork.Step{gang(2)}, awaits: AwaitsCapacity, responsible: ResponsibleOwner, text: "1 of 2 members fit together, 2 once",
			arrange: func(s *scene) { s.runOn("00000000000000c1", "i-1", wide.Need, false) },
		},
		{
			want: ReasonOrganisationCap, confirmed: true, job: bbrwork.Job{Queue: "proofs", Organisation: limitedOrganisation}, awaits: AwaitsCapacity, responsible: ResponsibleOwner,
			text:    "share of the cap of organisation " + limitedOrganisation,
			arrange: func(s *scene) { s.applyCap(1) },
		},
		{
			want: ReasonFarFromData, confirmed: true, awaits: AwaitsCapacity, responsible: ResponsibleOwner, text: "1 are far from the data",
			steps: []bbrwork.Step{{Count: 1, Need: wide.Need, Estimate: 10 * time.Second, DataRack: "rack-2"}},
			arrange: func(s *scene) {
				s.sched.upstreams["i-2"].Labels = []string{"a", "rack-2"}
				s.runOn("00000000000000c1", "i-2", bbrwork.Resources{MilliCPU: 4000}, false)
				s.runOn("00000000000000c2", "i-1", bbrwork.Resources{MilliCPU: 1000}, false)
			},
		},
		{want: ReasonTicketMissing, confirmed: true, job: bbrwork.Job{Queue: "plates"}, awaits: AwaitsAnswer, responsible: ResponsibleOwner, text: "2 have no ticket"},
		{
			want: ReasonAdviceRefused, confirmed: true, job: bbrwork.Job{Queue: "plates"}, awaits: AwaitsUpstream, responsible: ResponsibleFleetLeader, text: "2 are refused",
			arrange: func(s *scene) {
				requests := s.sched.Plan(true, s.now).AdviceRequests
				require.Len(s, requests, 1)
				s.sched.ApplyAdvice(requests[0], nil, time.Second, nil, s.now, s.now)
			},
		},
		{
			want: ReasonStartsInFlight, confirmed: true, awaits: AwaitsAnswer, responsible: ResponsibleOwner, text: "2 have as many starts",
			arrange: func(s *scene) {
				for _, up := range s.sched.upstreams {
					up.startsInFlight = maxStartsInFlight
				}
			},
		},
		{
			want: ReasonCapacityUsedByFiniteWork, confirmed: true, steps: []bbrwork.Step{wide}, awaits: AwaitsCapacity, responsible: ResponsibleOwner, text: "1 of these only until finite work has ended",
			arrange: func(s *scene) {
				s.runOn("00000000000000c1", "i-1", wide.Need, true)
				s.runOn("00000000000000c2", "i-2", wide.Need, false)
			},
		},
		{
			want: ReasonReservationHeld, confirmed: true, steps: []bbrwork.Step{wide}, awaits: AwaitsCapacity, responsible: ResponsibleOwner, text: "capacity on 1 upstreams is reserved for it from 2026-01-02T03:04:06",
			arrange: func(s *scene) {
				s.sched.ReserveCapacity = true
				s.runOn("00000000000000c1", "i-1", wide.Need, true)
				s.runOn("00000000000000c2", "i-2", wide.Need, false)
				s.plan()
			},
		},
		{
			want: ReasonCapacityReserved, confirmed: true, awaits: AwaitsCapacity, responsible: ResponsibleOwner, text: "1 keep their free capacity for wide or urgent work",
			steps: []bbrwork.Step{{Count: 1, Need: bbrwork.Resources{MilliCPU: 100, MemoryMB: 4000}, Estimate: time.Second}},
			arrange: func(s *scene) {
				s.sched.ReserveCapacity = true
				s.runOn("00000000000000c1", "i-1", wide.Need, true)
				s.runOn("00000000000000c2", "i-2", bbrwork.Resources{MemoryMB: 3500}, false)
				s.accept("00000000000000c3", wide)
				s.sched.jobs[testJob].Schedule = bbrwork.Schedule{Count: 1, First: s.now.Add(5 * time.Millisecond)}
				s.plan()
				s.advance(5 * time.Millisecond)
			},
		},
		{
			want: ReasonCapacityForFew, confirmed: true, awaits: AwaitsCapacity, responsible: ResponsibleFleetLeader, text: "beside long-running work 1 of 3 fit at once, on empty upstreams 3",
			steps: []bbrwork.Step{{Count: 3, Need: bbrwork.Resources{MilliCPU: 1000, MemoryMB: 4000}, Estimate: time.Second}},
			arrange: func(s *scene) {
				s.runOn("00000000000000c1", "i-1", bbrwork.Resources{MemoryMB: 4000}, true)
				s.runOn("00000000000000c2", "i-2", bbrwork.Resources{MemoryMB: 4001}, true)
				s.answerStarts(s.plan(), nil)
			},
		},
		{
			want: ReasonMaxPerUpstream, confirmed: true, awaits: AwaitsCapacity, responsible: ResponsibleOwner, text: "2 run as many units of the step",
			steps:   []bbrwork.Step{{Count: 3, Need: bbrwork.Resources{MilliCPU: 100}, Estimate: time.Second, MaxPerUpstream: 1}},
			arrange: func(s *scene) { s.answerStarts(s.plan(), nil) },
		},
		{
			want: ReasonMaxPerUpstream, confirmed: true, awaits: AwaitsUpstream, responsible: ResponsibleFleetLeader, text: "2 run as many units of the step",
			steps:   []bbrwork.Step{{Count: 3, Need: bbrwork.Resources{MilliCPU: 100}, MaxPerUpstream: 1, LongRunning: true}},
			arrange: func(s *scene) { s.answerStarts(s.plan(), nil) },
		},
		{
			want: ReasonCapacityFragmented, confirmed: true, steps: []bbrwork.Step{wide}, awaits: AwaitsUpstream, responsible: ResponsibleFleetLeader,
			text:    "long-running work leaves 7000 millicores and 6000 MB, at most 3500 millicores and 3000 MB on one upstream",
			arrange: func(s *scene) { fillWithLongRunning(s, 3000) },
		},
		{
			want: ReasonCapacityUsedByLongRunningWork, confirmed: true, steps: []bbrwork.Step{wide}, awaits: AwaitsUpstream, responsible: ResponsibleFleetLeader,
			text:    "long-running work leaves 7000 millicores and 4000 MB",
			arrange: func(s *scene) { fillWithLongRunning(s, 2000) },
		},
		{
			want: ReasonTooLarge, confirmed: true, steps: []bbrwork.Step{{Count: 1, Need: bbrwork.Resources{MemoryMB: 9000, Accelerators: 1}}},
			awaits: AwaitsUpstream, responsible: ResponsibleFleetLeader, text: "2 lack free capacity for 0 millicores and 9000 MB and 1 accelerators; it does not fit on an empty upstream",
		},
		{
			want: ReasonCrashSuspect, confirmed: true, awaits: AwaitsCapacity, responsible: ResponsibleOwner,
			text: "it waits to be tried alone, since upstreams crashed under it: i-1 run 1 after 1 ms beside 0 others",
			arrange: func(s *scene) {
				s.answerStarts(s.plan(), nil)
				s.sched.EndIncarnation(s.upstream("i-1").Incarnation, "crashed", s.now)
			},
		},
		{want: ReasonLabelMissing, confirmed: true, steps: []bbrwork.Step{{Count: 1, Label: "b"}}, awaits: AwaitsUpstream, responsible: ResponsibleFleetLeader, text: "2 lack the label b"},
	}
	covered := map[Reason]bool{ReasonNotEvaluated: true, ReasonNotDue: true, ReasonEarlierSteps: true}
	for _, test := range tests {
		covered[test.want] = true
		t.Run(string(test.want), func(t *testing.T) {
			s := newScene(t, !test.successor, "i-1", "i-2")
			s.sched.SetConfig(bbrwork.NewConfig(2, testQueues, nil, bbrwork.Limits{}))
			s.plan()
			job := test.job
			job.ID, job.Service, job.Accepted, job.Steps = testJob, "press", s.now, test.steps
			if job.Steps == nil {
				job.Steps = []bbrwork.Step{unitStep(1)}
			}
			s.sched.AddJob(&job, 0, nil, s.now)
			if test.arrange != nil {
				test.arrange(s)
			}
			got := s.lastStepWait(test.confirmed)
			require.Equal(t, test.want, got.reason, got.String())
			awaits, responsible := got.awaits()
			require.Equal(t, test.awaits, awaits)
			require.Equal(t, test.responsible, responsible)
			require.Contains(t, got.String(), test.text)
		})
	}
	for _, reason := range Reasons {
		require.True(t, covered[reason], "%s has no case", reason)
	}
}

// TestSuccessorCountsWaitFromLoading checks that a successor, which does not know
// when an earlier step ended, counts a wait from when it read that the step is
// done.
func TestSuccessorCountsWaitFromLoading(t *testing.T) {
	s := newScene(t, true, "i-1")
	second := unitStep(1)
	second.DependsOn = []int{0}
	s.accept(testJob, unitStep(1), second)
	s.answerStarts(s.plan(), nil)
	s.list("i-1", bbrwork.RunEnd{Sequence: 1, Unit: unitName(0), Run: 1, Outcome: bbrwork.OutcomeDone})
	writes := s.store()
	require.Len(t, writes, 1)
	s.sched = New(s.sched.Shard, 17, testTiming, false, s.now)
	s.advance(time.Second)
	s.sched.AddJob(writes[0].Job, 0, writes[0].Progress, s.now)
	require.Equal(t, s.now, s.lastStepWait(true).since)
}

// TestUpstreamCountsByFirstExclusion checks that each upstream is counted once,
// under the first condition that excludes it.
func TestUpstreamCountsByFirstExclusion(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8")
	s.plan()
	s.store()
	s.register("i-9")
	up := s.sched.upstreams
	up["i-2"].Draining = true
	s.sched.SetReserved(map[string]bool{"i-2": true, "i-3": true}, s.now)
	up["i-4"].lostAnswers = maxLostAnswers
	up["i-5"].health = health{streak: suspectStreak, lastFailure: s.now}
	up["i-6"].fullUntil = s.now.Add(fullPause)
	up["i-7"].orphans = map[runKey]*orphan{{}: {}}
	s.sched.UnregisterUpstream("i-8", s.now)
	s.register("i-8")
	up["i-8"].registered = false
	s.accept(testJob, unitStep(1))
	got, _ := s.sched.Explain(testJob, true, s.now)
	require.Equal(t, UpstreamCounts{
		Total: 9, Usable: 1, Unregistered: 1, Draining: 1, Reserved: 1, Unreached: 1, WithOrphans: 1, Silent: 1, Full: 1, Suspect: 1,
	}, got.Upstreams)
}

// TestWaitBeginsWhenUnitBecomesEligible checks that a wait counts from the latest
// of the events before which the work unit could not run.
func TestWaitBeginsWhenUnitBecomesEligible(t *testing.T) {
	s := newScene(t, true, "i-1")
	second := unitStep(1)
	second.DependsOn = []int{0}
	s.accept(testJob, unitStep(1), second)
	accepted := s.now
	plan := s.plan()
	s.answerStarts(plan, nil)
	s.advance(2 * time.Second)
	s.list("i-1", bbrwork.RunEnd{Sequence: 1, Unit: unitName(0), Run: 1, Outcome: bbrwork.OutcomeDone})
	ended := s.now
	require.Greater(t, ended.Sub(accepted), time.Second)
	require.Equal(t, ended, s.lastStepWait(true).since, "the earlier step's end")
	s.answerStarts(s.plan(), nil)
	s.advance(time.Second)
	s.list("i-1", bbrwork.RunEnd{Sequence: 2, Unit: bbrwork.Unit{Job: testJob, Step: 1}, Run: 1, Outcome: bbrwork.OutcomeStopped})
	require.Equal(t, s.now, s.lastStepWait(true).since, "the last run's end")

	got, _ := s.sched.Explain(testJob, true, s.now)
	require.Equal(t, s.now, got.Steps[1].WaitingSince)
	require.Equal(t, testJob+".0.1.0", got.Steps[1].LongestWaiting)
	require.Equal(t, ReasonComesNext, got.Steps[1].Reason)
}
