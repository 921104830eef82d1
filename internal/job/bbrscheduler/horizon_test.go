package bbrscheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// acceptStored adds a job of one work unit that was stored at the revision.
func (s *scene) acceptStored(id string, stored bbrkv.Revision) {
	s.sched.AddJob(&bbrwork.Job{ID: id, Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{unitStep(1)}, Accepted: s.now}, stored, nil, s.now)
}

// TestJobsBeyondInheritedHorizonStartAtOnce checks that a successor delays exactly
// the jobs that an earlier owner may have started, however late it learns of them.
func TestJobsBeyondInheritedHorizonStartAtOnce(t *testing.T) {
	const within, beyond = "00000000000000a1", "00000000000000b2"
	s := newScene(t, false, "i-1")
	loadAll(s.sched, []bbrwork.Upstream{s.upstream("i-silent")}, 500, s.now)
	s.advance(testTiming.Handover + 2*time.Second)
	s.acceptStored(within, 500)
	s.acceptStored(beyond, 501)
	starts := s.plan().Starts
	require.Len(t, starts, 1)
	require.Equal(t, beyond, starts[0].Start.Unit.Job)
	s.list("i-silent")
	starts = s.plan().Starts
	require.Len(t, starts, 1)
	require.Equal(t, within, starts[0].Start.Unit.Job)
}

// TestUnknownHorizonDelaysAllJobs checks that an owner that finds no stored horizon
// delays all jobs, and stores none for its own successor until earlier work is
// located.
func TestUnknownHorizonDelaysAllJobs(t *testing.T) {
	s := newScene(t, false, "i-1")
	loadAll(s.sched, []bbrwork.Upstream{s.upstream("i-silent")}, 0, s.now)
	s.acceptStored(testJob, 700)
	require.Empty(t, s.plan().Starts)
	require.Zero(t, s.sched.Batch(1, s.now).Horizon)
	s.list("i-silent")
	require.Len(t, s.plan().Starts, 1)
	require.GreaterOrEqual(t, s.sched.Batch(1, s.now).Horizon, bbrkv.Revision(700))
}

// TestJobStartsOnlyWithinStoredHorizon checks that an owner that cannot store a
// higher horizon starts no job that its successor would consider not started.
func TestJobStartsOnlyWithinStoredHorizon(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.acceptStored(testJob, 10)
	s.sched.Plan(true, s.now)
	require.True(t, s.sched.Urgent())
	s.store()
	require.Len(t, s.plan().Starts, 1)

	horizon := s.sched.horizon.stored
	require.Greater(t, horizon, bbrkv.Revision(10))
	s.acceptStored("00000000000000b2", horizon)
	s.acceptStored("00000000000000c3", horizon+1)
	plan := s.sched.Plan(true, s.now)
	require.Len(t, plan.Starts, 1)
	require.Equal(t, "00000000000000b2", plan.Starts[0].Start.Unit.Job)
}

// TestHorizonNeverFallsBelowInherited checks that a second successor still waits
// for the jobs that the first owner may have started.
func TestHorizonNeverFallsBelowInherited(t *testing.T) {
	s := newScene(t, false, "i-1")
	loadAll(s.sched, []bbrwork.Upstream{s.upstream("i-silent")}, 900, s.now)
	require.Equal(t, bbrkv.Revision(900), s.sched.Batch(1, s.now).Horizon)
}

// TestDemandBurstDuringTakeover simulates a demand burst that begins at a takeover
// while one upstream is silent. The jobs that arrive then must start at once on the
// other upstreams.
func TestDemandBurstDuringTakeover(t *testing.T) {
	const jobs, every = 12, 200 * time.Millisecond
	s := newScene(t, false, "i-1", "i-2", "i-3")
	loadAll(s.sched, []bbrwork.Upstream{s.upstream("i-silent")}, 100, s.now)
	s.register("i-silent")
	inTime := 0
	for i := range jobs {
		s.sched.ApplyRenewalFailure(s.upstream("i-silent").Incarnation, bbrorder.ErrAnswerLost, s.now)
		s.acceptStored(fmt.Sprintf("%016x", i+1), 101+bbrkv.Revision(i))
		plan := s.plan()
		s.answerStarts(plan, nil)
		inTime += len(plan.Starts)
		s.advance(every)
	}
	require.Equal(t, jobs, inTime, "each job starts in the round after its arrival")
}

// TestReplacedOwnerStartsNoNewJob submits a job while a replaced owner still
// considers its claim valid. The successor starts the job at once, so the earlier
// owner must not.
func TestReplacedOwnerStartsNoNewJob(t *testing.T) {
	sim := newSimulation("i-0", "i-1")
	first := &bbrwork.Job{ID: "00000000000000f1", Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{unitStep(1)}, Accepted: sim.now}
	sim.store.jobs[first.ID], sim.store.jobRevisions[first.ID], sim.store.revision = first, 10, 10
	earlier := sim.claim()
	require.Len(t, earlier.planUntilStarts("i-0", "i-1"), 1)
	later := sim.claim()
	require.True(t, earlier.confirmed())

	sim.store.revision += 2 * horizonLead
	job := &bbrwork.Job{ID: testJob, Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{unitStep(1)}, Accepted: sim.now}
	sim.store.jobs[job.ID], sim.store.jobRevisions[job.ID] = job, sim.store.revision
	earlier.addJob(job.ID)
	later.addJob(job.ID)
	require.Empty(t, earlier.planUntilStarts("i-0", "i-1"), "the earlier owner cannot store a higher horizon")
	starts := later.planUntilStarts("i-1")
	require.Len(t, starts, 1, "the first job waits for i-0, the new one for nothing")
	require.Equal(t, job.ID, starts[0].Start.Unit.Job)
}

// planUntilStarts lists the reached upstreams, then plans and stores until a plan
// has starts, at most three times.
func (o *simOwner) planUntilStarts(reached ...string) []StartOrder {
	sim := o.sim
	for _, id := range slices.Sorted(maps.Keys(sim.upstreams)) {
		o.sched.RegisterUpstream(sim.upstreams[id].registration, sim.now)
	}
	for _, id := range reached {
		up := sim.upstreams[id]
		listing := bbrwork.Listing{Clock: up.clock(), StartMillis: up.registration.StartMillis}
		o.sched.ApplyListing(up.registration.Incarnation, &listing, sim.now, sim.now)
	}
	for range 3 {
		if plan := o.sched.Plan(o.confirmed(), sim.now); len(plan.Starts) > 0 {
			return plan.Starts
		}
		o.flush()
	}
	return nil
}

// TestJobThatIsReadLateKeepsTheWait guards against a job that a successor learns of only
// after it has loaded the shard and takes for a new one: the earlier owner may have started
// it, so that it waits like the others.
func TestJobThatIsReadLateKeepsTheWait(t *testing.T) {
	s := newScene(t, false)
	loadAll(s.sched, []bbrwork.Upstream{s.upstream("i-silent")}, 5, s.now)
	s.register("i-1")
	s.list("i-1")
	s.advance(2 * loadPeriod)
	s.acceptStored("00000000000000a1", 5)
	s.acceptStored("00000000000000a2", 9)
	require.Equal(t, map[string]int{"00000000000000a2": 1}, startedBy(s.plan()))
	s.list("i-1")
	s.advance(testTiming.Handover + leaseBound(testTiming.RunLease) + testTiming.StartTimeout)
	s.list("i-1")
	require.Contains(t, startedBy(s.plan()), "00000000000000a1")
}
