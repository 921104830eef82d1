package bbrowner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestHorizonOfWhatIsStored holds that a record that tells no horizon, or cannot
// be read, neither stops an owner nor lets it start too much.
func TestHorizonOfWhatIsStored(t *testing.T) {
	require.Zero(t, horizonOf(bbrkv.Item{}))
	require.Zero(t, horizonOf(bbrkv.Item{Value: []byte("{")}))
	require.Zero(t, horizonOf(bbrkv.Item{Value: []byte(`{"token":3,"number":9}`)}))
	require.Equal(t, bbrkv.Revision(44), horizonOf(bbrkv.Item{Value: bbrrecord.Encode(bbrrecord.Sequence{Horizon: 44})}))
}
