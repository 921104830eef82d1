package bbrscheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// roomLoad is a load of one service on cells of the same size in which its pool has
// different numbers of upstreams. Many entries accept the jobs, the first of which own the
// shards. An entry learns rooms only from the hints that it receives and from the answers to
// those that it sends.
type roomLoad struct {
	random  *rand.Rand
	cells   *bbrcell.Cells
	shards  []*overload
	entries []*bbrcell.RoomDirectory
	// rate is the number of jobs a second.
	rate float64
	// balanced enables the choice by room.
	balanced bool
	// answers reports whether an entry gets the room with the answer of a cell's owner.
	answers func(cell int) bool
	// jobs and waits count the jobs and sum up the times from their acceptance to their end.
	jobs  int
	waits time.Duration
}

const (
	roomLoadEntries = 30
	// roomLoadHop is the number of ticks until the answer to a hint arrives.
	roomLoadHop = 2
)

// playRoomLoad returns the mean time that callers wait, and the share of them that get their
// result within the objective.
func playRoomLoad(t *testing.T, test roomLoadTest, seed uint64, balanced bool) (wait time.Duration, inTime float64) {
	load := &roomLoad{random: rand.New(rand.NewPCG(seed, 1)), cells: &bbrcell.Cells{}, rate: test.rate, balanced: balanced}
	load.answers = func(cell int) bool { return test.answers(load.random, cell) }
	for cell, count := range test.upstreams {
		ids := make([]string, count)
		for i := range ids {
			ids[i] = fmt.Sprintf("i-%d", i)
		}
		load.cells.Sizes = append(load.cells.Sizes, 128)
		load.shards = append(load.shards, newOverloadOn(t, seed+uint64(cell)<<8, false, ids...))
	}
	for range roomLoadEntries {
		load.entries = append(load.entries, &bbrcell.RoomDirectory{})
	}
	load.play()
	completed := 0
	for _, shard := range load.shards {
		completed += shard.inTime
	}
	return load.waits / time.Duration(load.jobs), float64(completed) / float64(load.jobs)
}

func (load *roomLoad) play() {
	arrivals := 0.0
	var hints []func(tick int) bool
	end := load.shards[0].start.Add(overloadLength)
	for tick := range int(overloadLength / overloadTick) {
		for _, shard := range load.shards {
			shard.now = shard.start.Add(time.Duration(tick) * overloadTick)
		}
		pending := hints[:0]
		for _, hint := range hints {
			if !hint(tick) {
				pending = append(pending, hint)
			}
		}
		hints = pending
		for arrivals += load.rate * overloadTick.Seconds(); arrivals >= 1; arrivals-- {
			hints = append(hints, load.accept(tick))
		}
		for _, shard := range load.shards {
			before := len(shard.accepted)
			waiting := sumOfWaits(shard)
			shard.endRuns(tick)
			load.waits += waiting - sumOfWaits(shard)
			require.LessOrEqual(shard, len(shard.accepted), before)
			shard.startRuns(tick)
		}
	}
	// A job that has not ended counts with the time that its caller has waited so far.
	for _, shard := range load.shards {
		shard.now = end
		load.waits += sumOfWaits(shard)
	}
}

// sumOfWaits returns how long the callers of the jobs that have not ended have waited.
func sumOfWaits(shard *overload) time.Duration {
	sum := time.Duration(0)
	for _, accepted := range shard.accepted {
		sum += shard.now.Sub(accepted)
	}
	return sum
}

// accept accepts a job at a random entry. It returns the answer to the entry's hint, which
// reports whether it has been delivered.
func (load *roomLoad) accept(tick int) func(tick int) bool {
	entry := load.entries[load.random.IntN(len(load.entries))]
	load.jobs++
	job := &bbrwork.Job{ID: fmt.Sprintf("%016x", load.random.Uint64()), Service: "press"}
	cell := load.cells.ChooseForJob(job, 0)
	if load.balanced {
		cell, _ = entry.Choose(load.cells, job, 0, load.shards[0].now)
	}
	shard := load.shards[cell]
	shard.acceptJob()
	return func(now int) bool {
		if now < tick+roomLoadHop {
			return false
		}
		if room, known := shard.sched.Room(shard.now); known && load.answers(cell) {
			owner := load.entries[cell]
			owner.Learn("press", entry.Known("press", shard.now), load.cells.Count(), shard.now)
			owner.Learn("press", []bbrcell.Room{{Cell: cell, MilliCPU: room.Capacity.MilliCPU, Drain: room.Drain}}, load.cells.Count(), shard.now)
			entry.Learn("press", owner.Known("press", shard.now), load.cells.Count(), shard.now)
		}
		return true
	}
}

// roomLoadTest is a load and what it must give callers.
type roomLoadTest struct {
	name string
	// upstreams has the number of the pool's upstreams in each cell. Together they carry
	// about 49 jobs a second.
	upstreams []int
	rate      float64
	answers   func(random *rand.Rand, cell int) bool
	// maxWait is the greatest wait as a part of that with the choice by ID.
	maxWait float64
}

// TestJobsFollowTheRoomOfCells plays equal arrivals on cells in which a pool has 4, 15 and
// 35 upstreams. It guards against callers that wait for the smallest cell while the others
// have capacity, and against a choice by room that costs callers time where little is known,
// all cells are overloaded, or all have equal room.
func TestJobsFollowTheRoomOfCells(t *testing.T) {
	all := func(*rand.Rand, int) bool { return true }
	half := func(random *rand.Rand, _ int) bool { return random.IntN(2) == 0 }
	earlierBuild := func(silent int) func(*rand.Rand, int) bool {
		return func(_ *rand.Rand, cell int) bool { return cell != silent }
	}
	uneven, even := []int{4, 15, 35}, []int{18, 18, 18}
	tests := []roomLoadTest{
		{name: "uneven", upstreams: uneven, rate: 24, answers: all, maxWait: 0.75},
		{name: "half of the answers missing", upstreams: uneven, rate: 24, answers: half, maxWait: 0.95},
		{name: "the smallest cell's owner has an earlier build", upstreams: uneven, rate: 24, answers: earlierBuild(0), maxWait: 1.05},
		{name: "the largest cell's owner has an earlier build", upstreams: uneven, rate: 24, answers: earlierBuild(2), maxWait: 0.85},
		{name: "uneven and overloaded", upstreams: uneven, rate: 60, answers: all, maxWait: 0.8},
		{name: "even", upstreams: even, rate: 24, answers: all, maxWait: 1.03},
		{name: "even and overloaded", upstreams: even, rate: 60, answers: all, maxWait: 1.05},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var before, after time.Duration
			inTimeBefore, inTimeAfter := 0.0, 0.0
			const seeds = 3
			for seed := range uint64(seeds) {
				wait, inTime := playRoomLoad(t, test, seed, false)
				before, inTimeBefore = before+wait/seeds, inTimeBefore+inTime/seeds
				wait, inTime = playRoomLoad(t, test, seed, true)
				after, inTimeAfter = after+wait/seeds, inTimeAfter+inTime/seeds
			}
			t.Logf("callers wait %s by ID and %s by room; in time: %.2f and %.2f", before.Round(time.Millisecond), after.Round(time.Millisecond), inTimeBefore, inTimeAfter)
			require.LessOrEqual(t, after.Seconds(), test.maxWait*before.Seconds())
			require.GreaterOrEqual(t, inTimeAfter, 0.97*inTimeBefore)
		})
	}
}
