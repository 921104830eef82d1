package bbrintake

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestWaitingIsCountedWithoutOwner guards against a count of 0 while jobs wait in a shard
// whose owner has ended: its last report says nothing of the jobs stored since.
func TestWaitingIsCountedWithoutOwner(t *testing.T) {
	shard := bbrwork.Shard{Service: "press"}
	const reported, token = 20, 10
	stored := []bbrkv.Item{
		{Key: bbrrecord.ReportKey(shard), Revision: reported, Value: bbrrecord.Encode(bbrrecord.Report{Waiting: map[string]int{"q": 5}})},
		{Key: bbrrecord.JobKey(shard, "a"), Value: bbrrecord.Encode(&bbrwork.Job{Queue: "q"})},
		{Key: bbrrecord.JobKey(shard, "b"), Value: bbrrecord.Encode(&bbrwork.Job{Queue: "q"})},
		{Key: bbrrecord.JobKey(shard, "c"), Value: bbrrecord.Encode(&bbrwork.Job{Queue: "other"})},
		{Key: bbrrecord.ProgressKey(shard, "b")},
		{Key: bbrrecord.JobKey(shard, "d"), Value: bbrrecord.Encode(&bbrwork.Job{Queue: "ordered"})},
		{Key: bbrrecord.ProgressKey(shard, "d"), Value: []byte(`{"occurrences":{"0":[{"last":{"0":2},"ordered":{"0":2}}]}}`)},
		{Key: bbrrecord.JobKey(shard, "e"), Value: bbrrecord.Encode(&bbrwork.Job{Queue: "ordered"})},
		{Key: bbrrecord.ProgressKey(shard, "e"), Value: []byte(`{"begun":true,"occurrences":{}}`)},
		{Key: bbrrecord.JobKey(shard, "f"), Value: bbrrecord.Encode(&bbrwork.Job{Queue: "ordered"})},
		{Key: bbrrecord.ProgressKey(shard, "f"), Value: []byte(`{"occurrences":{"0":[{"done":"AQ=="}]}}`)},
	}
	tests := []struct {
		name  string
		token bbrkv.Revision
		owned bool
		want  int
	}{
		{name: "the owner has reported", token: token, owned: true, want: 5},
		{name: "the owner has not reported yet", token: reported + 1, owned: true, want: 1},
		{name: "no owner", want: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			intake := &Intake{
				Cells: func() *bbrcell.Cells { return nil },
				Store: &bbrkv.Store{Range: func(_ context.Context, prefix, _ string) (bbrkv.Page, error) {
					var page bbrkv.Page
					for _, item := range stored {
						if strings.HasPrefix(item.Key, prefix) {
							page.Items = append(page.Items, item)
						}
					}
					return page, nil
				}},
				OwnerToken: func(bbrwork.Shard) (bbrkv.Revision, bool) { return test.token, test.owned },
			}
			waiting, code := intake.Waiting(t.Context(), &bbrwork.Queue{Name: "q", Service: "press"})
			require.Equal(t, bbrcode.StateReported, code)
			require.Equal(t, test.want, waiting)
			if !test.owned {
				// Of the jobs with progress, one was only ordered to start.
				waiting, code = intake.Waiting(t.Context(), &bbrwork.Queue{Name: "ordered", Service: "press"})
				require.Equal(t, bbrcode.StateReported, code)
				require.Equal(t, 1, waiting)
			}
		})
	}
}
