package bbrupkeep

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/store/bbritem"
)

// memory is a store with the record of the last order.
type memory struct {
	record []byte
}

func (m *memory) store() *bbritem.Store {
	return &bbritem.Store{
		Get: func(_ context.Context, key string) (bbritem.Item, error) {
			if key != lastKey || m.record == nil {
				return bbritem.Item{}, bbritem.ErrNotFound
			}
			return bbritem.Item{Key: key, Value: m.record, Revision: 1}, nil
		},
		Range: func(context.Context, string, string) (bbritem.Page, error) { return bbritem.Page{}, nil },
		Commit: func(_ context.Context, transaction bbritem.Transaction) (bbritem.Revision, error) {
			if len(transaction.Removals) > 0 {
				m.record = nil
			}
			for _, put := range transaction.Puts {
				if put.Key == lastKey {
					m.record = put.Value
				}
			}
			return 1, nil
		},
	}
}

// TestHolderWithoutAnOrderPassesTheEarlierTimeOn holds that a third holder
// waits for the orders of the first, though the second gave none.
func TestHolderWithoutAnOrderPassesTheEarlierTimeOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := time.Now()
		m := &memory{record: bbrrecord.Encode(lastRecord{At: first})}
		k := &Keeper{
			Held:       bbrclaim.Held{Service: bbrclaim.DutyName, Token: 7},
			Store:      m.store(),
			Fleet:      &bbrmachine.Fleet{List: func(context.Context) ([]bbrmachine.Instance, error) { return nil, nil }},
			Metrics:    bbrmetric.New(),
			Confirmed:  func(time.Time) bool { return true },
			Pools:      func() []Pool { return nil },
			Registered: func(string) bool { return false },
			Owned:      func(string) bool { return false },
			Lease:      3 * time.Second,
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		k.Run(ctx, time.Second)
		var record lastRecord
		require.NoError(t, json.Unmarshal(m.record, &record))
		require.WithinDuration(t, first, record.At, 0)
	})
}
