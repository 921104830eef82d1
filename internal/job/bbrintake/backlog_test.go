package bbrintake

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

var pressShard = bbrwork.Shard{Service: "press"}

// linkOf returns the fleet's link for a bound of backlogs, in bytes.
func linkOf(limit, entries int) func() (int, int) {
	return func() (int, int) { return int(float64(limit) / transferShare / maxTransferTime.Seconds()), entries }
}

// TestBacklogIsBoundedByTheSmallestLink guards against shards that the smallest entry can't
// take over in time, as their jobs take too long to read.
func TestBacklogIsBoundedByTheSmallestLink(t *testing.T) {
	const mbps = 1_000_000 / 8
	for link, want := range map[int]int{0: 0, 2 * mbps: 1_250_000, 10 * mbps: 6_250_000} {
		require.Equal(t, want, maxBacklogBytes(link))
	}
	rapid.Check(t, func(t *rapid.T) {
		const limit = 100_000
		now := time.Unix(1000, 0)
		entries := make([]*Backlogs, rapid.IntRange(1, 12).Draw(t, "entries"))
		for i := range entries {
			entries[i] = &Backlogs{SmallestLink: linkOf(limit, len(entries))}
		}
		stored, reported, revision := 0, 1, bbrkv.Revision(1)
		for range rapid.IntRange(0, 400).Draw(t, "jobs") {
			now = now.Add(time.Millisecond)
			b := entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")]
			size := rapid.IntRange(500, 6000).Draw(t, "size")
			answered := rapid.Bool().Draw(t, "owner answers")
			if b.admit(pressShard, size) {
				stored += size
			}
			if answered {
				b.Record(pressShard, max(1, stored), false, now)
			}
			if rapid.Bool().Draw(t, "report") {
				reported, revision = max(1, stored), revision+1
			}
			b.recordReport(pressShard, reported, revision, now)
			require.LessOrEqual(t, stored, 2*limit)
			if stored+size*len(entries) <= limit && answered {
				require.True(t, b.admit(pressShard, size), "there is room")
				stored += size
			}
		}
	})
}

// TestUnknownBacklogIsNotBounded guards against refusals where nothing tells the size of the
// backlog: the links are unknown, or the owner is of an earlier build.
func TestUnknownBacklogIsNotBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	unknownLink := &Backlogs{SmallestLink: func() (int, int) { return 0, 3 }}
	earlierBuild := &Backlogs{SmallestLink: linkOf(10_000, 3)}
	for range 100 {
		require.True(t, unknownLink.admit(pressShard, 5000))
		require.True(t, earlierBuild.admit(pressShard, 3000))
		now = now.Add(time.Millisecond)
		earlierBuild.Record(pressShard, 0, false, now)
	}
}

// TestBacklogIsBoundedWhileItIsLoaded guards against a shard that grows without bound while a
// successor loads it: the answers of a loading owner, which does not know the size, were taken
// for those of an earlier build, and discarded what the entry had accepted.
func TestBacklogIsBoundedWhileItIsLoaded(t *testing.T) {
	const limit = 100_000
	now := time.Unix(1000, 0)
	b := &Backlogs{SmallestLink: linkOf(limit, 2)}
	b.Record(pressShard, 60_000, false, now)
	accepted := 0
	for range 100 {
		now = now.Add(time.Millisecond)
		if b.admit(pressShard, 3000) {
			accepted += 3000
		}
		b.Record(pressShard, 0, true, now)
	}
	require.Positive(t, accepted)
	require.LessOrEqual(t, accepted, (limit-60_000)/2)
}

// TestRefusalOfAJobBeyondTheBacklog guards against a job that is stored although its shard is
// full, against a refusal on outdated information, and against the refusal of a job that an
// earlier submission stored: a refusal means that the job never runs.
func TestRefusalOfAJobBeyondTheBacklog(t *testing.T) {
	const limit = 100_000
	tests := []struct {
		name            string
		known, reported int
		stored          bool
		status          int
	}{
		{name: "room", known: 1, status: http.StatusOK},
		{name: "full", known: limit, reported: limit, status: http.StatusTooManyRequests},
		{name: "full, report missing", known: limit, status: http.StatusTooManyRequests},
		{name: "room according to the report", known: limit, reported: 1, status: http.StatusOK},
		{name: "full, stored already", known: limit, reported: limit, stored: true, status: http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h, memory := newKeyHandler(t)
			path := proofsPath + pressJob
			if test.stored {
				require.Equal(t, http.StatusOK, call(h, http.MethodPost, path, pressKey, strings.NewReader("{}")).Code)
			}
			if test.reported > 0 {
				_, err := h.Intake.Store.Commit(t.Context(), bbrkv.Transaction{Puts: []bbrkv.Put{{
					Key: bbrrecord.ReportKey(pressShard), Value: bbrrecord.Encode(bbrrecord.Report{BacklogBytes: test.reported}),
				}}})
				require.NoError(t, err)
			}
			h.Intake.Backlogs = &Backlogs{SmallestLink: linkOf(limit, 4)}
			h.Intake.Backlogs.Record(pressShard, test.known, false, time.Now())
			answer := call(h, http.MethodPost, path, pressKey, strings.NewReader("{}"))
			require.Equal(t, test.status, answer.Code)
			if test.status == http.StatusTooManyRequests {
				require.Equal(t, "5", answer.Header().Get("Retry-After"))
				require.Contains(t, answer.Body.String(), bbrcode.BacklogFull.String())
				require.NotContains(t, memory.items, bbrrecord.StatusKey(pressJob))
			}
		})
	}
}
