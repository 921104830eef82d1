package bbrintake

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrfairshare"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestWaitsAreUsedBriefly guards against a refusal by what is no longer known: after a
// second, after a change of the owner, after an answer without waits (from an earlier build,
// or while the capacity suffices) and for other organisations a job is accepted.
func TestWaitsAreUsedBriefly(t *testing.T) {
	shard, now := bbrwork.Shard{Service: "press"}, time.Unix(1000, 0)
	wait := bbrfairshare.Wait{Organisation: "press", Queue: "proofs", Expected: time.Minute}
	tests := []struct {
		name         string
		organisation string
		queue        string
		owner        bbrkv.Revision
		after        time.Duration
		arrange      func(c *WaitCache)
		known        bool
	}{
		{name: "known", known: true},
		{name: "known for a second", after: waitTTL, known: true},
		{name: "stale", after: waitTTL + time.Millisecond},
		{name: "another owner", owner: 8},
		{name: "another organisation", organisation: "archive"},
		{name: "another queue", queue: "plates"},
		{name: "answer without waits", arrange: func(c *WaitCache) { c.Record(shard, 7, nil, now) }},
		{name: "late answer without waits", arrange: func(c *WaitCache) { c.Record(shard, 7, nil, now.Add(-time.Millisecond)) }, known: true},
		{name: "older answer after one without waits", arrange: func(c *WaitCache) {
			c.Record(shard, 7, nil, now.Add(2*time.Millisecond))
			c.Record(shard, 7, []bbrfairshare.Wait{wait}, now.Add(time.Millisecond))
		}},
		{name: "late answer of an earlier owner", arrange: func(c *WaitCache) { c.Record(shard, 6, nil, now) }, known: true},
		{name: "answer of another shard's owner", arrange: func(c *WaitCache) { c.Record(bbrwork.Shard{Service: "press", Cell: 1}, 7, nil, now) }, known: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var c WaitCache
			c.Record(shard, 7, []bbrfairshare.Wait{wait}, now)
			if test.arrange != nil {
				test.arrange(&c)
			}
			organisation, queue, owner := wait.Organisation, wait.Queue, bbrkv.Revision(7)
			if test.organisation != "" {
				organisation = test.organisation
			}
			if test.queue != "" {
				queue = test.queue
			}
			if test.owner != 0 {
				owner = test.owner
			}
			_, known := c.Get(shard, owner, organisation, queue, now.Add(test.after))
			require.Equal(t, test.known, known)
		})
	}
}

// TestRefusalOfAJobBeyondItsShare guards against a refused job that is stored, against a
// refusal without a time for a retry from the backlog, and against the refusal of a job
// that an earlier submission stored: a refusal means that the job never runs.
func TestRefusalOfAJobBeyondItsShare(t *testing.T) {
	tests := []struct {
		name       string
		path, key  string
		off        bool
		stored     bool
		unreadable bool
		status     int
		retryAfter string
	}{
		{name: "refused", path: proofsPath + pressJob, key: pressKey, status: http.StatusTooManyRequests, retryAfter: "5"},
		{name: "another organisation's", path: proofsPath + pressJob, key: archiveKey, status: http.StatusOK},
		{name: "no organisation's", path: publicPath + publicJob, status: http.StatusOK},
		{name: "stored already", path: proofsPath + pressJob, key: pressKey, stored: true, status: http.StatusOK},
		{name: "status unreadable", path: proofsPath + pressJob, key: pressKey, unreadable: true, status: http.StatusOK},
		{name: "shares off", path: proofsPath + pressJob, key: pressKey, off: true, status: http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h, memory := newKeyHandler(t)
			if test.stored {
				require.Equal(t, http.StatusOK, call(h, http.MethodPost, test.path, test.key, strings.NewReader("{}")).Code)
			}
			if test.unreadable {
				store := *h.Intake.Store
				store.Get = func(context.Context, string) (bbrkv.Item, error) { return bbrkv.Item{}, bbrkv.ErrRefused }
				h.Intake.Store = &store
			}
			if !test.off {
				h.Intake.ExpectedWait = func(shard bbrwork.Shard, organisation, queue string, _ time.Time) (bbrfairshare.Wait, bool) {
					return bbrfairshare.Wait{Expected: 4100 * time.Millisecond, Beyond: true}, shard.Service == "press" && organisation == "press" && queue == "proofs"
				}
			}
			answer := call(h, http.MethodPost, test.path, test.key, strings.NewReader("{}"))
			require.Equal(t, test.status, answer.Code)
			require.Equal(t, test.retryAfter, answer.Header().Get("Retry-After"))
			if test.status == http.StatusTooManyRequests {
				require.Contains(t, answer.Body.String(), bbrcode.BeyondShare.String())
				require.NotContains(t, memory.items, bbrrecord.StatusKey(pressJob))
			}
		})
	}
}
