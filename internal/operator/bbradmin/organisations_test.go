package bbradmin

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrquota"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrapi"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestShowOrganisations checks that operators see the caps, what of them is shared out and
// where an organisation is beyond its share of the capacity, and no key.
func TestShowOrganisations(t *testing.T) {
	config, err := bbrwork.NewConfig(1, nil, nil, bbrwork.Limits{}).WithOrganisations([]*bbrwork.Organisation{
		{Name: "press", Weight: 12, Cap: bbrwork.Resources{MilliCPU: 8000}, Keys: []bbrwork.KeyDigest{bbrwork.DigestKey("secret-1")}},
	})
	require.NoError(t, err)
	record := bbrquota.Record{}.With("a/0", bbrwork.Resources{MilliCPU: 1000}, bbrquota.NoWait).With("b/0", bbrwork.Resources{MilliCPU: 500}, bbrquota.WaitShort)
	x := &Executor{
		Metrics: bbrmetric.New(),
		Config:  func() *bbrwork.Config { return config },
		Store: &bbrkv.Store{Range: func(_ context.Context, prefix, _ string) (bbrkv.Page, error) {
			if prefix == bbrrecord.ReportPrefix {
				report := bbrrecord.Report{Beyond: []bbrscheduler.OrganisationShare{{Organisation: "press", Used: 0.5, Fair: 0.25, Wanted: 3}}}
				return bbrkv.Page{Items: []bbrkv.Item{{Key: bbrrecord.ReportKey(bbrwork.Shard{Service: "b"}), Value: bbrrecord.Encode(report)}}}, nil
			}
			return bbrkv.Page{Items: []bbrkv.Item{{Key: bbrrecord.SharesKey("press"), Value: bbrrecord.Encode(record)}}}, nil
		}},
	}
	result := x.Execute(t.Context(), bbrapi.Request{Line: "show organisations"})
	require.Equal(t, [][]string{{"press", "12", "1", "8000", "none", "none", "1500", "0", "b/0", "b/0(used=0.5,fair=0.25,wanted=3)"}}, result.Rows)
	require.NotContains(t, result.Text, "secret-1")
}
