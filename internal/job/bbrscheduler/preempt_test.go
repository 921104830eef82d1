package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrcrash"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrreservation"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// runLowerRank runs four work units of a queue with a lower rank on an upstream.
func (s *scene) runLowerRank(up string, first int, step bbrwork.Step) {
	for i := range 4 {
		id := jobID(first + i)
		s.sched.AddJob(&bbrwork.Job{ID: id, Queue: "inserts", Service: "press", Spec: "x", Steps: []bbrwork.Step{step}, Accepted: s.now}, 0, nil, s.now)
		for _, u := range s.sched.jobs[id].occurrences[0].steps[0].units {
			r := s.sched.addRun(u, 1, s.sched.upstreams[up], s.now)
			r.phase, r.confirmedAt = phaseRunning, s.now
		}
	}
}

// newPreemptingScene returns a scene with one upstream that is full of work with a lower
// rank for another 5 s, and the same work 200 ms later.
func newPreemptingScene(t *testing.T) *scene {
	s := newReservingScene(t, "i-1")
	s.runLowerRank("i-1", 1, smallStep(5*time.Second))
	s.advance(200 * time.Millisecond)
	s.keepRunning("i-1")
	return s
}

// stopsOf plans and returns the runs that are stopped.
func (s *scene) stopsOf() []*run {
	var stopped []*run
	for _, order := range s.plan().Stops {
		stopped = append(stopped, s.sched.upstreams[order.Upstream.ID].runs[runKey{order.Stop.Unit, order.Stop.Run}])
	}
	return stopped
}

// stopRuns ends runs as stopped, with a checkpoint.
func (s *scene) stopRuns(runs []*run, checkpoint string) {
	for _, r := range runs {
		delete(r.up.runs, r.key())
		var running []bbrwork.Run
		for key := range r.up.runs {
			running = append(running, bbrwork.Run{Unit: key.unit, Number: key.number})
		}
		r.up.runs[r.key()] = r
		s.listRunning(r.up.ID, running, bbrwork.RunEnd{Sequence: r.up.applied + 1, Unit: r.unit.name(), Run: r.number, Outcome: bbrwork.OutcomeStopped, Checkpoint: checkpoint})
	}
}

// TestUrgentWorkPreempts guards against urgent work that misses its objective behind
// running work of a lower rank. The stopped work unit starts again with its checkpoint,
// only after its end is listed, and is not stopped again.
func TestUrgentWorkPreempts(t *testing.T) {
	s := newPreemptingScene(t)
	s.accept(testJob, smallStep(time.Second))
	stopped := s.stopsOf()
	require.Len(t, stopped, 1)
	victim := stopped[0].unit
	require.Empty(t, s.startedJobs(), "the stopped run has not ended")
	s.stopRuns(stopped, "half")
	require.Equal(t, []string{testJob}, s.startedJobs())
	require.Zero(t, victim.failureCount())
	counts := s.sched.ReservationCounts()
	require.Equal(t, 1, counts.Preempted)
	require.InDelta(t, 0.2, counts.Discarded.Seconds(), 0.02)

	s.advance(time.Second)
	s.endRun(testJob)
	plan := s.plan()
	require.Len(t, plan.Starts, 1)
	require.Equal(t, victim.name(), plan.Starts[0].Start.Unit)
	require.Equal(t, "half", plan.Starts[0].Start.Checkpoint)
	s.answerStarts(plan, nil)
	require.False(t, victim.runs[0].mayPreempt(0), "a work unit is preempted once at most")
}

// TestLostPreemptionIsRepeated guards against a stop that is sent once only, or that frees
// capacity before the end of the run is listed.
func TestLostPreemptionIsRepeated(t *testing.T) {
	s := newPreemptingScene(t)
	s.accept(testJob, unitStep(1))
	stopped := s.stopsOf()
	require.Len(t, stopped, 1)
	s.keepRunning("i-1")
	require.Empty(t, s.stopsOf(), "one stop is in flight")
	s.advance(stopRetryInterval)
	s.keepRunning("i-1")
	plan := s.plan()
	require.Empty(t, plan.Starts)
	require.Len(t, plan.Stops, 1)
	require.Equal(t, stopped[0].unit.name(), plan.Stops[0].Stop.Unit)
	require.Equal(t, 1, s.sched.ReservationCounts().Preempted, "it counts once")
}

// TestSuccessorReservesAnew guards against reservations that a takeover needs to know: a
// successor, to which nothing was stored of them, makes its own.
func TestSuccessorReservesAnew(t *testing.T) {
	s := newReservingScene(t, "i-1")
	s.fill("i-1", 1, 800*time.Millisecond)
	s.accept(testJob, wideUnit(2*time.Second))
	s.plan()
	require.Equal(t, 1, s.sched.ReservationCounts().Active)
	stored := make(map[string]Write)
	for _, write := range s.store() {
		stored[write.Job.ID] = write
	}
	running := s.sched.upstreams["i-1"].runs
	earlier := s.sched
	s.sched = New(earlier.Shard, 17, testTiming, false, s.now)
	s.sched.ReserveCapacity = true
	s.sched.SetConfig(bbrwork.NewConfig(2, rankedQueues, nil, bbrwork.Limits{}))
	for id, j := range earlier.jobs {
		s.sched.AddJob(j.Job, 0, stored[id].Progress, s.now)
	}
	loadAll(s.sched, []bbrwork.Upstream{s.upstream("i-1")}, 0, s.now)
	s.register("i-1")
	var listed []bbrwork.Run
	for key := range running {
		listed = append(listed, bbrwork.Run{Unit: key.unit, Number: key.number})
	}
	s.listRunning("i-1", listed)
	s.plan()
	require.Equal(t, 1, s.sched.ReservationCounts().Active)
	require.NotNil(t, s.sched.upstreams["i-1"].hold)
}

// TestWideUrgentWorkPreempts guards against stops of which a part of the capacity goes to
// other work before the rest has ended.
func TestWideUrgentWorkPreempts(t *testing.T) {
	s := newPreemptingScene(t)
	s.accept(testJob, wideUnit(time.Second))
	stopped := s.stopsOf()
	require.Len(t, stopped, 3)
	s.stopRuns(stopped[:2], "")
	require.Empty(t, s.startedJobs(), "what the stops freed is reserved")
	s.stopRuns(stopped[2:], "")
	require.Equal(t, []string{testJob}, s.startedJobs())
}

// TestPreemptionIsBounded guards against stops that break a guarantee, that help nobody, or
// that discard more than they gain.
func TestPreemptionIsBounded(t *testing.T) {
	tests := []struct {
		name    string
		urgent  bbrwork.Step
		arrange func(s *scene)
		stops   int
	}{
		{name: "nothing forbids it", urgent: unitStep(1), stops: 1},
		{name: "as many as wait", urgent: unitStep(2), stops: 2},
		{name: "not all of the job would get capacity", urgent: unitStep(5)},
		{name: "within the cap", urgent: unitStep(2), stops: 2, arrange: func(s *scene) { s.capUrgent(2000) }},
		{name: "the cap lacks room for all", urgent: unitStep(2), arrange: func(s *scene) { s.capUrgent(1500) }},
		{name: "the advice service may refuse the upstream", urgent: unitStep(1), arrange: func(s *scene) {
			policy := *s.sched.jobs[testJob].policy
			policy.RequiresAdvice = true
			s.sched.jobs[testJob].policy = &policy
		}},
		{name: "it discards more than it gains", urgent: smallStep(190 * time.Millisecond)},
		{name: "the work can no longer be in time", urgent: unitStep(1), arrange: func(s *scene) {
			s.sched.jobs[testJob].Accepted = s.now.Add(-1300 * time.Millisecond)
		}},
		{name: "capacity becomes free in time", urgent: unitStep(1), arrange: func(s *scene) {
			s.unit(jobID(1), 0).runs[0].orderedAt = s.now.Add(-4500 * time.Millisecond)
		}},
		{name: "the priority is the same", urgent: unitStep(1), arrange: func(s *scene) { s.eachVictim(func(u *unit) { u.step.job.policy = s.sched.jobs[testJob].policy }) }},
		{name: "attempts would be exhausted", urgent: unitStep(1), arrange: func(s *scene) { s.eachVictim(func(u *unit) { u.failedRuns = []int{1, 2} }) }},
		{name: "a suspect", urgent: unitStep(1), arrange: func(s *scene) {
			s.eachVictim(func(u *unit) { u.crashes = bbrcrash.History{{Upstream: "i-9"}} })
		}},
		{name: "preempted before", urgent: unitStep(1), arrange: func(s *scene) { s.eachVictim(func(u *unit) { u.preempted = true }) }},
		{name: "it is not known whether it runs", urgent: unitStep(1), arrange: func(s *scene) { s.eachVictim(func(u *unit) { u.runs[0].phase = phaseUnknown }) }},
		{name: "its age is not known", urgent: unitStep(1), arrange: func(s *scene) { s.eachVictim(func(u *unit) { u.runs[0].adopted = true }) }},
		{name: "a gang", urgent: unitStep(1), arrange: func(s *scene) { s.eachVictim(func(u *unit) { u.step.spec.Gang = true }) }},
		{name: "long-running work", urgent: unitStep(1), arrange: func(s *scene) { s.eachVictim(func(u *unit) { u.step.spec.LongRunning = true }) }},
		{name: "the urgent work is a gang", urgent: bbrwork.Step{Count: 2, Need: bbrwork.Resources{MilliCPU: 1000}, Estimate: time.Second, Gang: true}},
		{name: "it would not help", urgent: bbrwork.Step{Count: 1, Need: bbrwork.Resources{MilliCPU: 4001}, Estimate: time.Second}},
		{name: "a checkpoint was just saved", urgent: smallStep(190 * time.Millisecond), stops: 1, arrange: func(s *scene) {
			s.unit(jobID(3), 0).runs[0].checkpointedAt = s.now.Add(-100 * time.Millisecond)
		}},
		{name: "the upstream is reserved for a move", urgent: unitStep(1), arrange: func(s *scene) { s.sched.SetReserved(map[string]bool{"i-1": true}, s.now) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newPreemptingScene(t)
			s.accept(testJob, test.urgent)
			if test.arrange != nil {
				test.arrange(s)
			}
			require.Len(t, s.stopsOf(), test.stops)
		})
	}
}

// capUrgent gives the urgent job to an organisation with a cap.
func (s *scene) capUrgent(milliCPU int) {
	s.sched.jobs[testJob].Organisation = limitedOrganisation
	s.applyCap(milliCPU)
}

// eachVictim visits the work units of a lower rank.
func (s *scene) eachVictim(visit func(u *unit)) {
	for number := range 4 {
		visit(s.unit(jobID(number+1), 0))
	}
}

// TestStopsPerSecondAreBounded guards against a burst of urgent work that stops a whole
// shard.
func TestStopsPerSecondAreBounded(t *testing.T) {
	s := newReservingScene(t, "i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8")
	for i := range 8 {
		s.runLowerRank(jobUpstream(i), 1+4*i, smallStep(20*time.Second))
	}
	s.advance(50 * time.Millisecond)
	stops := make(map[*run]bool)
	for end := s.now.Add(990 * time.Millisecond); s.now.Before(end); s.advance(40 * time.Millisecond) {
		s.accept(jobID(100+int(end.Sub(s.now))), wideUnit(2*time.Second))
		for i := range 8 {
			s.keepRunning(jobUpstream(i))
		}
		plan := s.plan()
		for _, order := range plan.Stops {
			stops[s.sched.upstreams[order.Upstream.ID].runs[runKey{order.Stop.Unit, order.Stop.Run}]] = true
		}
		s.answerStops(plan)
	}
	require.Len(t, stops, s.sched.ReservationCounts().Preempted)
	require.NotEmpty(t, stops)
	require.LessOrEqual(t, len(stops), bbrreservation.MaxStopsPerSecond)
}

func jobUpstream(i int) string { return "i-" + string(rune('1'+i)) }

// answerStops answers all stops.
func (s *scene) answerStops(plan Plan) {
	for _, order := range plan.Stops {
		s.sched.ApplyStopResult(order, nil, s.now)
	}
}

// TestSettingOffDecidesNothing guards against reservations or stops without the setting.
func TestSettingOffDecidesNothing(t *testing.T) {
	s := newPreemptingScene(t)
	s.sched.ReserveCapacity = false
	s.accept(testJob, wideUnit(time.Second))
	require.Empty(t, s.stopsOf())
	require.Equal(t, ReservationCounts{Ended: map[bbrreservation.Cause]int{}}, s.sched.ReservationCounts())
}
