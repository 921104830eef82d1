package bbrscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// backlogJobs is the number of jobs of a long backlog.
const backlogJobs = 10_000

// unitsPerUpstream is the number of units of unitStep that fit on an upstream.
const unitsPerUpstream = 4

// backlogStore fills the store of a simulation with jobs of one work unit each.
func backlogStore(sim *simulation, jobs int) {
	for i := range jobs {
		id := fmt.Sprintf("%016x", i+1)
		sim.store.revision++
		sim.store.jobRevisions[id] = sim.store.revision
		sim.store.jobs[id] = &bbrwork.Job{ID: id, Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{unitStep(1)}, Accepted: sim.now}
	}
}

// TestFirstStartDoesNotWaitForTheBacklog guards against a successor that starts nothing until
// it has loaded a long backlog: it knows one of its jobs.
func TestFirstStartDoesNotWaitForTheBacklog(t *testing.T) {
	const bound = 500 * time.Millisecond
	sim := newSimulation("i-1", "i-2")
	backlogStore(sim, backlogJobs)
	first := sim.claim()
	first.flush()
	first.stopped = true
	sim.loadsSlowly = func() bool { return true }
	d := &driver{sim: sim}
	o := sim.claim()
	claimed := sim.now
	o.loadListed(0)
	for len(sim.units) == 0 {
		require.Less(t, sim.now.Sub(claimed), bound)
		d.faultFreeRound(o)
	}
	require.Empty(t, sim.violations)
	require.True(t, o.sched.Loading())
	require.Len(t, o.pending, backlogJobs-1)
	t.Logf("first start %v after the claim", sim.now.Sub(claimed))
}

// TestKnownWorkStartsWhileJobsAreLoaded draws what an earlier owner has running, which of it
// its successor knows, and jobs that are accepted meanwhile. However much is still to be
// loaded, known work that fits on upstreams without unknown runs starts at once.
func TestKnownWorkStartsWhileJobsAreLoaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation("i-1", "i-2")
		d := &driver{T: t, sim: sim}
		backlogStore(sim, rapid.IntRange(1, 10).Draw(t, "jobs"))
		earlier := sim.claim()
		for range rapid.IntRange(0, 4).Draw(t, "rounds") {
			d.faultFreeRound(earlier)
		}
		earlier.stopped = true
		sim.boot(spareUpstream, false)
		sim.loadsSlowly = func() bool { return true }
		o := sim.claim()
		d.faultFreeRound(o)
		for len(o.pending) > 0 {
			id := o.pending[0]
			if rapid.Bool().Draw(t, "accepted") {
				id = d.acceptBeside(o)
			} else {
				o.loadListed(0)
			}
			for range 2 {
				d.faultFreeRound(o)
			}
			if state, _ := o.sched.State(id); len(sim.upstreams[spareUpstream].runs) < unitsPerUpstream {
				require.NotEqual(t, bbrwork.Pending, state, "job %s, %d of %d jobs to be loaded", id, len(o.pending), len(sim.store.jobs))
			}
		}
		require.Empty(t, sim.violations)
	})
}

// acceptBeside accepts a job, of which only the owner learns, and returns its ID.
func (d *driver) acceptBeside(o *simOwner) string {
	id := fmt.Sprintf("%016x", 0xa00+len(d.sim.store.jobs))
	d.sim.store.revision += bbrkv.Revision(horizonLead)
	d.sim.store.jobRevisions[id] = d.sim.store.revision
	d.sim.store.jobs[id] = &bbrwork.Job{ID: id, Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{unitStep(1)}, Accepted: d.sim.now}
	o.addJob(id)
	return id
}

// loadBacklog lets an owner add the jobs one by one, of which upstreams list one in ten as ended
// and another one as running.
func loadBacklog(jobs int) *Scheduler {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	sched := New(bbrwork.Shard{Service: "press"}, 7, testTiming, false, now)
	sched.SetConfig(bbrwork.NewConfig(1, testQueues, nil, bbrwork.Limits{}))
	up := bbrwork.Upstream{Incarnation: bbrwork.Incarnation{ID: "i-1", StartMillis: 1000}, Service: "press", Capacity: fullCapacity}
	sched.BeginLoading([]bbrwork.Upstream{up}, bbrkv.Revision(jobs), now)
	sched.RegisterUpstream(up, now)
	listing := &bbrwork.Listing{Clock: time.Second, StartMillis: 1000}
	for i := range jobs / 10 {
		listing.Running = append(listing.Running, bbrwork.Run{Unit: bbrwork.Unit{Job: fmt.Sprintf("%016x", 10*i+1)}, Number: 1})
		listing.Ended = append(listing.Ended, bbrwork.RunEnd{Sequence: int64(i + 1), Unit: bbrwork.Unit{Job: fmt.Sprintf("%016x", 10*i)}, Run: 1, Outcome: bbrwork.OutcomeDone})
	}
	sched.ApplyListing(up.Incarnation, listing, now, now)
	for i := range jobs {
		sched.AddJob(&bbrwork.Job{ID: fmt.Sprintf("%016x", i), Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{unitStep(1)}, Accepted: now}, bbrkv.Revision(i+1), nil, now)
	}
	sched.FinishLoading(now)
	return sched
}

func BenchmarkLoadBacklog(b *testing.B) {
	for _, jobs := range []int{backlogJobs / 10, backlogJobs} {
		b.Run(fmt.Sprintf("%d jobs", jobs), func(b *testing.B) {
			for b.Loop() {
				loadBacklog(jobs)
			}
		})
	}
}

func BenchmarkPlanWhileLoading(b *testing.B) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for _, jobs := range []int{1, backlogJobs / 10, backlogJobs} {
		b.Run(fmt.Sprintf("%d jobs", jobs), func(b *testing.B) {
			sched := loadBacklog(jobs)
			for b.Loop() {
				sched.Plan(true, now)
				sched.Notes()
			}
		})
	}
}
