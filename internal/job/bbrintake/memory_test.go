package bbrintake

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestJobsAreBoundedByTheSmallestMemory guards against jobs that no entry can hold. Entries accept jobs of
// drawn sizes while others end, and the sum of the reports is stored late: the bound is exceeded by no
// more than what the busiest entry accepts beyond an equal part until its jobs are counted, and jobs are
// accepted again once others have ended.
func TestJobsAreBoundedByTheSmallestMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const memoryMB = 1
		limit := MaxHeldBytes(memoryMB)
		start := time.Unix(1000, 0)
		now, needed := start, int64(0)
		var counted bbrclaim.HeldBytes
		entries := make([]*MemoryBound, rapid.IntRange(1, 5).Draw(t, "entries"))
		for i := range entries {
			entries[i] = &MemoryBound{Smallest: func() (int, int) { return memoryMB, len(entries) }, Counted: func() bbrclaim.HeldBytes { return counted }}
		}
		var open []int64
		for range rapid.IntRange(1, 300).Draw(t, "jobs") {
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "pause ms")) * time.Millisecond)
			bytes := int64(rapid.IntRange(1000, 100_000).Draw(t, "bytes"))
			busy := entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")]
			if busy.admit(bytes, now) == memorySuffices {
				needed += bytes
				open = append(open, bytes)
			}
			if len(open) > 0 && rapid.IntRange(0, 3).Draw(t, "end") == 0 {
				needed -= open[0]
				open = open[1:]
			}
			if rapid.Bool().Draw(t, "stored") {
				counted = bbrclaim.HeldBytes{Bytes: needed, At: now}
			}
			require.LessOrEqual(t, needed, 2*limit)
			if len(entries) == 1 && counted.At.Equal(now) {
				require.LessOrEqual(t, needed, limit)
			}
		}
		now = now.Add(reportLag + time.Millisecond)
		counted = bbrclaim.HeldBytes{At: now}
		require.Equal(t, memorySuffices, entries[0].admit(limit, now), "all jobs have ended")
		require.Equal(t, memoryTooSmall, entries[0].admit(limit+1, now.Add(time.Minute)))
	})
}

// TestRefusalsForMemory guards against refusals of jobs that are stored already, and against a bound where
// no memory is known.
func TestRefusalsForMemory(t *testing.T) {
	const memoryMB = 8
	job := &bbrwork.Job{ID: "00000000000000a1", Steps: []bbrwork.Step{{Count: 100}}}
	small := &bbrwork.Job{ID: "00000000000000a3", Steps: []bbrwork.Step{{Count: 1}}}
	largest := &bbrwork.Job{ID: "00000000000000a4", Steps: []bbrwork.Step{{Count: 14_000}}}
	huge := &bbrwork.Job{ID: "00000000000000a2", Steps: []bbrwork.Step{{Count: 20_000}}}
	for _, test := range []struct {
		name     string
		job      *bbrwork.Job
		memoryMB int
		counted  int64
		stored   bool
		want     bbrcode.Code
	}{
		{name: "room", job: job, memoryMB: memoryMB},
		{name: "full", job: job, memoryMB: memoryMB, counted: MaxHeldBytes(memoryMB) - 1000, want: bbrcode.MemoryFull},
		{name: "room that a large job leaves to small ones", job: job, memoryMB: memoryMB, counted: MaxHeldBytes(memoryMB) * 9 / 10, want: bbrcode.MemoryFull},
		{name: "the same for a small job", job: small, memoryMB: memoryMB, counted: MaxHeldBytes(memoryMB) * 9 / 10},
		{name: "the largest job alone", job: largest, memoryMB: memoryMB},
		{name: "full, handed in again", job: job, memoryMB: memoryMB, counted: MaxHeldBytes(memoryMB), stored: true},
		{name: "too large", job: huge, memoryMB: memoryMB, want: bbrcode.JobTooLarge},
		{name: "too large, handed in again", job: huge, memoryMB: memoryMB, stored: true},
		{name: "unknown memory", job: huge, counted: 1 << 40},
	} {
		t.Run(test.name, func(t *testing.T) {
			intake := &Intake{
				Memory: &MemoryBound{Smallest: func() (int, int) { return test.memoryMB, 3 }, Counted: func() bbrclaim.HeldBytes { return bbrclaim.HeldBytes{Bytes: test.counted} }},
				Store: &bbrkv.Store{Get: func(_ context.Context, key string) (bbrkv.Item, error) {
					if !test.stored {
						return bbrkv.Item{}, bbrkv.ErrNotFound
					}
					return bbrkv.Item{Key: key, Value: bbrrecord.Encode(bbrrecord.StatusOf(test.job))}, nil
				}},
			}
			code := intake.refuseBeyondMemory(t.Context(), test.job, time.Unix(1000, 0))
			require.Equal(t, test.want, code)
			if code != 0 {
				require.Equal(t, code == bbrcode.MemoryFull, code.Info().RetryAfter > 0, "it says when to come back, or that it does not help")
			}
		})
	}
}
