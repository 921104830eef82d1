package bbrmaintenance

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// divide gives racks that are new a cell. An owner may use their instances only
// once that is stored.
func (k *Controller) divide(ctx context.Context, instances []bbrmachine.Instance) error {
	if len(instances) == 0 {
		return nil
	}
	stored, err := k.storedCells(ctx)
	if err != nil {
		return err
	}
	cells := stored.Divide(instances, bbrcell.TargetSize(k.EntryMilliCPU(len(k.Pools()))))
	if cells != stored {
		_, err = k.Store.Commit(ctx, bbrkv.Transaction{
			Conditions: []bbrkv.Condition{k.Held.Condition()},
			Puts:       []bbrkv.Put{{Key: bbrclaim.CellsKey, Value: bbrrecord.Encode(cells)}},
		})
		if err != nil {
			return err
		}
	}
	k.divided = cells
	k.mu.Lock()
	defer k.mu.Unlock()
	k.planner.SetCells(cells)
	return nil
}

// storedCells returns the division that the store has. Only the holder of the
// duty changes it, so it is read once.
func (k *Controller) storedCells(ctx context.Context) (*bbrcell.Cells, error) {
	if k.divided != nil {
		return k.divided, nil
	}
	item, err := k.Store.Get(ctx, bbrclaim.CellsKey)
	if errors.Is(err, bbrkv.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return bbrcell.Parse(item.Value)
}
