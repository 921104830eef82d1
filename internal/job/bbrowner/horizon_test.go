package bbrowner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestStoredHorizon checks that a record that has no horizon, or cannot be decoded,
// counts as horizon 0: it must neither stop the owner nor let it start jobs that may
// be running already.
func TestStoredHorizon(t *testing.T) {
	require.Zero(t, storedHorizon(bbrkv.Item{}))
	require.Zero(t, storedHorizon(bbrkv.Item{Value: []byte("{")}))
	require.Zero(t, storedHorizon(bbrkv.Item{Value: []byte(`{"token":3,"number":9}`)}))
	require.Equal(t, bbrkv.Revision(44), storedHorizon(bbrkv.Item{Value: bbrrecord.Encode(bbrrecord.Sequence{Horizon: 44})}))
}
