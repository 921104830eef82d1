package bbrscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	vacateTick = 20 * time.Millisecond
	// vacateWait bounds the wait of the first wide work unit: the promise for work that has
	// room, and the longest stop until its end is listed.
	vacateWait = 3*time.Second + 900*time.Millisecond + time.Second
)

// fragmentedScene is a shard in which long-running work is spread over all upstreams.
type fragmentedScene struct {
	*scene
	ids []string
	// running has the work units that run, by upstream, and when they end; a zero time
	// means never. sequences has the last sequence numbers of ends.
	running   map[string]map[runKey]time.Time
	sequences map[string]int64
	// stops has the work units that were stopped, in order.
	stops []bbrwork.Unit
	// startedAt has the first starts.
	startedAt map[bbrwork.Unit]time.Time
	// stopTime is how long the stop of a long-running work unit takes.
	stopTime time.Duration
	// recovering is a long-running work unit that is listed as not working.
	recovering bbrwork.Unit
	// refusing is an upstream that answers and starts nothing.
	refusing string
}

// newFragmentedScene returns a scene of upstreams of 16,000 millicores and 65,536 MB with
// four long-running jobs.
func newFragmentedScene(t *testing.T, upstreams int, longRunning bbrwork.Step) *fragmentedScene {
	s := &fragmentedScene{
		scene:     newScene(t, true),
		running:   make(map[string]map[runKey]time.Time),
		sequences: make(map[string]int64),
		startedAt: make(map[bbrwork.Unit]time.Time),
	}
	for i := range upstreams {
		s.ids = append(s.ids, fmt.Sprintf("i-%d", i))
		s.running[s.ids[i]] = make(map[runKey]time.Time)
		s.addUpstream(s.ids[i])
	}
	for i := range 4 {
		s.accept(spreadJob(i), longRunning)
	}
	s.play(time.Second)
	require.Len(t, s.startedAt, 4*longRunning.Count)
	return s
}

func spreadJob(i int) string { return fmt.Sprintf("%015xf", i) }

// spreadJobStep has long-running work units as in issue 48; an upstream runs at most one of
// them.
func spreadJobStep(count int) bbrwork.Step {
	return bbrwork.Step{Count: count, Need: bbrwork.Resources{MilliCPU: 2400, MemoryMB: 12000}, LongRunning: true, MaxPerUpstream: 1, MaxUnavailable: 1}
}

func (s *fragmentedScene) addUpstream(id string) {
	up := s.upstream(id)
	up.Capacity = bbrwork.Resources{MilliCPU: 16000, MemoryMB: 65536}
	s.sched.RegisterUpstream(up, s.now)
	s.list(id)
}

// play carries out the owner's plans for a time.
func (s *fragmentedScene) play(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); s.advance(vacateTick) {
		for _, id := range s.ids {
			s.listUpstream(id)
		}
		s.store()
		plan := s.sched.Plan(true, s.now)
		for _, order := range plan.Stops {
			key := runKey{order.Stop.Unit, order.Stop.Run}
			require.Contains(s, s.running[order.Upstream.ID], key)
			if s.running[order.Upstream.ID][key].IsZero() {
				s.running[order.Upstream.ID][key] = s.now.Add(s.stopTime)
			}
			s.stops = append(s.stops, order.Stop.Unit)
			s.sched.ApplyStopResult(order, nil, s.now)
		}
		var accepted, refused Plan
		for _, order := range plan.Starts {
			if order.Upstream.ID == s.refusing {
				refused.Starts = append(refused.Starts, order)
				continue
			}
			accepted.Starts = append(accepted.Starts, order)
			s.startRun(order)
		}
		s.answerStarts(accepted, nil)
		s.answerStarts(refused, bbrorder.ErrNotSent)
		s.requireWithinBudgets()
	}
}

func (s *fragmentedScene) startRun(order StartOrder) {
	unit := order.Start.Unit
	if s.startedAt[unit].IsZero() {
		s.startedAt[unit] = s.now
	}
	var ends time.Time
	if spec := s.sched.jobs[unit.Job].Steps[unit.Step]; !spec.LongRunning {
		ends = s.now.Add(spec.Estimate)
	}
	s.running[order.Upstream.ID][runKey{unit, order.Start.Run}] = ends
}

// listUpstream lists an upstream with the runs that have ended since.
func (s *fragmentedScene) listUpstream(id string) {
	var running []bbrwork.Run
	var ends []bbrwork.RunEnd
	for key, end := range s.running[id] {
		if end.IsZero() || s.now.Before(end) {
			run := bbrwork.Run{Unit: key.unit, Number: key.number, Percent: fullPercent}
			if key.unit == s.recovering {
				run.Percent = fullPercent / 2
			}
			running = append(running, run)
			continue
		}
		outcome := bbrwork.OutcomeDone
		if s.sched.jobs[key.unit.Job].Steps[key.unit.Step].LongRunning {
			outcome = bbrwork.OutcomeStopped
		}
		s.sequences[id]++
		ends = append(ends, bbrwork.RunEnd{Sequence: s.sequences[id], Unit: key.unit, Run: key.number, Outcome: outcome})
		delete(s.running[id], key)
	}
	s.listRunning(id, running, ends...)
}

// requireWithinBudgets checks that each long-running step misses at most one of the work units
// that were started.
func (s *fragmentedScene) requireWithinBudgets() {
	missing := make(map[string]int)
	for unit := range s.startedAt {
		if j := s.sched.jobs[unit.Job]; j != nil && j.Steps[unit.Step].LongRunning {
			missing[unit.Job]++
		}
	}
	for _, runs := range s.running {
		for key, end := range runs {
			if end.IsZero() {
				missing[key.unit.Job]--
			}
		}
	}
	for job, count := range missing {
		require.LessOrEqual(s, count, 1, "job %s", job)
	}
}

const wideStepRunTime = 1200 * time.Millisecond

// wideStepOf has the finite work units that were lost in issue 48.
func wideStepOf(count int) bbrwork.Step {
	return bbrwork.Step{Count: count, Need: bbrwork.Resources{MilliCPU: 7000, MemoryMB: 46064}, Estimate: wideStepRunTime}
}

// TestWideWorkStartsBetweenSpreadWork guards against wide finite work that never starts
// beside long-running work that is spread over all upstreams.
func TestWideWorkStartsBetweenSpreadWork(t *testing.T) {
	const units = 11
	s := newFragmentedScene(t, 6, spreadJobStep(5))
	accepted := s.now
	s.accept(testJob, wideStepOf(units))
	s.play(vacateWait)
	require.False(t, s.startedAt[unitName(0)].IsZero(), "a work unit that fits on an empty upstream has waited for %v", s.now.Sub(accepted))
	// One upstream takes one unit after the other.
	s.play((units - 1) * (wideStepRunTime + 4*vacateTick))
	for index := range units {
		require.False(t, s.startedAt[unitName(index)].IsZero(), "unit %d", index)
	}
}

// TestVacatingTakesSlowStops guards against a move that stops a second work unit of a step
// while the stop of the first is in progress, and against wide work that waits longer for it
// than the bound.
func TestVacatingTakesSlowStops(t *testing.T) {
	several := spreadJobStep(10)
	several.MaxPerUpstream, several.Need = 0, bbrwork.Resources{MilliCPU: 1200, MemoryMB: 6000}
	for name, test := range map[string]struct {
		spread bbrwork.Step
		// stops is how many stops of a step's work units follow each other.
		stops time.Duration
	}{
		"one unit of each job": {spreadJobStep(5), 1},
		"several of each job":  {several, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFragmentedScene(t, 6, test.spread)
			s.stopTime = testTiming.StopTimeout
			s.accept(testJob, wideStepOf(1))
			s.play(vacateWait + (test.stops-1)*(testTiming.StopTimeout+time.Second))
			require.False(t, s.startedAt[unitName(0)].IsZero())
		})
	}
}

// TestVacatingRespectsUsedBudget guards against moving work of a step that already misses
// as many work units as it may, and against wide work that waits for such a step although
// other upstreams could be vacated.
func TestVacatingRespectsUsedBudget(t *testing.T) {
	for i := range 4 {
		t.Run(spreadJob(i), func(t *testing.T) {
			s := newFragmentedScene(t, 6, spreadJobStep(5))
			s.recovering = bbrwork.Unit{Job: spreadJob(i)}
			s.play(vacateTick)
			s.accept(testJob, wideStepOf(1))
			s.play(testTiming.RecoveryTime - 10*vacateTick)
			require.False(t, s.startedAt[unitName(0)].IsZero())
			for _, unit := range s.stops {
				require.NotEqual(t, spreadJob(i), unit.Job)
			}
		})
	}
}

// TestWaitingNarrowWorkDoesNotHideWideWork guards against wide work for which no upstream is
// vacated, since many other steps have waited longer.
func TestWaitingNarrowWorkDoesNotHideWideWork(t *testing.T) {
	s := newFragmentedScene(t, 6, spreadJobStep(5))
	for i := range 4 * maxVacateConsidered {
		narrow := unitStep(1)
		narrow.Label = "none"
		s.accept(jobID(i), narrow)
	}
	s.play(vacateTick)
	s.accept(testJob, wideStepOf(1))
	s.play(vacateWait)
	require.False(t, s.startedAt[unitName(0)].IsZero())
}

// TestVacatingWaitsForFleet guards against moving long-running work although the fleet
// delivers an upstream in time.
func TestVacatingWaitsForFleet(t *testing.T) {
	s := newFragmentedScene(t, 6, spreadJobStep(5))
	s.accept(testJob, wideStepOf(1))
	s.play(vacateAfter - 2*vacateTick)
	s.ids = append(s.ids, "i-new")
	s.running["i-new"] = make(map[runKey]time.Time)
	s.addUpstream("i-new")
	s.play(vacateWait)
	require.False(t, s.startedAt[unitName(0)].IsZero())
	require.Empty(t, s.stops)
}

// TestOtherWorkLeavesCapacityOfMoves guards against finite work that takes the upstream while
// long-running work leaves it, or the capacity to which that moves.
func TestOtherWorkLeavesCapacityOfMoves(t *testing.T) {
	s := newFragmentedScene(t, 6, spreadJobStep(5))
	s.stopTime = testTiming.StopTimeout
	s.accept(testJob, wideStepOf(1))
	for len(s.stops) == 0 {
		s.play(vacateTick)
		require.Less(t, s.now.Sub(s.start), 10*time.Second)
	}
	s.accept(jobID(1), bbrwork.Step{Count: 6, Need: bbrwork.Resources{MilliCPU: 1000, MemoryMB: 29000}, Estimate: 10 * time.Second})
	s.play(testTiming.StopTimeout + 5*vacateTick)
	require.False(t, s.startedAt[unitName(0)].IsZero())
	running := 0
	for _, runs := range s.running {
		for key := range runs {
			if s.sched.jobs[key.unit.Job].Steps[0].LongRunning {
				running++
			}
		}
	}
	require.Equal(t, 20, running)
}

// TestVacatedUpstreamIsNotReleasable guards against the release of an upstream that is empty
// while a gang waits for a second one.
func TestVacatedUpstreamIsNotReleasable(t *testing.T) {
	s := newFragmentedScene(t, 6, spreadJobStep(4))
	s.stopTime = testTiming.StopTimeout
	gang := wideStepOf(2)
	gang.Gang = true
	s.accept(testJob, gang)
	for s.startedAt[unitName(0)].IsZero() {
		s.play(vacateTick)
		require.Empty(t, s.sched.Demand(s.now).Releasable)
		require.Less(t, s.now.Sub(s.start), 12*time.Second)
	}
	require.Greater(t, s.sched.VacancyCounts().Active, 1)
}

// TestVacancyEndsWithoutUse guards against an upstream that stays reserved for a job that was
// cancelled, and against one that is lost.
func TestVacancyEndsWithoutUse(t *testing.T) {
	for cause, end := range map[VacancyEnd]func(s *fragmentedScene, up *upstream){
		VacancyGone:         func(s *fragmentedScene, _ *upstream) { s.sched.Cancel(testJob, s.now) },
		VacancyUpstreamLost: func(s *fragmentedScene, up *upstream) { s.sched.SetReserved(map[string]bool{up.ID: true}, s.now) },
	} {
		t.Run(string(cause), func(t *testing.T) {
			s := newFragmentedScene(t, 6, spreadJobStep(5))
			s.stopTime = testTiming.StopTimeout
			s.accept(testJob, wideStepOf(1))
			for len(s.sched.vacancies.list) == 0 {
				s.play(vacateTick)
				require.Less(t, s.now.Sub(s.start), 10*time.Second)
			}
			vacated := s.sched.vacancies.list[0].up
			end(s, vacated)
			s.play(2 * vacateTick)
			require.Equal(t, 1, s.sched.VacancyCounts().Ended[cause])
			require.Nil(t, vacated.vacancy)
		})
	}
}

// TestDestinationOfMoveIsNotReleasable guards against the release of an upstream to which
// long-running work moves.
func TestDestinationOfMoveIsNotReleasable(t *testing.T) {
	s := newFragmentedScene(t, 6, spreadJobStep(5))
	s.stopTime = testTiming.StopTimeout
	other := s.upstream("i-other")
	other.Capacity, other.Labels = bbrwork.Resources{MilliCPU: 16000, MemoryMB: 65536}, []string{"b", "rack-2"}
	s.ids = append(s.ids, "i-other")
	s.running["i-other"] = make(map[runKey]time.Time)
	s.sched.RegisterUpstream(other, s.now)
	s.list("i-other")
	wide := wideStepOf(1)
	wide.Label = "a"
	s.accept(testJob, wide)
	for len(s.sched.vacancies.list) == 0 {
		s.play(vacateTick)
		require.Less(t, s.now.Sub(s.start), 10*time.Second)
	}
	releasable := s.sched.Demand(s.now).Releasable
	for _, id := range s.sched.vacancies.list[0].destinations {
		require.NotContains(t, releasable, id)
	}
}

// TestVacancyEndsOnceLongRunningWorkHasItsPlaces guards against an upstream that stays vacated for
// ever, so that none can be vacated for other wide work, since the step has one work unit more
// than there are places.
func TestVacancyEndsOnceLongRunningWorkHasItsPlaces(t *testing.T) {
	s := newFragmentedScene(t, 3, spreadJobStep(2))
	wide := wideStepOf(2)
	wide.LongRunning, wide.MaxPerUpstream, wide.Estimate = true, 1, 0
	s.accept(testJob, wide)
	for s.startedAt[unitName(0)].IsZero() {
		s.play(vacateTick)
		require.Less(t, s.now.Sub(s.start), 12*time.Second)
	}
	s.play(2 * vacancyTimeout)
	require.True(t, s.startedAt[unitName(1)].IsZero(), "there is one place")
	require.Zero(t, s.sched.VacancyCounts().Active)
}

// TestTrialsLeaveVacatedUpstreams guards against the trial of a suspect that takes the vacated
// upstream or the destination of the work that leaves it.
func TestTrialsLeaveVacatedUpstreams(t *testing.T) {
	s := newFragmentedScene(t, 6, spreadJobStep(5))
	s.stopTime = testTiming.StopTimeout
	s.accept(otherJob, wideStepOf(1))
	for len(s.sched.vacancies.list) == 0 {
		s.play(vacateTick)
		require.Less(t, s.now.Sub(s.start), 10*time.Second)
	}
	v := s.sched.vacancies.list[0]
	for len(v.destinations) > 0 {
		s.play(vacateTick)
		require.Less(t, s.now.Sub(s.start), 10*time.Second)
		if s.sched.jobs[testJob] == nil {
			s.accept(testJob, unitStep(1))
			s.isolate()
		}
		require.Nil(t, v.up.trialUnit)
		for _, id := range v.destinations {
			require.Nil(t, s.sched.upstreams[id].trialUnit)
		}
	}
	s.play(testTiming.StopTimeout)
	require.False(t, s.startedAt[bbrwork.Unit{Job: otherJob}].IsZero())
	require.Zero(t, s.sched.VacancyCounts().Ended[VacancyUpstreamLost])
}

// TestMovedWorkLeavesDestinationThatStartsNothing guards against long-running work that was
// stopped to move and then tries again and again to start on the one destination.
func TestMovedWorkLeavesDestinationThatStartsNothing(t *testing.T) {
	s := newFragmentedScene(t, 8, spreadJobStep(5))
	wide := wideStepOf(1)
	wide.Estimate = time.Minute
	s.accept(testJob, wide)
	for len(s.sched.vacancies.list) == 0 {
		s.play(vacateTick)
		require.Less(t, s.now.Sub(s.start), 10*time.Second)
	}
	v := s.sched.vacancies.list[0]
	for _, id := range v.destinations {
		s.refusing = id
	}
	for len(s.stops) == 0 {
		s.play(vacateTick)
		require.Less(t, s.now.Sub(s.start), 10*time.Second)
	}
	s.play(vacateAfter)
	running := make(map[bbrwork.Unit]bool)
	for _, runs := range s.running {
		for key := range runs {
			running[key.unit] = true
		}
	}
	for _, unit := range s.stops {
		require.True(t, running[unit], "%s was stopped and runs nowhere", unit)
	}
}

// BenchmarkVacate measures a round of planning in which many wide jobs wait and no upstream
// can be vacated.
func BenchmarkVacate(b *testing.B) {
	const upstreams = 60
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	sched := New(bbrwork.Shard{Service: "press"}, 7, testTiming, true, now)
	for i := range upstreams {
		incarnation := bbrwork.Incarnation{ID: fmt.Sprintf("u%04d", i), StartMillis: 1000}
		sched.RegisterUpstream(bbrwork.Upstream{Incarnation: incarnation, Service: "press", Capacity: bbrwork.Resources{MilliCPU: 16000, MemoryMB: 65536}, Labels: []string{"a", "r"}}, now)
		sched.ApplyListing(incarnation, &bbrwork.Listing{Clock: time.Second, StartMillis: 1000}, now, now)
	}
	for i := range 4 {
		longRunning := bbrwork.Step{Count: upstreams * 3 / 4, Need: bbrwork.Resources{MilliCPU: 2400, MemoryMB: 21000}, LongRunning: true, MaxPerUpstream: 1}
		sched.AddJob(&bbrwork.Job{ID: spreadJob(i), Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{longRunning}, Accepted: now}, 0, nil, now)
		for index, u := range sched.jobs[spreadJob(i)].occurrences[0].steps[0].units {
			r := sched.addRun(u, 1, sched.sortedUpstreams()[(i*upstreams*3/4+index)%upstreams], now)
			r.phase, r.percent, r.confirmedAt = phaseRunning, fullPercent, now
		}
	}
	for i := range 100 {
		sched.AddJob(&bbrwork.Job{ID: jobID(i), Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{wideStepOf(11)}, Accepted: now}, 0, nil, now)
	}
	for _, up := range sched.sortedUpstreams() {
		sched.recorded[up.Incarnation] = true
	}
	sched.horizon.advance(1)
	now = now.Add(vacateAfter)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		p := sched.survey(now)
		if len(p.usable) < upstreams {
			b.Fatal("upstreams are not usable")
		}
		for _, j := range sched.jobs {
			j.occurrences[0].steps[0].vacateAfter = time.Time{}
		}
		p.planVacancies()
		if len(sched.vacancies.list) > 0 {
			b.Fatal("an upstream is vacated")
		}
	}
}
