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
	s.ledger.AddJob(&bbrwork.Job{ID: id, Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{unitStep(1)}, Accepted: s.now}, stored, nil, s.now)
}

// TestJobsBeyondTheHorizonWaitForNobody holds that a successor waits with the
// jobs that an earlier owner may have begun, however late it hears of them, and
// with no others.
func TestJobsBeyondTheHorizonWaitForNobody(t *testing.T) {
	const within, beyond = "00000000000000a1", "00000000000000b2"
	s := newScene(t, false, "i-1")
	s.ledger.FinishLoading([]bbrwork.Upstream{s.upstream("i-silent")}, 500, s.now)
	s.wait(testTiming.Handover + 2*time.Second)
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

// TestUnknownHorizonAllowsAnyJob holds that an owner which finds no horizon, and
// its successor, wait with all jobs.
func TestUnknownHorizonAllowsAnyJob(t *testing.T) {
	s := newScene(t, false, "i-1")
	s.ledger.FinishLoading([]bbrwork.Upstream{s.upstream("i-silent")}, 0, s.now)
	s.acceptStored(testJob, 700)
	require.Empty(t, s.plan().Starts)
	require.Zero(t, s.ledger.Batch(1, s.now).Horizon)
	s.list("i-silent")
	require.Len(t, s.plan().Starts, 1)
	require.GreaterOrEqual(t, s.ledger.Batch(1, s.now).Horizon, bbrkv.Revision(700))
}

// TestJobBeginsOnlyWithinTheStoredHorizon holds that an owner which cannot store
// its horizon begins no job that its successor would take for not begun.
func TestJobBeginsOnlyWithinTheStoredHorizon(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.acceptStored(testJob, 10)
	s.ledger.Plan(true, s.now)
	require.True(t, s.ledger.Urgent())
	s.store()
	require.Len(t, s.plan().Starts, 1)

	horizon := s.ledger.horizon.stored
	require.Greater(t, horizon, bbrkv.Revision(10))
	s.acceptStored("00000000000000b2", horizon)
	s.acceptStored("00000000000000c3", horizon+1)
	plan := s.ledger.Plan(true, s.now)
	require.Len(t, plan.Starts, 1)
	require.Equal(t, "00000000000000b2", plan.Starts[0].Start.Unit.Job)
}

// TestHorizonNeverFallsBehindAnEarlierOwners holds that the successor of a
// successor waits for what the first of them may have begun.
func TestHorizonNeverFallsBehindAnEarlierOwners(t *testing.T) {
	s := newScene(t, false, "i-1")
	s.ledger.FinishLoading([]bbrwork.Upstream{s.upstream("i-silent")}, 900, s.now)
	require.Equal(t, bbrkv.Revision(900), s.ledger.Batch(1, s.now).Horizon)
}

// TestTurnOfDemandThatMeetsATakeover plays a turn of demand that begins as the
// service changes hands, while one of its upstreams is silent: callers of the
// jobs that come then are served in time by the others.
func TestTurnOfDemandThatMeetsATakeover(t *testing.T) {
	const jobs, every = 12, 200 * time.Millisecond
	s := newScene(t, false, "i-1", "i-2", "i-3")
	s.ledger.FinishLoading([]bbrwork.Upstream{s.upstream("i-silent")}, 100, s.now)
	s.register("i-silent")
	inTime := 0
	for i := range jobs {
		s.ledger.ApplyRenewalFailure(s.upstream("i-silent").Incarnation, bbrorder.ErrAnswerLost, s.now)
		s.acceptStored(fmt.Sprintf("%016x", i+1), 101+bbrkv.Revision(i))
		plan := s.plan()
		s.started(plan, nil)
		inTime += len(plan.Starts)
		s.wait(every)
	}
	require.Equal(t, jobs, inTime, "each begins in the round after it came")
}

// TestReplacedOwnerBeginsNoNewJob plays a job that comes while an owner that was
// replaced still believes in its claim: its successor begins the job at once, so
// the earlier owner must not.
func TestReplacedOwnerBeginsNoNewJob(t *testing.T) {
	w := newWorld("i-0", "i-1")
	first := &bbrwork.Job{ID: "00000000000000f1", Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{unitStep(1)}, Accepted: w.now}
	w.store.jobs[first.ID], w.store.stored[first.ID], w.store.revision = first, 10, 10
	earlier := w.claim()
	require.Len(t, earlier.work("i-0", "i-1"), 1)
	later := w.claim()
	require.True(t, earlier.confirmed())

	w.store.revision += 2 * horizonLead
	job := &bbrwork.Job{ID: testJob, Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{unitStep(1)}, Accepted: w.now}
	w.store.jobs[job.ID], w.store.stored[job.ID] = job, w.store.revision
	earlier.learn(job.ID)
	later.learn(job.ID)
	require.Empty(t, earlier.work("i-0", "i-1"), "it cannot store a further horizon")
	starts := later.work("i-1")
	require.Len(t, starts, 1, "the first job waits for i-0, the new one for nobody")
	require.Equal(t, job.ID, starts[0].Start.Unit.Job)
}

// work asks the upstreams for their lists, then plans and stores until there are
// starts, at most three times.
func (o *simOwner) work(reached ...string) []StartOrder {
	w := o.world
	for _, id := range slices.Sorted(maps.Keys(w.upstreams)) {
		o.ledger.RegisterUpstream(w.upstreams[id].reg, w.now)
	}
	for _, id := range reached {
		up := w.upstreams[id]
		listing := bbrwork.Listing{Clock: up.clock(), StartMillis: up.reg.StartMillis}
		o.ledger.ApplyListing(up.reg.Incarnation, &listing, w.now, w.now)
	}
	for range 3 {
		if plan := o.ledger.Plan(o.confirmed(), w.now); len(plan.Starts) > 0 {
			return plan.Starts
		}
		o.flush()
	}
	return nil
}
