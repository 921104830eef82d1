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

// assignCells assigns a cell to each new rack and stores the division. Owners use the
// instances of a rack only after its cell is stored.
func (controller *Controller) assignCells(ctx context.Context, instances []bbrmachine.Instance) error {
	if len(instances) == 0 {
		return nil
	}
	stored, err := controller.loadCells(ctx)
	if err != nil {
		return err
	}
	cells := stored.Divide(instances, bbrcell.TargetSize(controller.EntryMilliCPU(len(controller.Pools()))))
	if cells != stored {
		if err := controller.storeCells(ctx, cells); err != nil {
			return err
		}
	}
	controller.cells, controller.cellsKnown = cells, true
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.planner.SetCells(cells)
	return nil
}

// storeCells stores a division that extends the stored one. After an error, the division may
// have been stored, so that it has to be read again before it is extended.
func (controller *Controller) storeCells(ctx context.Context, cells *bbrcell.Cells) error {
	controller.cellsKnown = false
	revision, err := controller.Store.Commit(ctx, bbrkv.Transaction{
		Conditions: []bbrkv.Condition{controller.Held.Condition(), {Key: bbrclaim.CellsKey, Revision: controller.cellsRevision}},
		Puts:       []bbrkv.Put{{Key: bbrclaim.CellsKey, Value: bbrrecord.Encode(cells)}},
	})
	if err != nil {
		return err
	}
	controller.cellsRevision = revision
	return nil
}

// loadCells returns the stored division into cells, or nil if there is none. Only the
// fleet leader changes it, so it is read once, and after a write that failed.
func (controller *Controller) loadCells(ctx context.Context) (*bbrcell.Cells, error) {
	if controller.cellsKnown {
		return controller.cells, nil
	}
	item, err := controller.Store.Get(ctx, bbrclaim.CellsKey)
	if err != nil && !errors.Is(err, bbrkv.ErrNotFound) {
		return nil, err
	}
	controller.cellsRevision = item.Revision
	return bbrcell.Parse(item.Value)
}
