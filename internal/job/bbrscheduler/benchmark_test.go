package bbrscheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// A demand burst on a large pool: more jobs than it can run at once.
const (
	crowdedUpstreams = 200
	crowdedJobs      = 1000
)

// crowdedScheduler returns a Scheduler whose pool is full, with jobs that wait.
func crowdedScheduler() (*Scheduler, time.Time) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	sched := New(bbrwork.Shard{Service: "press"}, 7, testTiming, true, now)
	sched.SetConfig(bbrwork.NewConfig(1, []*bbrwork.Queue{
		{Name: "proofs", Service: "press", Attempts: 3, Stretch: 1.6, Objective: 600 * time.Millisecond},
	}, nil, bbrwork.Limits{}))
	for i := range crowdedUpstreams {
		up := bbrwork.Upstream{
			Incarnation: bbrwork.Incarnation{ID: fmt.Sprintf("u%03d", i), StartMillis: 1000},
			Service:     "press",
			Capacity:    bbrwork.Resources{MilliCPU: 16000, MemoryMB: 64000},
			Labels:      []string{"kind-1", fmt.Sprintf("r-%d", i/20)},
		}
		sched.RegisterUpstream(up, now)
		sched.ApplyListing(up.Incarnation, &bbrwork.Listing{Clock: time.Second, StartMillis: 1000}, now, now)
	}
	for i := range crowdedJobs {
		step := bbrwork.Step{Count: 8, Need: bbrwork.Resources{MilliCPU: 1500, MemoryMB: 500}, Estimate: 640 * time.Millisecond, DataRack: fmt.Sprintf("r-%d", i%10)}
		second := step
		second.DependsOn = []int{0}
		sched.AddJob(&bbrwork.Job{ID: fmt.Sprintf("%016x", i), Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{step, second}, Accepted: now}, 0, nil, now)
	}
	sched.Plan(true, now)
	sched.ApplyStored(sched.Batch(1000, now), 1, now)
	for {
		plan := sched.Plan(true, now)
		sched.Notes()
		if len(plan.Starts) == 0 {
			return sched, now
		}
		for _, order := range plan.Starts {
			sched.ApplyStartResult(order, time.Second, nil, now)
		}
	}
}

func BenchmarkCrowdedPlan(b *testing.B) {
	sched, now := crowdedScheduler()
	for b.Loop() {
		sched.Plan(true, now)
		sched.Notes()
	}
}

func BenchmarkCrowdedBatch(b *testing.B) {
	sched, now := crowdedScheduler()
	for _, j := range sched.jobs {
		sched.markChanged(j)
	}
	for b.Loop() {
		sched.Batch(28, now)
		sched.ApplyStored(Batch{}, 1, now)
	}
}

func BenchmarkCrowdedReport(b *testing.B) {
	sched, now := crowdedScheduler()
	for b.Loop() {
		sched.WaitingByQueue(now)
		sched.Drained(now)
		sched.Demand(now)
	}
}

// BenchmarkCrowdedLoad measures the summary that an owner logs once a second.
func BenchmarkCrowdedLoad(b *testing.B) {
	sched, now := crowdedScheduler()
	now = now.Add(slowWait)
	for b.Loop() {
		sched.Load(true, now)
		sched.Notes()
	}
}

// BenchmarkCrowdedEnd measures one listing with a run end and the plan that
// follows.
func BenchmarkCrowdedEnd(b *testing.B) {
	sched, now := crowdedScheduler()
	ids := sched.sortedUpstreams()
	number := int64(0)
	for i := 0; b.Loop(); i++ {
		up := ids[i%len(ids)]
		listing := &bbrwork.Listing{Clock: time.Second, StartMillis: 1000}
		number++
		ended := false
		for key := range up.runs {
			if !ended {
				ended = true
				listing.Ended = []bbrwork.RunEnd{{Sequence: number, Unit: key.unit, Run: key.number, Outcome: bbrwork.OutcomeFailed}}
				continue
			}
			listing.Running = append(listing.Running, bbrwork.Run{Unit: key.unit, Number: key.number, Percent: 50})
		}
		sched.ApplyListing(up.Incarnation, listing, now, now)
		for _, order := range sched.Plan(true, now).Starts {
			sched.ApplyStartResult(order, time.Second, nil, now)
		}
		sched.Notes()
		clear(sched.dirty)
	}
}

// BenchmarkCrowdedReportWithLongRunningWork measures the demand of a full pool with
// long-running work on all upstreams and a wide work unit in every tenth job.
func BenchmarkCrowdedReportWithLongRunningWork(b *testing.B) {
	sched, now := crowdedScheduler()
	number := 0
	for _, id := range slices.Sorted(maps.Keys(sched.jobs)) {
		if number++; number%10 == 0 {
			sched.jobs[id].Steps[0].Need.MemoryMB = 43000
		}
	}
	longRunning := bbrwork.Step{Count: crowdedUpstreams, Need: bbrwork.Resources{MilliCPU: 100, MemoryMB: 30000}, LongRunning: true, MaxPerUpstream: 1}
	job := &bbrwork.Job{ID: "f", Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{longRunning}, Accepted: now}
	sched.AddJob(job, 0, nil, now)
	for i, u := range sched.jobs["f"].occurrences[0].steps[0].units {
		sched.addRun(u, 1, sched.sortedUpstreams()[i], now)
	}
	for b.Loop() {
		sched.Demand(now)
	}
}
