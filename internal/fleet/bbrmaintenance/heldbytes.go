package bbrmaintenance

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// heldBytesStep is the change of the memory that the jobs need, in bytes, from which it is stored.
const heldBytesStep = 1 << 20

// heldBytes is the memory that the jobs of all shards need.
type heldBytes struct {
	// total is by the last reports, the oldest of which was received at oldest.
	total  int64
	oldest time.Time
	// stored is what the store has; known is false while that may be something else.
	stored bbrclaim.HeldBytes
	known  bool
}

// storeHeldBytes stores the memory that the jobs need for the entries, which accept jobs by it, if
// it has changed enough.
func (controller *Controller) storeHeldBytes(ctx context.Context, now time.Time) error {
	held := &controller.held
	if controller.reportsReadAt.IsZero() {
		return nil
	}
	if !held.known {
		item, err := controller.Store.Get(ctx, bbrclaim.HeldBytesKey)
		if err != nil && !errors.Is(err, bbrkv.ErrNotFound) {
			return err
		}
		if held.stored, err = bbrclaim.ParseHeldBytes(item); err != nil {
			klog.ErrorS(err, "Failed to decode the memory that the jobs need", "revision", item.Revision)
		}
		held.known = true
	}
	if change := held.total - held.stored.Bytes; change < heldBytesStep && -change < heldBytesStep {
		return nil
	}
	// After an error, the record may have been stored.
	held.known = false
	next := bbrclaim.HeldBytes{Bytes: held.total, Age: now.Sub(held.oldest)}
	revision, err := controller.Store.Commit(ctx, bbrkv.Transaction{
		Conditions: []bbrkv.Condition{controller.Held.Condition(), {Key: bbrclaim.HeldBytesKey, Revision: held.stored.Revision}},
		Puts:       []bbrkv.Put{{Key: bbrclaim.HeldBytesKey, Value: bbrrecord.Encode(next)}},
	})
	if err != nil {
		return err
	}
	next.Revision = revision
	held.stored, held.known = next, true
	return nil
}
