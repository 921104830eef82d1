package bbrsoak

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/standin/bbrfleet"
)

// TestShardWithBacklogIsLoadedOverSlowLink guards against an owner that keeps the claim of
// a shard whose jobs it cannot read within its limits of time.
func TestShardWithBacklogIsLoadedOverSlowLink(t *testing.T) {
	requireNoFaults(t, &Soak{Seed: 20261207, Duration: 8 * time.Second, Backlog: true})
}

// TestLoadMonitorReportsClaimThatIsNotLoaded checks when a claim without a loaded shard is
// reported.
func TestLoadMonitorReportsClaimThatIsNotLoaded(t *testing.T) {
	claim := func(shard string, revision int64) bbrfleet.Item {
		return bbrfleet.Item{Key: bbrclaim.ClaimKey(shard), Value: []byte(`{"entry":"e1"}`), Revision: revision}
	}
	for _, test := range []struct {
		name string
		// claims returns the claims in the store some time after the start.
		claims func(after time.Duration) []bbrfleet.Item
		log    string
		pause  time.Duration
		faults int
	}{
		{name: "never loaded", claims: func(time.Duration) []bbrfleet.Item { return []bbrfleet.Item{claim("press/0", 7)} }, faults: 1},
		{name: "loaded", claims: func(time.Duration) []bbrfleet.Item { return []bbrfleet.Item{claim("press/0", 7)} },
			log: "I1206 owner.go:1] \"Shard loaded\" shard=\"press/0\" token=7 jobs=12 items=30 bytes=900 took=\"74ms\"\n"},
		{name: "an earlier claim was loaded", claims: func(time.Duration) []bbrfleet.Item { return []bbrfleet.Item{claim("press/0", 8)} },
			log: "I1206 owner.go:1] \"Owner started\" shard=\"press/0\" token=7 jobs=12 took=\"74ms\"\n", faults: 1},
		{name: "claimed anew in time", claims: func(after time.Duration) []bbrfleet.Item {
			return []bbrfleet.Item{claim("press/0", 7+int64(after/(takeoverLimit-time.Second)))}
		}},
		{name: "leadership", claims: func(time.Duration) []bbrfleet.Item { return []bbrfleet.Item{claim(bbrclaim.LeadershipName, 7)} }},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &Soak{}
			s.callers = newCallers(s)
			m := newLoadMonitor(s)
			m.loads.started = make(map[claimID]bool)
			m.loads.add(test.log)
			start := time.Now()
			for after := time.Duration(0); after < 2*takeoverLimit; after += checkInterval {
				m.check(test.claims(after), m.loads.started, start.Add(after))
			}
			require.Len(t, s.callers.faults, test.faults)
		})
	}
}

// TestStartMonitorReportsJobsWithoutRuns checks when an accepted job of which nothing runs
// is reported.
func TestStartMonitorReportsJobsWithoutRuns(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(job *submittedJob)
		runs   []string
		done   string
		faults int
	}{
		{name: "nothing runs", faults: 1},
		{name: "not accepted", change: func(job *submittedJob) { job.accepted = false }},
		{name: "cancelled", change: func(job *submittedJob) { job.cancelled = true }},
		{name: "one of two units runs", runs: []string{"job.0.0.1"}},
		{name: "one of two units is done", done: "job.0.0.0"},
		{name: "another job runs", runs: []string{"other.0.0.1"}, faults: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &Soak{UpstreamCount: 4, Out: io.Discard}
			s.callers = newCallers(s)
			job := &submittedJob{id: "job", pool: "press", steps: []step{{Count: 2, MilliCPU: 100}}, duration: time.Second, storedBytes: 30 * linkBytesPerSecond / 40, accepted: true}
			if s.callers.jobs["job"] = job; test.change != nil {
				test.change(job)
			}
			start := time.Now()
			m := newStartMonitor(s, start)
			if job.accepted {
				// A second for the bytes, and 0.2 core seconds on the two upstreams of a pool.
				require.Equal(t, time.Second+25*time.Millisecond, m.carried)
			}
			limit := m.limit()
			check := func(after time.Duration) {
				m.check([]bbrfleet.Upstream{{Pool: "press", Tasks: test.runs}}, func(task string) bool { return task == test.done }, start.Add(after))
			}
			for after := time.Duration(0); after <= limit; after += checkInterval {
				check(after)
			}
			require.Empty(t, s.callers.faults)
			check(limit + checkInterval)
			require.Len(t, s.callers.faults, test.faults)
		})
	}
}
