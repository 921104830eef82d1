package bbrmaintenance

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// loadReserved reads the reservations of earlier leaders.
func (controller *Controller) loadReserved(ctx context.Context) error {
	item, err := controller.Store.Get(ctx, bbrclaim.ReservedKey)
	if err != nil && !errors.Is(err, bbrkv.ErrNotFound) {
		return err
	}
	reserved, err := bbrclaim.ParseReserved(item)
	controller.reservedKnown = err == nil
	if err != nil {
		klog.ErrorS(err, "Reservations of earlier fleet leaders cannot be decoded", "revision", item.Revision)
	}
	controller.inheritedReserved = slices.Sorted(maps.Keys(reserved))
	controller.setReserved(slices.Clone(controller.inheritedReserved), item.Revision)
	return nil
}

// reservationsTransaction returns a transaction that stores the reservations. It depends on
// the one before, so that a transaction without an answer is not applied after a later one.
func (controller *Controller) reservationsTransaction(reserved []string) bbrkv.Transaction {
	return bbrkv.Transaction{
		Conditions: []bbrkv.Condition{controller.Held.Condition(), {Key: bbrclaim.ReservedKey, Revision: controller.reservedRevision}},
		Puts:       []bbrkv.Put{{Key: bbrclaim.ReservedKey, Value: bbrrecord.Encode(reserved)}},
	}
}

// commitReservations commits a transaction that stores the reservations. After an error, it
// may have been applied.
func (controller *Controller) commitReservations(ctx context.Context, transaction bbrkv.Transaction, reserved []string) error {
	controller.reservedKnown = false
	controller.reserved = slices.DeleteFunc(controller.reserved, func(upstream string) bool { return !slices.Contains(reserved, upstream) })
	// A drained report is valid for the present reservation of its upstream only.
	maps.DeleteFunc(controller.drained, func(upstream string, _ bool) bool { return !slices.Contains(controller.reserved, upstream) })
	revision, err := controller.Store.Commit(ctx, transaction)
	var conflict *bbrkv.Conflict
	if errors.As(err, &conflict) {
		controller.reservedRevision = conflict.Items[bbrclaim.ReservedKey].Revision
	}
	if err != nil {
		return err
	}
	controller.reservedKnown = true
	controller.setReserved(reserved, revision)
	return nil
}

// setReserved records the reservations that the store has as of the revision.
func (controller *Controller) setReserved(reserved []string, revision bbrkv.Revision) {
	since := make(map[string]bbrkv.Revision, len(reserved))
	for _, upstream := range reserved {
		since[upstream] = revision
		if slices.Contains(controller.reserved, upstream) {
			since[upstream] = controller.reservedSince[upstream]
		}
	}
	controller.reserved, controller.reservedRevision, controller.reservedSince = reserved, revision, since
}

// wantedReservations returns the upstreams that must not take new work, sorted. Those that
// earlier leaders reserved are among them as long as orders of these leaders may arrive. The
// caller holds the lock.
func (controller *Controller) wantedReservations(now time.Time) []string {
	reserved := controller.planner.Reserved(now)
	if now.Before(controller.intents.inheritedUntil) {
		reserved = append(reserved, controller.inheritedReserved...)
		slices.Sort(reserved)
	}
	return slices.Compact(reserved)
}
