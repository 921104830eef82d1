package bbrscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// targetSize returns the number of upstreams that satisfies the shard's demand.
func (s *scene) targetSize() int {
	demand := s.sched.Demand(s.now)
	return demand.Occupied + demand.Exclusive
}

// TestRefusedWorkDoesNotRequestUnboundedUpstreams guards against a work unit that
// the advice service refuses everywhere and that requests one upstream after the
// other.
func TestRefusedWorkDoesNotRequestUnboundedUpstreams(t *testing.T) {
	const maxUpstreams = 12
	s := newAdvisedScene(t, "i-1", "i-2")
	s.accept(testJob, unitStep(1))
	count := 2
	for range 30 {
		require.Zero(t, s.startWithAdvice(time.Second, func(string) bool { return false }))
		for count <= maxUpstreams && count < s.targetSize() {
			count++
			id := fmt.Sprintf("i-%d", count)
			s.register(id)
			s.list(id)
		}
		require.LessOrEqual(t, count, maxUpstreams, "one work unit has led to %d upstreams and requests %d", count, s.targetSize())
	}
}

// TestTooSmallUpstreamsAreNotRequestedWithoutBound guards against a work unit that
// fits only on the largest upstream and requests one small upstream after the
// other.
func TestTooSmallUpstreamsAreNotRequestedWithoutBound(t *testing.T) {
	const maxUpstreams = 12
	s := newScene(t, true)
	large := s.upstream("i-1")
	large.Capacity = bbrwork.Resources{MilliCPU: 8000, MemoryMB: 16000}
	s.sched.RegisterUpstream(large, s.now)
	s.list("i-1")
	s.startLongRunning(longRunningJob, 1, bbrwork.Resources{MilliCPU: 4000, MemoryMB: 100})
	s.accept(testJob, bbrwork.Step{Count: 1, Need: bbrwork.Resources{MilliCPU: 6000, MemoryMB: 100}, Estimate: time.Second})
	count := 1
	for range 30 {
		for count <= maxUpstreams && count < s.targetSize() {
			count++
			id := fmt.Sprintf("i-%d", count)
			s.register(id)
			s.list(id)
		}
		require.Empty(t, s.plan().Starts)
		require.LessOrEqual(t, count, maxUpstreams, "one work unit has led to %d upstreams, none of them large enough, and requests %d", count, s.targetSize())
	}
}

// TestDemandIsIndependentOfJobOrder guards against a demand that changes from
// report to report while nothing else does.
func TestDemandIsIndependentOfJobOrder(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2")
	s.startLongRunning(longRunningJob, 2, bbrwork.Resources{MilliCPU: 3500, MemoryMB: 100})
	for i, milliCPU := range []int{2400, 2400, 1600, 1600} {
		s.accept(jobID(i), bbrwork.Step{Count: 1, Need: bbrwork.Resources{MilliCPU: milliCPU, MemoryMB: 100}, Estimate: time.Second})
	}
	seen := make(map[int]bool)
	for range 200 {
		seen[s.sched.Demand(s.now).Exclusive] = true
	}
	require.Len(t, seen, 1, "the same work must request the same number of upstreams each time")
}

// TestDemandIsIndependentOfUpstreamOrder guards against the same in a pool of
// different upstreams, some with more CPU and others with more memory.
func TestDemandIsIndependentOfUpstreamOrder(t *testing.T) {
	s := newScene(t, true)
	for i, capacity := range []bbrwork.Resources{{MilliCPU: 4000, MemoryMB: 8000}, {MilliCPU: 2000, MemoryMB: 16000}} {
		up := s.upstream(fmt.Sprintf("i-%d", i))
		up.Capacity = capacity
		s.sched.RegisterUpstream(up, s.now)
		s.list(up.ID)
	}
	s.startLongRunning(longRunningJob, 2, bbrwork.Resources{MilliCPU: 1900, MemoryMB: 100})
	s.accept(testJob, bbrwork.Step{Count: 1, Need: bbrwork.Resources{MilliCPU: 3000, MemoryMB: 100}, Estimate: time.Second})
	seen := make(map[int]bool)
	for range 200 {
		seen[s.sched.Demand(s.now).Exclusive] = true
	}
	require.Len(t, seen, 1, "the same work must request the same number of upstreams each time")
}

// TestSuspectUpstreamDoesNotSatisfyDemand guards against counting an upstream as
// suitable on which nothing is started because of consecutive failures.
func TestSuspectUpstreamDoesNotSatisfyDemand(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2")
	s.startLongRunning(longRunningJob, 2, bbrwork.Resources{MilliCPU: 3500, MemoryMB: 100})
	s.register("i-3")
	s.list("i-3")
	s.sched.upstreams["i-3"].health = health{streak: suspectStreak, lastFailure: s.now}
	s.accept(testJob, bbrwork.Step{Count: 1, Need: bbrwork.Resources{MilliCPU: 3000, MemoryMB: 100}, Estimate: time.Second})
	require.Empty(t, s.plan().Starts)
	require.Greater(t, s.targetSize(), 3, "the work unit can run on none of the 3 upstreams for up to %v", suspectPeriod)
}

// BenchmarkWideDemand measures the demand of a shard with long-running work on most
// upstreams and wide jobs that wait.
func BenchmarkWideDemand(b *testing.B) {
	for _, size := range []struct{ upstreams, jobs, units int }{{140, 50, 10}, {140, 200, 50}, {1100, 50, 10}, {1100, 200, 50}} {
		b.Run(fmt.Sprintf("%d upstreams, %d jobs of %d", size.upstreams, size.jobs, size.units), func(b *testing.B) {
			now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
			sched := New(bbrwork.Shard{Service: "press"}, 7, testTiming, true, now)
			sched.SetConfig(bbrwork.NewConfig(1, []*bbrwork.Queue{
				{Name: "proofs", Service: "press", Attempts: 3, Stretch: 1.6, Objective: 600 * time.Millisecond},
			}, nil, bbrwork.Limits{}))
			for i := range size.upstreams {
				incarnation := bbrwork.Incarnation{ID: fmt.Sprintf("u%04d", i), StartMillis: 1000}
				sched.RegisterUpstream(bbrwork.Upstream{Incarnation: incarnation, Service: "press", Capacity: bbrwork.Resources{MilliCPU: 16000, MemoryMB: 64000}, Labels: []string{"a", "r"}}, now)
				sched.ApplyListing(incarnation, &bbrwork.Listing{Clock: time.Second, StartMillis: 1000}, now, now)
			}
			longRunning := bbrwork.Step{Count: size.upstreams * 9 / 10, Need: bbrwork.Resources{MilliCPU: 100, MemoryMB: 30000}, LongRunning: true, MaxPerUpstream: 1}
			sched.AddJob(&bbrwork.Job{ID: longRunningJob, Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{longRunning}, Accepted: now}, 0, nil, now)
			for i, u := range sched.jobs[longRunningJob].occurrences[0].steps[0].units {
				sched.addRun(u, 1, sched.sortedUpstreams()[i], now)
			}
			for i := range size.jobs {
				step := bbrwork.Step{Count: size.units, Need: bbrwork.Resources{MilliCPU: 1500, MemoryMB: 43000}, Estimate: time.Second}
				sched.AddJob(&bbrwork.Job{ID: jobID(i), Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{step}, Accepted: now}, 0, nil, now)
			}
			for b.Loop() {
				sched.Demand(now)
			}
		})
	}
}
