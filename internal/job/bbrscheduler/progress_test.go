package bbrscheduler

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// scheduledJob is a job with three steps whose occurrences are due once a minute, the
// first one at first.
func scheduledJob(count int, first time.Time) *bbrwork.Job {
	return &bbrwork.Job{
		ID: testJob, Queue: "proofs", Service: "press", Accepted: first,
		Steps:    []bbrwork.Step{unitStep(1), unitStep(1), unitStep(1)},
		Schedule: bbrwork.Schedule{Count: count, First: first, Every: time.Minute},
	}
}

// restored returns the job as a successor has it that reads the progress.
func restored(t require.TestingT, in *bbrwork.Job, progress []byte, now time.Time) *job {
	sched := New(bbrwork.Shard{Service: "press"}, 9, testTiming, false, now)
	sched.AddJob(in, 0, progress, now)
	require.Contains(t, sched.jobs, in.ID)
	return sched.jobs[in.ID]
}

// holdAll holds all occurrences of the job.
func holdAll(j *job) {
	for number := range j.numbers.total {
		j.occurrence(number)
	}
}

// TestProgressOfScheduledJobFitsTheStore guards against the progress of a job that
// repeats often: after a takeover it exceeded what the store takes, and its queue stood
// still.
func TestProgressOfScheduledJobFitsTheStore(t *testing.T) {
	const occurrences = 20160
	s := newScene(t, false)
	in := scheduledJob(occurrences, s.now)
	var progress []byte
	for owner := range 3 {
		s.sched = New(bbrwork.Shard{Service: "press"}, int64(owner), testTiming, false, s.now)
		s.sched.AddJob(in, 0, progress, s.now)
		loadAll(s.sched, nil, 0, s.now)
		s.sched.markChanged(s.sched.jobs[testJob])
		progress = s.store()[0].Progress
		require.Less(t, len(progress), 1000, "work that is not due has no progress")
	}
	j := s.sched.jobs[testJob]
	for n := range occurrences - 1 {
		for _, step := range j.occurrence(n).steps {
			step.units[0].markDone()
		}
		j.release(s.sched.dropAdviceOf)
		if n%2000 != 0 && n < occurrences-3 {
			continue
		}
		s.sched.markChanged(j)
		progress = s.store()[0].Progress
		require.Less(t, len(progress), defaultMaxValueBytes)
	}
	again := restored(t, in, progress, s.now)
	require.False(t, again.completed())
	require.Equal(t, occurrences-1, again.numbers.done.count)
	require.Equal(t, 3, again.occurrence(occurrences-1).unitsLeft)
	require.Nil(t, again.occurrence(occurrences-2), "it is done")
}

// TestProgressNeverExceedsTheLargestValue draws progress: it fits the store's largest
// value, and a successor restores which work is done, and no lower run numbers.
func TestProgressNeverExceedsTheLargestValue(t *testing.T) {
	const maxBytes = 4 << 10
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	rapid.Check(t, func(t *rapid.T) {
		in := scheduledJob(rapid.IntRange(1, 60).Draw(t, "occurrences"), now)
		in.Steps[0].Count = rapid.IntRange(1, 20).Draw(t, "units")
		j := restored(t, in, nil, now)
		holdAll(j)
		checkpoint := strings.Repeat("c", rapid.IntRange(1, 60).Draw(t, "checkpoint"))
		j.eachUnit(func(n int, u *unit) {
			switch rapid.IntRange(0, 5).Draw(t, fmt.Sprint("unit ", n)) {
			case 0, 1:
			case 2, 3:
				u.lastRun = 17
				u.markDone()
			case 4:
				u.lastRun, u.failedRuns = 34, []int{17, 33}
			default:
				u.lastRun, u.checkpoint = 18, checkpoint
			}
		})
		data, dropped := j.progress(maxBytes)
		require.LessOrEqual(t, len(data), maxBytes)
		again := restored(t, in, data, now)
		j.eachUnit(func(_ int, u *unit) {
			other := again.findUnit(u.name())
			// An occurrence that is done is not held again.
			require.Equal(t, u.done, other == nil || other.done)
			if !u.done {
				require.GreaterOrEqual(t, other.lastRun, u.lastRun)
			}
			if dropped == 0 && !u.done {
				require.Equal(t, u.failedRuns, other.failedRuns)
				require.Equal(t, u.checkpoint, other.checkpoint)
			}
		})
	})
}

// TestDamagedProgressIsIgnored guards against an owner that ends on a stored occurrence
// that does not exist, and its successors after it.
func TestDamagedProgressIsIgnored(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for _, progress := range []string{`{"occurrences":{"-1":[{},{},{}],"7":[{},{},{}],"0":[{}]}}`, `{"compact":{"done":"","failed":{"-3":[1],"99":[2]}}}`, `[`} {
		require.False(t, restored(t, scheduledJob(2, now), []byte(progress), now).completed())
	}
}

// TestCrashRecordFitsTheStore checks that the suspects with the most crashes are kept
// where the record of all would exceed the largest value.
func TestCrashRecordFitsTheStore(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	j := restored(t, scheduledJob(100, now), nil, now)
	holdAll(j)
	j.eachUnit(func(n int, u *unit) {
		u.crashes = append(u.crashes, (&run{unit: u, up: &upstream{}, orderedAt: now}).crash(nil, now))
		if n == 250 {
			u.crashes = append(u.crashes, u.crashes[0])
		}
	})
	const maxBytes = 8 << 10
	data := j.crashRecord(maxBytes)
	require.LessOrEqual(t, len(data), maxBytes)
	var record struct{ Suspects []json.RawMessage }
	require.NoError(t, json.Unmarshal(data, &record))
	require.Contains(t, string(record.Suspects[0]), `83`, "work unit 250 is in occurrence 83")
}
