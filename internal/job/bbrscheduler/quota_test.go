package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const (
	limitedOrganisation = "limited"
	limitedMilliCPU     = 2000
)

// applyCap makes the scheduler apply a configuration with a cap, and gives the shard all
// of it.
func (s *scene) applyCap(milliCPU int) {
	config, err := bbrwork.NewConfig(2, nil, nil, bbrwork.Limits{}).WithOrganisations([]*bbrwork.Organisation{
		{Name: limitedOrganisation, Cap: bbrwork.Resources{MilliCPU: milliCPU}},
	})
	require.NoError(s, err)
	s.sched.SetConfig(config)
	account := s.sched.Account(limitedOrganisation)
	account.Held, account.Verified = bbrwork.Resources{MilliCPU: milliCPU}, true
}

// acceptOf accepts a job of an organisation; empty for a job of a public queue.
func (s *scene) acceptOf(id, organisation string, stored bbrkv.Revision, count int) {
	job := &bbrwork.Job{ID: id, Queue: "proofs", Service: "press", Spec: "x", Organisation: organisation, Accepted: s.now}
	job.Steps = []bbrwork.Step{{Count: count, Need: bbrwork.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second}}
	s.sched.AddJob(job, stored, nil, s.now)
}

// startedBy counts the starts of each job.
func startedBy(plan Plan) map[string]int {
	started := make(map[string]int)
	for _, start := range plan.Starts {
		started[start.Start.Unit.Job]++
	}
	return started
}

// TestOrganisationStaysWithinItsShare guards against an organisation that uses more than
// the shard's share of its cap: its further work units wait and say why, and the work of
// others starts beside them.
func TestOrganisationStaysWithinItsShare(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.applyCap(limitedMilliCPU)
	s.acceptOf("00000000000000a1", limitedOrganisation, 0, 3)
	s.acceptOf("00000000000000a2", "", 0, 1)
	plan := s.plan()
	require.Equal(t, map[string]int{"00000000000000a1": 2, "00000000000000a2": 1}, startedBy(plan))
	s.answerStarts(plan, nil)
	w := s.sched.survey(s.now).wait(s.sched.jobs["00000000000000a1"].occurrences[0].steps[0], true)
	require.Equal(t, ReasonOrganisationCap, w.reason)
	require.Contains(t, w.String(), limitedOrganisation)
	require.True(t, s.sched.QuotaWanted(1))

	first := plan.Starts[0]
	if first.Start.Unit.Job != "00000000000000a1" {
		first = plan.Starts[1]
	}
	s.list("i-1", bbrwork.RunEnd{Sequence: 1, Unit: first.Start.Unit, Run: first.Start.Run, Outcome: bbrwork.OutcomeDone})
	require.Equal(t, map[string]int{"00000000000000a1": 1}, startedBy(s.plan()))
}

// TestWorkThatMayRunCountsForTheCap guards against a successor that starts new work of an
// organisation while an earlier owner's may still run on an upstream that has not
// answered: both together would exceed the cap.
func TestWorkThatMayRunCountsForTheCap(t *testing.T) {
	s := newScene(t, false)
	s.applyCap(limitedMilliCPU)
	s.acceptOf("00000000000000a1", limitedOrganisation, 5, 2)
	loadAll(s.sched, []bbrwork.Upstream{s.upstream("i-silent")}, 5, s.now)
	s.register("i-1")
	s.list("i-1")
	s.acceptOf("00000000000000a2", limitedOrganisation, 9, 1)
	s.acceptOf("00000000000000a3", "", 9, 1)
	require.Equal(t, map[string]int{"00000000000000a3": 1}, startedBy(s.plan()))

	s.advance(testTiming.Handover + leaseBound(testTiming.MaxRunLease) + testTiming.StartTimeout)
	require.Equal(t, map[string]int{"00000000000000a1": 2}, startedBy(s.plan()), "the earlier owner's work has certainly ended")
}

// TestDemandWithinTheCap guards against instances that are requested for work that its
// organisation's cap does not let run.
func TestDemandWithinTheCap(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.applyCap(limitedMilliCPU)
	s.acceptOf("00000000000000a1", limitedOrganisation, 0, 200)
	require.LessOrEqual(t, s.sched.Demand(s.now).MilliCPU, limitedMilliCPU)
	s.acceptOf("00000000000000a2", "", 0, 200)
	require.Greater(t, s.sched.Demand(s.now).MilliCPU, 10*limitedMilliCPU)
}

// TestMemoryBoundDemandWithinTheCap guards against a request for work that the processor cap of
// its organisation keeps from running, made for the memory that this work needs.
func TestMemoryBoundDemandWithinTheCap(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.applyCap(limitedMilliCPU)
	upstream := s.upstream("i-1").Capacity
	s.sched.AddJob(&bbrwork.Job{ID: testJob, Queue: "proofs", Service: "press", Spec: "x", Organisation: limitedOrganisation, Accepted: s.now, Steps: []bbrwork.Step{
		{Count: 200, Need: bbrwork.Resources{MilliCPU: 1000, MemoryMB: upstream.MemoryMB}, Estimate: time.Second},
	}}, 0, nil, s.now)
	const unitsWithinCap = limitedMilliCPU / 1000
	for range 2 {
		require.Equal(t, unitsWithinCap*upstream.MilliCPU, s.sched.Demand(s.now).MilliCPU, "each unit fills an upstream")
		s.advance(20 * time.Second)
	}
}
