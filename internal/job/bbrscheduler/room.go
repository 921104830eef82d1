package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Room is what a shard can take.
type Room struct {
	// Capacity is what the usable upstreams have for finite work.
	Capacity bbrwork.Resources
	// Drain is how long the capacity needs for the open finite work that is due, by
	// processor time or by memory, whichever takes longer.
	Drain time.Duration
}

// roomSettleTime is the time after a claim in which the upstreams list their runs. Until
// then, few of them are known to be usable.
const roomSettleTime = time.Second

// Room returns what the shard can take. It returns false while that is not known, as while
// jobs are loaded.
func (sched *Scheduler) Room(now time.Time) (Room, bool) {
	if sched.Loading() || now.Sub(sched.claimedAt) < roomSettleTime {
		return Room{}, false
	}
	var room Room
	for _, up := range sched.survey(now).usable {
		room.Capacity = room.Capacity.Plus(up.besideLongRunning().Max(bbrwork.Resources{}))
	}
	// The open work is in millicore-seconds and megabyte-seconds.
	milliCPU, memoryMB := 0.0, 0.0
	for _, j := range sched.jobs {
		if j.finalState != "" || j.cancelled {
			continue
		}
		for _, o := range j.occurrences {
			if now.Before(j.Schedule.Due(o.number)) {
				continue
			}
			milliCPU += o.remainingWork()
			memoryMB += o.remaining(func(need bbrwork.Resources) int { return need.MemoryMB })
		}
	}
	room.Drain = max(drainTime(milliCPU, room.Capacity.MilliCPU), drainTime(memoryMB, room.Capacity.MemoryMB))
	return room, true
}

// drainTime returns how long the capacity needs for the work; 0 if there is no capacity.
func drainTime(work float64, capacity int) time.Duration {
	if capacity == 0 {
		return 0
	}
	return time.Duration(work / float64(capacity) * float64(time.Second))
}
