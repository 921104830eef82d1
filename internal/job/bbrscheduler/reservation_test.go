package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrreservation"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// newReservingScene returns a scene whose owner reserves capacity.
func newReservingScene(t *testing.T, upstreams ...string) *scene {
	s := newScene(t, true, upstreams...)
	s.sched.ReserveCapacity = true
	s.sched.SetConfig(bbrwork.NewConfig(2, rankedQueues, nil, bbrwork.Limits{}))
	s.plan()
	return s
}

// wideUnit is a work unit that needs most of an upstream.
func wideUnit(estimate time.Duration) bbrwork.Step {
	return bbrwork.Step{Count: 1, Need: bbrwork.Resources{MilliCPU: 3000, MemoryMB: 100}, Estimate: estimate}
}

// smallStep is a work unit of which four fit on an upstream.
func smallStep(estimate time.Duration) bbrwork.Step {
	step := unitStep(1)
	step.Estimate = estimate
	return step
}

// fill lets work with the estimate run on all of an upstream's capacity.
func (s *scene) fill(up string, first int, estimate time.Duration) {
	for i := range 4 {
		s.accept(jobID(first+i), smallStep(estimate))
		r := s.sched.addRun(s.unit(jobID(first+i), 0), 1, s.sched.upstreams[up], s.now)
		r.phase, r.confirmedAt = phaseRunning, s.now
	}
}

// endRun ends the first run of a job as done.
func (s *scene) endRun(id string) {
	r := s.unit(id, 0).runs[0]
	up := r.up
	var running []bbrwork.Run
	for key := range up.runs {
		if key != r.key() {
			running = append(running, bbrwork.Run{Unit: key.unit, Number: key.number})
		}
	}
	s.listRunning(up.ID, running, bbrwork.RunEnd{Sequence: up.applied + 1, Unit: r.unit.name(), Run: r.number, Outcome: bbrwork.OutcomeDone})
}

func (s *scene) endedBy(cause bbrreservation.Cause) int {
	return s.sched.ReservationCounts().Ended[cause]
}

// startedJobs plans, answers the starts, and returns their jobs.
func (s *scene) startedJobs() []string {
	var ids []string
	plan := s.plan()
	for _, order := range plan.Starts {
		ids = append(ids, order.Start.Unit.Job)
	}
	s.answerStarts(plan, nil)
	return ids
}

// TestReservedCapacityIsLeftFree guards against small work that takes each gap of the
// upstream on which wide work will fit first, and against a reservation that holds back
// work which it must not.
func TestReservedCapacityIsLeftFree(t *testing.T) {
	const second, third = "00000000000000b2", "00000000000000b3"
	tests := []struct {
		name   string
		step   bbrwork.Step
		queue  string
		starts bool
	}{
		{name: "small work that outlasts the reserved time", step: smallStep(500 * time.Millisecond)},
		{name: "work that may outlast it as estimates are wrong", step: smallStep(320 * time.Millisecond)},
		{name: "work that ends before it", step: smallStep(200 * time.Millisecond), starts: true},
		{name: "lower rank", step: smallStep(500 * time.Millisecond), queue: "inserts"},
		{name: "long-running work", step: bbrwork.Step{Count: 1, Need: bbrwork.Resources{MilliCPU: 1000, MemoryMB: 100}, LongRunning: true}, starts: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newReservingScene(t, "i-1")
			s.fill("i-1", 1, 800*time.Millisecond)
			s.accept(testJob, wideUnit(time.Second))
			require.Empty(t, s.startedJobs())
			s.advance(50 * time.Millisecond)
			s.endRun(jobID(1))
			queue := test.queue
			if queue == "" {
				queue = "proofs"
			}
			s.sched.AddJob(&bbrwork.Job{ID: second, Queue: queue, Service: "press", Spec: "x", Steps: []bbrwork.Step{test.step}, Accepted: s.now}, 0, nil, s.now)
			if test.starts {
				require.Equal(t, []string{second}, s.startedJobs())
				return
			}
			// One small unit fits beside the wide one at the reserved time.
			require.Equal(t, []string{second}, s.startedJobs())
			s.endRun(jobID(2))
			s.accept(third, test.step)
			require.Empty(t, s.startedJobs(), "a second one does not")
			s.endRun(jobID(3))
			s.endRun(jobID(4))
			require.Equal(t, []string{testJob}, s.startedJobs())
			s.plan()
			require.Equal(t, 1, s.endedBy(bbrreservation.CauseStarted))
		})
	}
}

// TestMoreUrgentWorkIsNotHeldBack guards against a reservation that delays work with a
// better priority.
func TestMoreUrgentWorkIsNotHeldBack(t *testing.T) {
	s := newReservingScene(t, "i-1")
	s.fill("i-1", 1, 800*time.Millisecond)
	s.sched.AddJob(&bbrwork.Job{ID: testJob, Queue: "inserts", Service: "press", Spec: "x", Steps: []bbrwork.Step{wideUnit(time.Second)}, Accepted: s.now}, 0, nil, s.now)
	require.Empty(t, s.startedJobs())
	require.Equal(t, 1, s.sched.ReservationCounts().Active)
	s.endRun(jobID(1))
	s.endRun(jobID(2))
	s.accept("00000000000000b2", unitStep(2))
	require.Len(t, s.startedJobs(), 2)
}

// TestGangReserves guards against a gang that starves because its members never fit at the
// same time.
func TestGangReserves(t *testing.T) {
	s := newReservingScene(t, "i-1", "i-2")
	s.fill("i-1", 1, 600*time.Millisecond)
	s.fill("i-2", 5, 800*time.Millisecond)
	gang := unitStep(8)
	gang.Gang = true
	s.accept(testJob, gang)
	require.Empty(t, s.startedJobs())
	require.Equal(t, 2, s.sched.ReservationCounts().HeldUpstreams)
	for number := range 8 {
		s.endRun(jobID(number + 1))
		s.accept(jobID(number+20), smallStep(time.Second))
		if number < 7 {
			require.Empty(t, s.startedJobs())
		}
	}
	starts := s.startedJobs()
	require.Len(t, starts, 8, "the whole gang starts")
	require.NotContains(t, starts, jobID(20))
}

// TestReservationEndsWhenEstimatesAreWrong guards against a reservation that keeps
// capacity idle while a run takes seven times as long as expected.
func TestReservationEndsWhenEstimatesAreWrong(t *testing.T) {
	s := newReservingScene(t, "i-1")
	s.fill("i-1", 1, 400*time.Millisecond)
	s.accept(testJob, wideUnit(4*time.Second))
	s.plan()
	require.Equal(t, 1, s.sched.ReservationCounts().Active)
	for i := range 2 {
		s.endRun(jobID(i + 1))
	}
	madeAt := s.now
	for s.endedBy(bbrreservation.CauseOverdue) == 0 {
		require.Less(t, s.now.Sub(madeAt), bbrreservation.MaxLife, "the reservation lasts beyond its bound")
		s.keepRunning("i-1")
		s.plan()
		s.advance(20 * time.Millisecond)
	}
	s.accept("00000000000000b2", unitStep(2))
	require.Len(t, s.startedJobs(), 2, "the capacity is free for other work")
	s.advance(bbrreservation.RetryDelay / 2)
	s.keepRunning("i-1")
	s.plan()
	require.Zero(t, s.sched.ReservationCounts().Active, "the work waits before it reserves again")
}

// keepRunning lists all runs of an upstream.
func (s *scene) keepRunning(id string) {
	var running []bbrwork.Run
	for key := range s.sched.upstreams[id].runs {
		running = append(running, bbrwork.Run{Unit: key.unit, Number: key.number})
	}
	s.listRunning(id, running)
}

// TestLostUpstreamEndsReservation guards against work that waits for capacity on an
// upstream that is gone.
func TestLostUpstreamEndsReservation(t *testing.T) {
	s := newReservingScene(t, "i-1", "i-2")
	s.fill("i-1", 1, 400*time.Millisecond)
	s.fill("i-2", 5, 1400*time.Millisecond)
	s.accept(testJob, wideUnit(3*time.Second))
	s.plan()
	require.NotNil(t, s.sched.upstreams["i-1"].hold)
	s.sched.EndIncarnation(s.upstream("i-1").Incarnation, "the platform lists it no more", s.now)
	s.plan()
	require.Equal(t, 1, s.endedBy(bbrreservation.CauseUpstreamLost))
	require.Zero(t, s.sched.ReservationCounts().Active)
	s.advance(bbrreservation.RetryDelay)
	s.keepRunning("i-2")
	s.plan()
	require.NotNil(t, s.sched.upstreams["i-2"].hold, "the work reserves elsewhere")
}

// TestReservedUpstreamIsNotRequestedTwice guards against a shard that reserves an upstream
// for wide work and also requests another one for it, or offers the reserved one.
func TestReservedUpstreamIsNotRequestedTwice(t *testing.T) {
	s := newReservingScene(t, "i-1", "i-2")
	s.fill("i-1", 1, 800*time.Millisecond)
	s.startLongRunning(longRunningJob, 1, bbrwork.Resources{MilliCPU: 3500, MemoryMB: 100})
	s.accept(testJob, wideUnit(time.Second))
	before := s.targetSize()
	s.plan()
	require.Equal(t, 1, s.sched.ReservationCounts().Active)
	require.Less(t, s.targetSize(), before)
	require.NotContains(t, s.sched.Demand(s.now).Releasable, "i-1")
}

// TestReservingIsCheap guards against rounds of planning that look for capacity although
// nothing wide waits, or for more steps than the bound.
func TestReservingIsCheap(t *testing.T) {
	s := newReservingScene(t, "i-1")
	s.fill("i-1", 1, time.Second)
	for i := range 50 {
		s.accept(jobID(100+i), smallStep(time.Second))
	}
	round := func() *planner {
		p := &planner{sched: s.sched, now: s.now, doesNotFit: make(map[bbrwork.Resources]bool), nearDataFits: make(map[*step]bool)}
		p.findUsable(s.sched.ensureRecorded)
		p.beginReservations()
		p.planStarts()
		p.planReservations()
		return p
	}
	p := round()
	require.Nil(t, p.forecast)
	require.Empty(t, p.considered)
	for i := range 50 {
		wide := wideUnit(time.Second)
		wide.Need.MilliCPU = 4001
		s.accept(jobID(200+i), wide)
	}
	p = round()
	require.NotNil(t, p.forecast)
	require.Len(t, p.considered, maxConsidered)
	forecasts := 0
	for i := range 50 {
		if !s.unit(jobID(200+i), 0).step.reserveAfter.IsZero() {
			forecasts++
		}
	}
	require.Equal(t, maxForecasts, forecasts)
}
