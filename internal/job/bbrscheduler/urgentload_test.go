package bbrscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// urgentResult counts the callers of both queues who got their result in time.
type urgentResult struct {
	urgent, urgentJobs, lower, lowerJobs int
	counts                               ReservationCounts
}

// playUrgentLoad fills a shard with work of a lower rank that runs for long, and sends
// bursts of urgent jobs.
func playUrgentLoad(t *testing.T, seed uint64, reserve bool) urgentResult {
	const lowerRunTime, lowerInterval, urgentInterval, urgentBurst = 3 * time.Second, 480 * time.Millisecond, 3 * time.Second, 3
	o := newOverload(t, seed, false)
	o.sched.ReserveCapacity = reserve
	o.sched.SetConfig(bbrwork.NewConfig(2, rankedQueues, nil, bbrwork.Limits{}))
	var result urgentResult
	priorities, latest := make(map[string]int), make(map[string]time.Duration)
	accept := func(queue *bbrwork.Queue, runTime time.Duration) {
		id := fmt.Sprintf("%016x", len(o.runTimes)+1)
		runTime = time.Duration(float64(runTime) * (0.7 + 0.6*o.random.Float64()))
		o.runTimes[id], o.accepted[id], priorities[id] = runTime, o.now, queue.Priority
		latest[id] = time.Duration(queue.Stretch*float64(runTime)) + queue.Objective
		step := bbrwork.Step{Count: overloadJobUnits, Need: bbrwork.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: runTime}
		o.sched.AddJob(&bbrwork.Job{ID: id, Queue: queue.Name, Service: "press", Spec: "x", Steps: []bbrwork.Step{step}, Accepted: o.now}, 0, nil, o.now)
	}
	for tick := range int(overloadLength / overloadTick) {
		at := time.Duration(tick) * overloadTick
		o.now = o.start.Add(at)
		if at%lowerInterval == 0 {
			accept(rankedQueues[2], lowerRunTime)
			result.lowerJobs++
		}
		if at%urgentInterval == urgentInterval-lowerInterval {
			for range urgentBurst {
				accept(rankedQueues[0], 800*time.Millisecond)
				result.urgentJobs++
			}
		}
		o.endRuns(tick)
		o.startRuns(tick)
	}
	for id, age := range o.ages {
		switch {
		case age > latest[id]:
		case priorities[id] == 0:
			result.urgent++
		default:
			result.lower++
		}
	}
	result.counts = o.sched.ReservationCounts()
	return result
}

// TestUrgentWorkDoesNotWait guards against urgent work that misses its objective behind
// long work of a lower rank, and against preemption that costs more callers than it serves.
func TestUrgentWorkDoesNotWait(t *testing.T) {
	var plain, preempting urgentResult
	for seed := range uint64(8) {
		for _, side := range []struct {
			sum     *urgentResult
			reserve bool
		}{{&plain, false}, {&preempting, true}} {
			result := playUrgentLoad(t, seed, side.reserve)
			side.sum.urgent += result.urgent
			side.sum.urgentJobs += result.urgentJobs
			side.sum.lower += result.lower
			side.sum.lowerJobs += result.lowerJobs
			side.sum.counts.Preempted += result.counts.Preempted
			side.sum.counts.Discarded += result.counts.Discarded
		}
	}
	t.Logf("without preemption %+v", plain)
	t.Logf("with %+v", preempting)
	require.Zero(t, plain.counts.Preempted)
	require.Greater(t, preempting.urgent, plain.urgent)
	require.GreaterOrEqual(t, preempting.urgent+preempting.lower, plain.urgent+plain.lower)
}
