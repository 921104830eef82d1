package bbrowner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestStoredSequence checks that a record that lacks a horizon or run numbers, as earlier
// versions store it, or that cannot be decoded, promises nothing: it must neither stop the
// owner nor let it start work that may be running already.
func TestStoredSequence(t *testing.T) {
	tests := map[string]struct {
		value string
		want  bbrrecord.Sequence
	}{
		"none":                {},
		"malformed":           {value: "{"},
		"malformed in part":   {value: `{"horizon":44,"ordersStored":"yes"}`},
		"without both":        {value: `{"token":3,"number":9}`, want: bbrrecord.Sequence{Token: 3, Number: 9}},
		"without run numbers": {value: `{"horizon":44}`, want: bbrrecord.Sequence{Horizon: 44}},
		"with both":           {value: `{"horizon":44,"ordersStored":true}`, want: bbrrecord.Sequence{Horizon: 44, OrdersStored: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, storedSequence(bbrkv.Item{Value: []byte(test.value)}))
		})
	}
	stored := bbrrecord.Sequence{Horizon: 44, OrdersStored: true}
	require.Equal(t, stored, storedSequence(bbrkv.Item{Value: bbrrecord.Encode(stored)}))
}
