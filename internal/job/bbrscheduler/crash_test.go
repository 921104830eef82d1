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

// crashDay is a load of small jobs on eight upstreams, in which some jobs have a work
// unit that crashes each upstream on which it starts.
type crashDay struct {
	*driver
	owner *simOwner
	// crashingJobs has the jobs with such a work unit.
	crashingJobs map[string]bool
}

func newCrashDay(t *testing.T) *crashDay {
	day := &crashDay{
		driver:       &driver{sim: newSimulation("i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8")},
		crashingJobs: make(map[string]bool),
	}
	day.owner = day.sim.claim()
	return day
}

// accept adds a job of equal work units, of which the first crashes its upstreams if
// crashing is set.
func (day *crashDay) accept(count int, crashing bool) string {
	return day.acceptSteps(crashing, unitStep(count))
}

// acceptSteps adds a job with the steps.
func (day *crashDay) acceptSteps(crashing bool, steps ...bbrwork.Step) string {
	day.jobs++
	id := fmt.Sprintf("%016x", day.jobs)
	day.sim.store.revision++
	day.sim.store.jobRevisions[id] = day.sim.store.revision
	day.sim.store.jobs[id] = &bbrwork.Job{ID: id, Queue: "proofs", Service: "press", Spec: "x", Steps: steps, Accepted: day.sim.now}
	if crashing {
		day.sim.crashing[bbrwork.Unit{Job: id}] = true
		day.crashingJobs[id] = true
	}
	day.owner.addJob(id)
	return id
}

// round plays a round without faults but crashes.
func (day *crashDay) round() {
	for _, incarnation := range day.owner.sched.Unverified(day.sim.now) {
		if up := day.sim.upstreams[incarnation.ID]; !up.alive || up.registration.Incarnation != incarnation {
			day.owner.sched.EndIncarnation(incarnation, "the platform lists it no more", day.sim.now)
		}
	}
	day.faultFreeRound(day.owner)
}

// rounds plays rounds for the time, or until all jobs have ended.
func (day *crashDay) rounds(d time.Duration) {
	for end := day.sim.now.Add(d); day.sim.now.Before(end) && len(day.sim.store.final) < len(day.sim.store.jobs); {
		day.round()
	}
}

// requireOutcomes requires that all jobs have ended, those that crash upstreams as
// failed and all others as completed.
func (day *crashDay) requireOutcomes(t *testing.T) {
	require.Empty(t, day.sim.violations)
	for id := range day.sim.store.jobs {
		want := bbrwork.Completed
		if day.crashingJobs[id] {
			want = bbrwork.Failed
		}
		require.Equal(t, want, day.sim.store.final[id], "job %s", id)
	}
}

func TestWorkThatCrashesUpstreamsIsGivenUpAloneAndInTime(t *testing.T) {
	day := newCrashDay(t)
	for number := range 120 {
		day.accept(4, number%15 == 7)
		day.round()
	}
	day.rounds(time.Minute)
	day.requireOutcomes(t)
}

// unit returns the crashing work unit of a job as the present owner knows it.
func (day *crashDay) unit(job string) *unit {
	return day.owner.sched.jobs[job].findUnit(bbrwork.Unit{Job: job})
}

// roundsUntil plays rounds until the condition holds.
func (day *crashDay) roundsUntil(t *testing.T, condition func() bool) {
	for range 400 {
		if condition() {
			return
		}
		day.round()
	}
	require.Fail(t, "the condition never held")
}

// takeOver replaces the owner by one that knows only what is stored.
func (day *crashDay) takeOver() {
	day.owner.stopped = true
	day.owner = day.sim.claim()
}

func TestCrashesCountAcrossTakeovers(t *testing.T) {
	day := newCrashDay(t)
	id := day.accept(1, true)
	for crashes := 1; crashes < 3; crashes++ {
		day.roundsUntil(t, func() bool { return len(day.unit(id).crashes) == crashes })
		day.takeOver()
		require.Len(t, day.unit(id).crashes, crashes)
	}
	day.rounds(time.Minute)
	day.requireOutcomes(t)
	require.Equal(t, 3, day.sim.unit(bbrwork.Unit{Job: id}).crashes)
}

// TestCrashesUnderOwnersThatEndCount guards against a work unit that is started again and
// again, since its owner ends after each crash before it learns of that.
func TestCrashesUnderOwnersThatEndCount(t *testing.T) {
	for takeovers := range 5 {
		day := newCrashDay(t)
		id := day.accept(1, true)
		name := bbrwork.Unit{Job: id}
		day.accept(3, false)
		for crashes := 1; crashes <= takeovers; crashes++ {
			day.roundsUntil(t, func() bool { return day.sim.unit(name).crashes == crashes })
			day.takeOver()
		}
		day.rounds(time.Minute)
		day.requireOutcomes(t)
		require.LessOrEqual(t, day.sim.unit(name).crashes, 5, "%d takeovers: three starts after the third crash", takeovers)
	}
}

func TestCrashIsStoredBeforeTheNextStart(t *testing.T) {
	day := newCrashDay(t)
	id := day.accept(1, true)
	sched := day.owner.sched
	day.roundsUntil(t, func() bool { return day.sim.unit(bbrwork.Unit{Job: id}).crashes == 1 })
	sched.EndIncarnation(day.unit(id).runs[0].up.Incarnation, "the platform lists it no more", day.sim.now)
	require.Len(t, day.unit(id).crashes, 1)
	require.Empty(t, sched.Plan(true, day.sim.now).Starts)
	require.True(t, sched.Urgent())
	day.owner.flush()
	require.Empty(t, sched.Plan(true, day.sim.now).Starts, "the store has the crash, but not where the next start is to be")
	day.owner.flush()
	require.Len(t, sched.Plan(true, day.sim.now).Starts, 1)
}

func TestSuccessorCountsCrashThatEndedATrial(t *testing.T) {
	day := newCrashDay(t)
	id := day.accept(1, true)
	day.roundsUntil(t, func() bool { return len(day.unit(id).crashes) == 2 })
	day.roundsUntil(t, func() bool { return day.sim.unit(bbrwork.Unit{Job: id}).crashes == 3 })
	require.Len(t, day.unit(id).crashes, 2, "the owner has not noticed the crash")
	day.takeOver()
	day.roundsUntil(t, func() bool { return len(day.unit(id).crashes) == 3 })
	day.rounds(time.Minute)
	day.requireOutcomes(t)
	require.Equal(t, 4, day.sim.unit(bbrwork.Unit{Job: id}).crashes)
}

func TestCrashHistorySurvivesOwnerThatDoesNotKnowIt(t *testing.T) {
	day := newCrashDay(t)
	id := day.accept(2, true)
	day.roundsUntil(t, func() bool { return len(day.unit(id).crashes) == 2 })
	crashes := day.sim.store.crashes
	day.sim.store.crashes = nil
	day.takeOver()
	require.Empty(t, day.unit(id).crashes)
	// An owner of an earlier build rewrites the progress and leaves the crash record.
	day.roundsUntil(t, func() bool { return day.owner.sched.jobs[id].findUnit(bbrwork.Unit{Job: id, Index: 1}).done })
	day.sim.store.crashes = crashes
	day.takeOver()
	require.GreaterOrEqual(t, len(day.unit(id).crashes), 2)
	day.rounds(time.Minute)
	day.requireOutcomes(t)
}

// TestStartRefusedByAnotherIncarnationIsNoCrash guards against giving harmless work up
// because of starts that upstreams refused which had ended before: their addresses belong
// to others now.
func TestStartRefusedByAnotherIncarnationIsNoCrash(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2", "i-3", "i-4", "i-5", "i-6")
	s.accept(testJob, unitStep(1))
	for range 5 {
		plan := s.plan()
		require.Len(t, plan.Starts, 1)
		s.answerStarts(plan, bbrorder.ErrOtherIncarnation)
		require.Empty(t, s.sched.suspects)
		require.NotContains(t, s.sched.upstreams, plan.Starts[0].Upstream.ID)
		s.advance(startRetryDelay)
	}
	require.Len(t, s.plan().Starts, 1)
}

// TestAnsweredStartIsAccusedBesideALostAnswer guards against a crash that accuses nobody, since the
// answer to another start was lost when the work unit that caused it was ordered.
func TestAnsweredStartIsAccusedBesideALostAnswer(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.accept(testJob, unitStep(2))
	starts := s.plan().Starts
	require.Len(t, starts, 2)
	s.sched.ApplyStartResult(starts[0], s.now.Sub(s.start), nil, s.now)
	s.sched.ApplyStartResult(starts[1], 0, bbrorder.ErrAnswerLost, s.now)
	s.sched.EndIncarnation(s.upstream("i-1").Incarnation, "ended", s.now)
	require.Contains(t, s.sched.suspects, s.sched.jobs[testJob].findUnit(starts[0].Start.Unit))
}

func TestOrderedEndsAccuseNobody(t *testing.T) {
	t.Run("announced", func(t *testing.T) {
		s := newScene(t, true, "i-1")
		s.accept(testJob, unitStep(2))
		s.answerStarts(s.plan(), nil)
		s.sched.upstreams["i-1"].Draining = true
		s.sched.EndIncarnation(s.upstream("i-1").Incarnation, "leaves", s.now)
		require.Empty(t, s.sched.suspects)
	})
	t.Run("drained, with a run that began late", func(t *testing.T) {
		s := newScene(t, true, "i-1")
		s.accept(testJob, unitStep(2))
		s.sched.SetReserved(map[string]bool{"i-1": true}, s.now)
		require.Equal(t, []string{"i-1"}, s.sched.Drained(s.now))
		s.listRunning("i-1", []bbrwork.Run{{Unit: unitName(0), Number: 1}})
		s.sched.EndIncarnation(s.upstream("i-1").Incarnation, "moved", s.now)
		require.Empty(t, s.sched.suspects)
	})
}

// TestCrashesOfReservedUpstreamsAreCounted guards against a work unit that crashes one upstream after the
// other without end, since each was reserved for a move, but was not reported as drained.
func TestCrashesOfReservedUpstreamsAreCounted(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2", "i-3", "i-4", "i-5", "i-6")
	s.accept(testJob, unitStep(1))
	crashes := 0
	for range 20 {
		s.advance(time.Second)
		for _, id := range s.sched.UpstreamIDs() {
			s.list(id)
		}
		plan := s.plan()
		s.store()
		if len(plan.Starts) == 0 {
			continue
		}
		s.answerStarts(plan, nil)
		id := plan.Starts[0].Upstream.ID
		s.sched.SetReserved(map[string]bool{id: true}, s.now)
		require.Empty(t, s.sched.Drained(s.now))
		s.sched.EndIncarnation(s.upstream(id).Incarnation, "the platform lists it no more", s.now)
		crashes++
	}
	require.LessOrEqual(t, crashes, 3)
	state, _ := s.sched.State(testJob)
	require.Equal(t, bbrwork.Failed, state)
}

func TestOutageAccusesOnlyWorkThatHadJustBegun(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2", "i-3")
	s.accept(testJob, unitStep(12))
	s.answerStarts(s.plan(), nil)
	s.advance(time.Second)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		s.sched.ApplyRenewalFailure(s.upstream(id).Incarnation, bbrorder.ErrAnswerLost, s.now)
	}
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		s.sched.EndIncarnation(s.upstream(id).Incarnation, "without power", s.now)
	}
	require.Empty(t, s.sched.suspects)
	require.Positive(t, s.sched.CrashCounts().Outages)
}

func TestLongRunningWorkThatHasProvenItselfIsNotAccused(t *testing.T) {
	s := newScene(t, true, "i-1")
	step := unitStep(1)
	step.LongRunning = true
	s.accept(testJob, step)
	s.answerStarts(s.plan(), nil)
	s.listRunning("i-1", []bbrwork.Run{{Unit: unitName(0), Number: 1, Percent: fullPercent}})
	s.advance(provenAfter)
	s.sched.EndIncarnation(s.upstream("i-1").Incarnation, "crashed", s.now)
	require.Empty(t, s.sched.suspects)
}

func TestLongRunningWorkThatCrashesUpstreamsIsGivenUp(t *testing.T) {
	day := newCrashDay(t)
	lasting := unitStep(3)
	lasting.LongRunning = true
	id := day.acceptSteps(true, lasting)
	day.rounds(time.Minute)
	day.requireOutcomes(t)
	require.LessOrEqual(t, day.sim.unit(bbrwork.Unit{Job: id}).crashes, givenUpBound)
}

func TestGangThatCrashesUpstreamsIsGivenUp(t *testing.T) {
	day := newCrashDay(t)
	gang := unitStep(4)
	gang.Gang = true
	id := day.acceptSteps(true, gang)
	day.rounds(time.Minute)
	day.requireOutcomes(t)
	require.LessOrEqual(t, day.sim.unit(bbrwork.Unit{Job: id}).crashes, givenUpBound)
}

// givenUpBound is the number of crashes within which a unit has to be given up: three,
// and fewer than three starts after them.
const givenUpBound = 5

func TestStartBesideOthersAfterCrashesIsStoredFirst(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.accept("00000000000000c1", unitStep(1))
	s.answerStarts(s.plan(), nil)
	s.accept(testJob, unitStep(1))
	record := `{"suspects":[{"crashes":[{"upstream":"i-8","youngest":true,"certain":true,"others":3},{"upstream":"i-9","youngest":true,"certain":true,"others":3}]}]}`
	require.True(t, s.sched.RestoreCrashes(testJob, []byte(record), s.now))
	require.Empty(t, s.plan().Starts, "it waits for an upstream of its own")
	s.advance(spreadPatience)
	require.Empty(t, s.sched.Plan(true, s.now).Starts, "the reservation ends")
	s.store()
	require.Empty(t, s.sched.Plan(true, s.now).Starts)
	writes := s.store()
	require.Len(t, writes, 1)
	require.Contains(t, string(writes[0].Crashes), `"trial":{"upstream":"i-1"`)
	require.Len(t, s.sched.Plan(true, s.now).Starts, 1)
}

func TestSuccessorCountsCrashUnderASuspect(t *testing.T) {
	day := newCrashDay(t)
	id := day.accept(1, true)
	day.roundsUntil(t, func() bool { return len(day.unit(id).crashes) == 1 })
	day.roundsUntil(t, func() bool { return day.sim.unit(bbrwork.Unit{Job: id}).crashes == 2 })
	require.Len(t, day.unit(id).crashes, 1, "the owner has not noticed the crash")
	day.takeOver()
	day.roundsUntil(t, func() bool { return len(day.unit(id).crashes) == 2 })
	require.Equal(t, 2, day.sim.unit(bbrwork.Unit{Job: id}).crashes)
}

// TestSuspectIsNotAccusedWhereItNeverStarted guards against a successor that accuses a suspect of the
// end of an incarnation on which its start was announced, and never ordered.
func TestSuspectIsNotAccusedWhereItNeverStarted(t *testing.T) {
	for name, lose := range map[string]func(s *scene){
		"unregistered": func(s *scene) { s.sched.UnregisterUpstream("i-1", s.now) },
		"silent": func(s *scene) {
			for range maxLostAnswers {
				s.sched.ApplyRenewalFailure(s.upstream("i-1").Incarnation, bbrorder.ErrAnswerLost, s.now)
			}
		},
		"ended": func(s *scene) { s.sched.EndIncarnation(s.upstream("i-1").Incarnation, "ended", s.now) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newScene(t, true, "i-1")
			s.plan()
			s.accept(testJob, unitStep(1))
			record := `{"suspects":[{"crashes":[{"upstream":"i-9","youngest":true,"certain":true,"others":3}]}]}`
			require.True(t, s.sched.RestoreCrashes(testJob, []byte(record), s.now))
			require.Empty(t, s.sched.Plan(true, s.now).Starts)
			writes := s.store()
			require.Len(t, writes, 1)
			require.Contains(t, string(writes[0].Crashes), `"trial":{"upstream":"i-1"`)
			lose(s)
			require.Empty(t, s.sched.Plan(true, s.now).Starts)
			writes = s.store()
			require.Len(t, writes, 1)
			require.NotContains(t, string(writes[0].Crashes), `"trial"`)
		})
	}
}

// TestSuccessorKeepsAllInheritedTrialsThatRun guards against a suspect whose crash no owner counts,
// since a successor kept only one of the trials that it found on an upstream.
func TestSuccessorKeepsAllInheritedTrialsThatRun(t *testing.T) {
	crash := func(up string) string { return `{"upstream":"` + up + `","youngest":true,"certain":true,"others":3}` }
	record := func(crashes string) []byte {
		return []byte(`{"suspects":[{"crashes":[` + crashes + `],"trial":{"upstream":"i-1","startMillis":1000,"run":2}}]}`)
	}
	for range 20 {
		s := newScene(t, false)
		s.accept(testJob, unitStep(1))
		s.accept(otherJob, unitStep(1))
		require.True(t, s.sched.RestoreCrashes(testJob, record(crash("i-8")), s.now))
		require.True(t, s.sched.RestoreCrashes(otherJob, record(crash("i-8")+","+crash("i-9")), s.now))
		loadAll(s.sched, []bbrwork.Upstream{s.upstream("i-1")}, 0, s.now)
		s.register("i-1")
		s.listRunning("i-1", []bbrwork.Run{{Unit: unitName(0), Number: 2}, {Unit: bbrwork.Unit{Job: otherJob}, Number: 2}})
		s.plan()
		for _, id := range []string{testJob, otherJob} {
			require.NotNil(t, s.sched.jobs[id].findUnit(bbrwork.Unit{Job: id}).trial, "job %s", id)
		}
		require.Equal(t, otherJob, s.sched.upstreams["i-1"].trialUnit.step.job.ID, "it is tried alone")
	}
}

// TestSuccessorDoesNotAccuseStartWhoseLeaseExpired guards against harmless work that is given up,
// because a successor takes the silent upstream of a suspect, whose lease has expired, for ended.
func TestSuccessorDoesNotAccuseStartWhoseLeaseExpired(t *testing.T) {
	s := newSameIDScene(t, "i-1")
	s.accept(testJob)
	u := s.o.sched.jobs[testJob].findUnit(unitName(0))
	s.o.sched.accuse(u, bbrcrash.Crash{Upstream: "i-7", Run: 1, At: s.sim.now, Youngest: true, Certain: true}, s.sim.now)
	require.Equal(t, "i-1", s.awaitStart())
	s.cut("i-1")
	s.register()
	s.work(2 * testTiming.MaxRunLease)
	require.Empty(t, s.o.sched.upstreams["i-1"].runs)
	s.takeOver()
	s.sim.upstreams["i-1"].connect(true)
	s.register()
	s.work(time.Second)
	require.Len(t, s.o.sched.jobs[testJob].findUnit(unitName(0)).crashes, 1)
}
