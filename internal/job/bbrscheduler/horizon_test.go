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

// acceptStored tells the ledger of a job of one work unit that the store took at
// the revision.
func (s *scene) acceptStored(id string, stored bbrkv.Revision) {
	s.sched.AddJob(&bbrwork.Job{ID: id, Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{unitStep(1)}, Accepted: s.now}, stored, nil, s.now)
}

// TestJobsBeyondInheritedHorizonStartAtOnce holds that a successor waits with the
// jobs that an earlier owner may have begun, however late it hears of them, and
// with no others.
func TestJobsBeyondInheritedHorizonStartAtOnce(t *testing.T) {
	const within, beyond = "00000000000000a1", "00000000000000b2"
	s := newScene(t, false, "i-1")
	s.sched.FinishLoading([]bbrwork.Upstream{s.upstream("i-silent")}, 500, s.now)
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

// TestUnknownHorizonDelaysAllJobs holds that an owner which finds no horizon, and
// its successor, wait with all jobs.
func TestUnknownHorizonDelaysAllJobs(t *testing.T) {
	s := newScene(t, false, "i-1")
	s.sched.FinishLoading([]bbrwork.Upstream{s.upstream("i-silent")}, 0, s.now)
	s.acceptStored(testJob, 700)
	require.Empty(t, s.plan().Starts)
	require.Zero(t, s.sched.Batch(1, s.now).Horizon)
	s.list("i-silent")
	require.Len(t, s.plan().Starts, 1)
	require.GreaterOrEqual(t, s.sched.Batch(1, s.now).Horizon, bbrkv.Revision(700))
}

// TestJobStartsOnlyWithinStoredHorizon holds that an owner which cannot store
// its horizon begins no job that its successor would take for not begun.
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

// TestHorizonNeverFallsBelowInherited holds that the successor of a
// successor waits for what the first of them may have begun.
func TestHorizonNeverFallsBelowInherited(t *testing.T) {
	s := newScene(t, false, "i-1")
	s.sched.FinishLoading([]bbrwork.Upstream{s.upstream("i-silent")}, 900, s.now)
	require.Equal(t, bbrkv.Revision(900), s.sched.Batch(1, s.now).Horizon)
}

// TestDemandBurstDuringTakeover plays a turn of demand that begins as the
// service changes hands, while one of its upstreams is silent: callers of the
// jobs that come then are served in time by the others.
func TestDemandBurstDuringTakeover(t *testing.T) {
	const jobs, every = 12, 200 * time.Millisecond
	s := newScene(t, false, "i-1", "i-2", "i-3")
	s.sched.FinishLoading([]bbrwork.Upstream{s.upstream("i-silent")}, 100, s.now)
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
	require.Equal(t, jobs, inTime, "each begins in the round after it came")
}

// TestReplacedOwnerStartsNoNewJob plays a job that comes while an owner that was
// replaced still believes in its claim: its successor begins the job at once, so
// the earlier owner must not.
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
	require.Empty(t, earlier.planUntilStarts("i-0", "i-1"), "it cannot store a further horizon")
	starts := later.planUntilStarts("i-1")
	require.Len(t, starts, 1, "the first job waits for i-0, the new one for nobody")
	require.Equal(t, job.ID, starts[0].Start.Unit.Job)
}

// planUntilStarts asks the upstreams for their lists, then plans and stores until there are
// starts, at most three times.
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
