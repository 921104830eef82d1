package bbrintake

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestWaitingJobsOfAReroutedQueueAreCounted guards against a count that leaves out the jobs that wait
// at the service to which their queue was routed when they were accepted.
func TestWaitingJobsOfAReroutedQueueAreCounted(t *testing.T) {
	report := func(service string, waiting int) bbrkv.Item {
		key := bbrrecord.ReportKey(bbrwork.Shard{Service: service})
		return bbrkv.Item{Key: key, Revision: 20, Value: bbrrecord.Encode(bbrrecord.Report{Waiting: map[string]int{"q": waiting}})}
	}
	stored := []bbrkv.Item{report("press", 36), report("board", 4), report("plates", 2)}
	reads := 0
	recorded := map[string][]string{}
	intake := &Intake{
		Cells: func() *bbrcell.Cells { return nil },
		Store: &bbrkv.Store{Range: func(_ context.Context, prefix, _ string) (bbrkv.Page, error) {
			reads++
			var page bbrkv.Page
			for _, item := range stored {
				if strings.HasPrefix(item.Key, prefix) {
					page.Items = append(page.Items, item)
				}
			}
			return page, nil
		}},
		ReroutedServices: func(queue string) []string { return recorded[queue] },
	}
	route := func(version int64, service string) *bbrwork.Queue {
		queue := &bbrwork.Queue{Name: "q", Service: service}
		intake.FormerServices.Apply(bbrwork.NewConfig(version, []*bbrwork.Queue{queue}, nil, bbrwork.Limits{}), time.Now())
		return queue
	}
	requireWaiting := func(queue *bbrwork.Queue, waiting, wantReads int) {
		reads = 0
		count, code := intake.Waiting(t.Context(), queue)
		require.Equal(t, bbrcode.StateReported, code)
		require.Equal(t, waiting, count)
		require.Equal(t, wantReads, reads)
	}
	requireWaiting(route(1, "press"), 36, 1)
	requireWaiting(route(2, "board"), 40, 2)
	intake.FormerServices.Apply(bbrwork.NewConfig(3, nil, nil, bbrwork.Limits{}), time.Now())
	requireWaiting(route(4, "plates"), 42, 3)
	requireWaiting(route(5, "press"), 42, 3)

	// Another entry does not know the earlier configurations, but what owners have stored.
	intake.FormerServices = FormerServices{}
	recorded["q"] = []string{"press", "board"}
	requireWaiting(route(5, "plates"), 42, 3)
	recorded["q"] = nil
	requireWaiting(route(5, "plates"), 2, 1)
}

// TestFormerServicesAreForgotten guards against queries that read the reports of every service that a
// queue ever had.
func TestFormerServicesAreForgotten(t *testing.T) {
	var former FormerServices
	now := time.Now()
	for version, service := range []string{"press", "board", "press", "plates"} {
		former.Apply(bbrwork.NewConfig(int64(version), []*bbrwork.Queue{{Name: "q", Service: service}}, nil, bbrwork.Limits{}), now)
		now = now.Add(formerServiceRetention / 2)
	}
	require.ElementsMatch(t, []string{"press", "board"}, former.Of("q", now.Add(-time.Millisecond)))
	require.Equal(t, []string{"press"}, former.Of("q", now.Add(time.Millisecond)))
	require.Empty(t, former.Of("q", now.Add(formerServiceRetention)))
	require.Empty(t, former.until)
}
