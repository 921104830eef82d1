package bbradmin

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrquota"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrapi"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestShowOrganisations checks that operators see the caps and what of them is shared
// out, and no key.
func TestShowOrganisations(t *testing.T) {
	config, err := bbrwork.NewConfig(1, nil, nil, bbrwork.Limits{}).WithOrganisations([]*bbrwork.Organisation{
		{Name: "press", Weight: 12, Cap: bbrwork.Resources{MilliCPU: 8000}, Keys: []bbrwork.KeyDigest{bbrwork.DigestKey("secret-1")}},
	})
	require.NoError(t, err)
	record := bbrquota.Record{}.With("a/0", bbrwork.Resources{MilliCPU: 1000}, bbrquota.NoWait).With("b/0", bbrwork.Resources{MilliCPU: 500}, bbrquota.WaitShort)
	x := &Executor{
		Metrics: bbrmetric.New(),
		Config:  func() *bbrwork.Config { return config },
		Store: &bbrkv.Store{Range: func(context.Context, string, string) (bbrkv.Page, error) {
			return bbrkv.Page{Items: []bbrkv.Item{{Key: bbrrecord.SharesKey("press"), Value: bbrrecord.Encode(record)}}}, nil
		}},
	}
	result := x.Execute(t.Context(), bbrapi.Request{Line: "show organisations"})
	require.Equal(t, [][]string{{"press", "12", "1", "8000", "none", "none", "1500", "0", "b/0"}}, result.Rows)
	require.NotContains(t, result.Text, "secret-1")
}
