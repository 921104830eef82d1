package bbrscheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// repeatingJob is a job with one work unit that repeats each minute, the first time in an hour.
func repeatingJob(n, count int, now time.Time) *bbrwork.Job {
	return &bbrwork.Job{ID: jobID(n), Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{unitStep(1)}, Accepted: now,
		Schedule: bbrwork.Schedule{Count: count, First: now.Add(time.Hour), Every: time.Minute}}
}

// TestOccurrencesToComeAreNotHeld guards against owners that exceed their memory, one after the other,
// since they hold all occurrences of jobs that repeat for months.
func TestOccurrencesToComeAreNotHeld(t *testing.T) {
	const jobs, count = 14, 86_400
	s := newScene(t, true, "i-1")
	before := heapBytes()
	for n := range jobs {
		s.sched.AddJob(repeatingJob(n, count, s.now), 0, nil, s.now)
	}
	s.plan()
	require.Less(t, int(heapBytes()-before), jobs*64<<10)
	require.Less(t, s.sched.HeldBytes(), jobs*4<<10)
	held := 0
	for _, j := range s.sched.jobs {
		held += len(j.occurrences)
	}
	require.Equal(t, jobs, held, "the next occurrence of each")
	runtime.KeepAlive(s)
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestHeldBytesCoverTheHeap guards against jobs that are accepted although an owner cannot hold them: in
// each shape of work, what is estimated is at least what the heap grows by, and less than twice that.
func TestHeldBytesCoverTheHeap(t *testing.T) {
	for _, shape := range []struct{ jobs, steps, units, count int }{
		{jobs: 4000, steps: 1, units: 1}, {jobs: 1000, steps: 2, units: 8}, {jobs: 1, steps: 1, units: 20_000},
		{jobs: 500, steps: 1, units: 4, count: 1000}, {jobs: 2000, steps: 3, units: 1},
	} {
		const roundBytes = 400 // What a planning round needs for a step is not live.
		t.Run(fmt.Sprint(shape), func(t *testing.T) {
			s := newScene(t, true)
			before := heapBytes()
			for n := range shape.jobs {
				in := repeatingJob(n, shape.count, s.now.Add(-2*time.Hour))
				in.Steps = nil
				for range shape.steps {
					in.Steps = append(in.Steps, unitStep(shape.units))
				}
				s.sched.AddJob(in, 0, nil, s.now.Add(-90*time.Minute))
			}
			heap, estimate := int(heapBytes()-before), s.sched.HeldBytes()
			t.Logf("heap %d, estimate %d", heap, estimate)
			require.GreaterOrEqual(t, estimate, heap)
			require.Less(t, estimate, 2*heap+shape.jobs*shape.steps*roundBytes)
			runtime.KeepAlive(s)
		})
	}
}

// TestRepeatingWorkIsDoneOnceWithinItsMemory draws shapes of work, cancellations and takeovers: what is held
// stays within the bound but for what each job needs at least, every work unit that is not
// cancelled runs once and not before it is due, and jobs of one unit are not kept waiting by others.
func TestRepeatingWorkIsDoneOnceWithinItsMemory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := &heldDriver{scene: newScene(t, true), memory: &HeldMemory{MaxBytes: 40_000}, t: rt, done: make(map[bbrwork.Unit]bool), jobs: make(map[string]*bbrwork.Job)}
		d.takeOver()
		for n := range rapid.IntRange(1, 6).Draw(rt, "jobs") {
			in := repeatingJob(n, rapid.IntRange(0, 60).Draw(rt, "count"), d.now)
			in.Steps = nil
			for range rapid.IntRange(1, 2).Draw(rt, "steps") {
				in.Steps = append(in.Steps, unitStep(rapid.SampledFrom([]int{1, 3, 40}).Draw(rt, "units")))
			}
			in.Schedule.First = d.now.Add(time.Duration(rapid.IntRange(-5000, 2000).Draw(rt, "first ms")) * time.Millisecond)
			in.Schedule.Every = time.Duration(rapid.SampledFrom([]int{0, 10, 700}).Draw(rt, "every ms")) * time.Millisecond
			d.jobs[in.ID] = in
			d.sched.AddJob(in, 1, nil, d.now)
		}
		for round := 0; !d.finished(); round++ {
			require.Less(rt, round, 2000, "the work never ends")
			if rapid.IntRange(0, 19).Draw(rt, "take over") == 0 {
				d.takeOver()
			}
			if rapid.IntRange(0, 29).Draw(rt, "cancel") == 0 {
				d.sched.Cancel(jobID(rapid.IntRange(0, len(d.jobs)-1).Draw(rt, "cancelled")), d.now)
			}
			d.round()
		}
		require.Zero(rt, d.memory.Used())
	})
}

// heldDriver runs the work of a shard on one large upstream.
type heldDriver struct {
	*scene
	memory *HeldMemory
	t      *rapid.T
	jobs   map[string]*bbrwork.Job
	done   map[bbrwork.Unit]bool
	ended  int64
}

// takeOver replaces the owner by one that reads what is stored.
func (d *heldDriver) takeOver() {
	earlier := d.sched
	for _, j := range earlier.jobs {
		earlier.markChanged(j)
	}
	writes := d.store()
	earlier.Discard()
	d.sched = New(earlier.Shard, earlier.Token+1, testTiming, true, d.now)
	d.sched.SetConfig(earlier.config)
	d.sched.ShareHeldMemory(d.memory)
	up := d.upstream("i-1")
	up.Capacity = bbrwork.Resources{MilliCPU: 1 << 30, MemoryMB: 1 << 30}
	d.sched.RegisterUpstream(up, d.now)
	d.list("i-1")
	for _, write := range writes {
		if write.FinalState == "" {
			d.sched.AddJob(write.Job, 1, write.Progress, d.now)
		}
	}
	// Its numbers of ends begin anew, as each takeover finds another upstream.
	d.ended = 0
}

// round starts what may start, lets it end, and stores the ends.
func (d *heldDriver) round() {
	d.advance(50 * time.Millisecond)
	plan := d.plan()
	d.answerStarts(plan, nil)
	var ends []bbrwork.RunEnd
	for _, order := range plan.Starts {
		unit := order.Start.Unit
		require.False(d.t, d.done[unit], "%s starts again", unit)
		require.False(d.t, d.now.Before(d.jobs[unit.Job].Schedule.Due(unit.Occurrence)), "%s starts early", unit)
		d.done[unit] = true
		d.ended++
		ends = append(ends, bbrwork.RunEnd{Sequence: d.ended, Unit: unit, Run: order.Start.Run, Outcome: bbrwork.OutcomeDone})
	}
	d.requireBounded()
	d.list("i-1", ends...)
	d.store()
}

// requireBounded checks the account, that no more is held than the bound and one occurrence, and that
// what was done before the plan is not held.
func (d *heldDriver) requireBounded() {
	used, least := 0, 0
	for _, j := range d.sched.jobs {
		used += len(j.occurrences) * j.OccurrenceBytes()
		for _, o := range j.occurrences {
			require.True(d.t, o.unitsLeft > 0 || j.numbers.total == 1 || j.finalState != "", "%s holds its done occurrence %d", j.ID, o.number)
		}
		least = max(least, j.OccurrenceBytes())
	}
	require.Equal(d.t, d.memory.Used(), int64(used))
	require.LessOrEqual(d.t, used, int(d.memory.MaxBytes)+least)
}

// finished reports whether every job has ended, and checks that the completed ones are done.
func (d *heldDriver) finished() bool {
	if len(d.sched.jobs) > 0 {
		return false
	}
	for id, in := range d.jobs {
		if state, known := d.sched.State(id); known && state == bbrwork.Completed {
			for number := range in.Occurrences() {
				require.True(d.t, d.done[bbrwork.Unit{Job: id, Occurrence: number, Step: len(in.Steps) - 1}], "%s, occurrence %d", id, number)
			}
		}
	}
	return true
}

// BenchmarkRepeatingJobs reports the time of a planning round and the memory of ten jobs that repeat.
func BenchmarkRepeatingJobs(b *testing.B) {
	for _, count := range []int{10, 1000, 86_400} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
			before := heapBytes()
			sched := New(bbrwork.Shard{Service: "press"}, 7, testTiming, true, now)
			for n := range 10 {
				sched.AddJob(repeatingJob(n, count, now), 0, nil, now)
			}
			heap := heapBytes() - before
			for b.Loop() {
				sched.Plan(true, now)
				sched.Demand(now)
			}
			b.ReportMetric(float64(heap)/10, "heapB/job")
		})
	}
}
