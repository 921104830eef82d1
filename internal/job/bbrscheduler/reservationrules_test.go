package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrcrash"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// TestReservationsYield guards against reservations that hold back work which they must not,
// and against work that ignores them. Half of the only upstream becomes free while a wide
// job has a reservation, beside which one small work unit fits.
func TestReservationsYield(t *testing.T) {
	const other = "00000000000000b2"
	large := bbrwork.Step{Count: 1, Need: bbrwork.Resources{MilliCPU: 2000, MemoryMB: 100}, Estimate: time.Second}
	gang := unitStep(2)
	gang.Gang = true
	longRunning := large
	longRunning.LongRunning = true
	bestEffort := bbrwork.Step{Count: 1, Need: bbrwork.Resources{MemoryMB: 4000}, Estimate: time.Second, LongRunning: true, BestEffort: true}
	tests := []struct {
		name string
		// late is by how much earlier the wide job was accepted.
		late   time.Duration
		step   bbrwork.Step
		starts int
	}{
		{name: "other work waits", step: large},
		{name: "a gang waits", step: gang},
		{name: "long-running work does not", step: longRunning, starts: 1},
		{name: "best-effort long-running work does not", step: bestEffort, starts: 1},
		{name: "work that can be in time does not wait for work that cannot", late: 1500 * time.Millisecond, step: large, starts: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newReservingScene(t, "i-1")
			s.fill("i-1", 1, 800*time.Millisecond)
			wide := wideUnit(time.Second)
			wide.Need.MemoryMB = 5000
			s.accept(testJob, wide)
			s.sched.jobs[testJob].Accepted = s.now.Add(-test.late)
			s.plan()
			require.Equal(t, 1, s.sched.ReservationCounts().Active)
			s.endRun(jobID(1))
			s.endRun(jobID(2))
			s.accept(other, test.step)
			require.Len(t, s.startedJobs(), test.starts)
		})
	}
}

// TestHeldUpstreamIsNotReleased guards against an upstream that is given to another pool as
// soon as it is empty enough for the wide work for which it is held.
func TestHeldUpstreamIsNotReleased(t *testing.T) {
	s := newReservingScene(t, "i-1", "i-2")
	s.fill("i-1", 1, 800*time.Millisecond)
	s.fill("i-2", 5, 1200*time.Millisecond)
	s.accept(testJob, wideUnit(time.Second))
	s.plan()
	require.NotNil(t, s.sched.upstreams["i-1"].hold)
	require.Equal(t, []string{"i-2"}, s.sched.Demand(s.now).Releasable)
}

// TestLateWorkReservesLast guards against work that can no longer be in time and that holds
// capacity while work that can be in time waits for some.
func TestLateWorkReservesLast(t *testing.T) {
	for _, inTimeWaits := range []bool{false, true} {
		s := newReservingScene(t, "i-1")
		s.fill("i-1", 1, 800*time.Millisecond)
		s.accept(testJob, wideUnit(time.Second))
		s.sched.jobs[testJob].Accepted = s.now.Add(-1500 * time.Millisecond)
		if inTimeWaits {
			// It does not fit within the time for which capacity is reserved ahead.
			s.accept("00000000000000b2", bbrwork.Step{Count: 1, Need: bbrwork.Resources{MilliCPU: 5000}, Estimate: time.Second})
		}
		s.plan()
		require.Equal(t, inTimeWaits, s.sched.ReservationCounts().Active == 0)
	}
}

// runOf lets four jobs of an organisation run on an upstream.
func (s *scene) runOf(up, organisation, queue string, estimate time.Duration) {
	for i := range 4 {
		in := &bbrwork.Job{ID: jobID(1 + i), Queue: queue, Service: "press", Spec: "x", Organisation: organisation, Steps: []bbrwork.Step{smallStep(estimate)}, Accepted: s.now}
		s.sched.AddJob(in, 0, nil, s.now)
		r := s.sched.addRun(s.unit(in.ID, 0), 1, s.sched.upstreams[up], s.now)
		r.phase, r.confirmedAt = phaseRunning, s.now
	}
}

// TestWorkBeyondItsShareReservesNothing guards against an organisation beyond its share
// that gets capacity ahead of the others by a reservation or a preemption.
func TestWorkBeyondItsShareReservesNothing(t *testing.T) {
	tests := []struct {
		name, organisation, queue string
		shares                    bool
		running                   time.Duration
		step                      bbrwork.Step
		reserved, stops           int
	}{
		{name: "wide, without shares", organisation: "a", queue: "proofs", running: 800 * time.Millisecond, step: wideUnit(time.Second), reserved: 1},
		{name: "wide, within its share", organisation: "b", queue: "proofs", shares: true, running: 800 * time.Millisecond, step: wideUnit(time.Second), reserved: 1},
		{name: "wide, beyond its share", organisation: "a", queue: "proofs", shares: true, running: 800 * time.Millisecond, step: wideUnit(time.Second)},
		{name: "urgent, without shares", organisation: "a", queue: "inserts", running: 5 * time.Second, step: smallStep(time.Second), reserved: 1, stops: 1},
		{name: "urgent, within its share", organisation: "b", queue: "inserts", shares: true, running: 5 * time.Second, step: smallStep(time.Second), reserved: 1, stops: 1},
		{name: "urgent, beyond its share", organisation: "a", queue: "inserts", shares: true, running: 5 * time.Second, step: smallStep(time.Second)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newReservingScene(t, "i-1")
			s.sched.FairShares = test.shares
			config, err := s.sched.config.WithOrganisations([]*bbrwork.Organisation{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}})
			require.NoError(t, err)
			s.sched.SetConfig(config)
			s.runOf("i-1", "a", test.queue, test.running)
			s.advance(400 * time.Millisecond)
			s.keepRunning("i-1")
			small := smallStep(time.Second)
			small.Count = 4
			s.sched.AddJob(&bbrwork.Job{ID: "00000000000000b2", Queue: "inserts", Service: "press", Spec: "x", Organisation: "b", Steps: []bbrwork.Step{small}, Accepted: s.now}, 0, nil, s.now)
			s.sched.AddJob(&bbrwork.Job{ID: testJob, Queue: "proofs", Service: "press", Spec: "x", Organisation: test.organisation, Steps: []bbrwork.Step{test.step}, Accepted: s.now}, 0, nil, s.now)
			require.Len(t, s.plan().Stops, test.stops)
			require.Equal(t, test.reserved, s.sched.ReservationCounts().Active)
		})
	}
}

// TestSuspectDoesNotReserve guards against an upstream that is held for a work unit that
// waits for a trial, for which upstreams are reserved already.
func TestSuspectDoesNotReserve(t *testing.T) {
	s := newReservingScene(t, "i-1")
	s.fill("i-1", 1, 800*time.Millisecond)
	s.accept(testJob, wideUnit(time.Second))
	s.unit(testJob, 0).crashes = bbrcrash.History{{Upstream: "i-9"}}
	s.plan()
	require.Zero(t, s.sched.ReservationCounts().Active)
}
