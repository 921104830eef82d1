package bbrscheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// A turn of demand on a large pool: more jobs than it can run at once.
const (
	crowdedUpstreams = 200
	crowdedJobs      = 1000
)

// crowd returns a ledger whose pool is full, with jobs that wait.
func crowd() (*Scheduler, time.Time) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	l := New(bbrwork.Shard{Service: "press"}, 7, testTiming, true, now)
	l.SetConfig(bbrwork.NewConfig(1, []*bbrwork.Queue{
		{Name: "proofs", Service: "press", Attempts: 3, Stretch: 1.6, Objective: 600 * time.Millisecond},
	}, nil, bbrwork.Limits{}))
	for i := range crowdedUpstreams {
		up := bbrwork.Upstream{
			Incarnation: bbrwork.Incarnation{ID: fmt.Sprintf("u%03d", i), StartMillis: 1000},
			Service:     "press",
			Capacity:    bbrwork.Resources{MilliCPU: 16000, MemoryMB: 64000},
			Labels:      []string{"kind-1", fmt.Sprintf("r-%d", i/20)},
		}
		l.RegisterUpstream(up, now)
		l.ApplyListing(up.Incarnation, &bbrwork.Listing{Clock: time.Second, StartMillis: 1000}, now, now)
	}
	for i := range crowdedJobs {
		step := bbrwork.Step{Count: 8, Need: bbrwork.Resources{MilliCPU: 1500, MemoryMB: 500}, Estimate: 640 * time.Millisecond, DataRack: fmt.Sprintf("r-%d", i%10)}
		second := step
		second.DependsOn = []int{0}
		l.AddJob(&bbrwork.Job{ID: fmt.Sprintf("%016x", i), Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{step, second}, Accepted: now}, 0, nil, now)
	}
	l.Plan(true, now)
	l.ApplyStored(l.Batch(1000, now), 1, now)
	for {
		plan := l.Plan(true, now)
		l.Notes()
		if len(plan.Starts) == 0 {
			return l, now
		}
		for _, order := range plan.Starts {
			l.ApplyStartResult(order, time.Second, nil, now)
		}
	}
}

func BenchmarkCrowdedPlan(b *testing.B) {
	l, now := crowd()
	for b.Loop() {
		l.Plan(true, now)
		l.Notes()
	}
}

func BenchmarkCrowdedBatch(b *testing.B) {
	l, now := crowd()
	for _, j := range l.jobs {
		l.markChanged(j)
	}
	for b.Loop() {
		l.Batch(28, now)
		l.ApplyStored(Batch{}, 1, now)
	}
}

func BenchmarkCrowdedReport(b *testing.B) {
	l, now := crowd()
	for b.Loop() {
		l.WaitingByQueue(now)
		l.Drained(now)
		l.Demand(now)
	}
}

// BenchmarkCrowdedLoad is what an owner does once a second to tell what waits.
func BenchmarkCrowdedLoad(b *testing.B) {
	l, now := crowd()
	now = now.Add(slowWait)
	for b.Loop() {
		l.Load(true, now)
		l.Notes()
	}
}

// BenchmarkCrowdedEnd is one end that is listed, with the plan that follows.
func BenchmarkCrowdedEnd(b *testing.B) {
	l, now := crowd()
	ids := l.sortedUpstreams()
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
		l.ApplyListing(up.Incarnation, listing, now, now)
		for _, order := range l.Plan(true, now).Starts {
			l.ApplyStartResult(order, time.Second, nil, now)
		}
		l.Notes()
		clear(l.dirty)
	}
}

// BenchmarkCrowdedReportBesideLasting is a report of a full pool with lasting work
// on all upstreams, and a wide work unit in every tenth job.
func BenchmarkCrowdedReportBesideLasting(b *testing.B) {
	l, now := crowd()
	number := 0
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		if number++; number%10 == 0 {
			l.jobs[id].Steps[0].Need.MemoryMB = 43000
		}
	}
	lasting := bbrwork.Step{Count: crowdedUpstreams, Need: bbrwork.Resources{MilliCPU: 100, MemoryMB: 30000}, LongRunning: true, MaxPerUpstream: 1}
	job := &bbrwork.Job{ID: "f", Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{lasting}, Accepted: now}
	l.AddJob(job, 0, nil, now)
	for i, u := range l.jobs["f"].occurrences[0].steps[0].units {
		l.addRun(u, 1, l.sortedUpstreams()[i], now)
	}
	for b.Loop() {
		l.Demand(now)
	}
}
