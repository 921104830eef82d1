package bbrmaintenance

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// intents tracks the instances for which an order may be in flight or was recently.
// They are stored before the order is sent, on condition of the leader's claim. A leader
// that was replaced can store none, so its successor, which reads them after its own
// claim, knows every instance for which an order may still arrive.
type intents struct {
	claim bbrclaim.HeldClaim
	store *bbrkv.Store
	// minInterval is the least time between the orders of two leaders for an instance,
	// including the time for which an order may be in flight.
	minInterval time.Duration

	// inherited holds the instances with intents of earlier leaders, which are left alone
	// until inheritedUntil.
	inherited      map[string]bool
	inheritedUntil time.Time

	mu sync.Mutex
	// sentAt is when an order of this leader was last in flight, by instance.
	sentAt map[string]time.Time
	// stored holds the instances that are known to be in the store, and revision is that of
	// their item as last known.
	stored   map[string]bool
	revision bbrkv.Revision
}

// intentsKey is the key of the stored intents.
const intentsKey = "bbr/duty/orders"

// load reads the intents of earlier leaders. It must be called after the leader's own
// claim is stored.
func (i *intents) load(ctx context.Context) error {
	item, err := i.store.Get(ctx, intentsKey)
	if err != nil && !errors.Is(err, bbrkv.ErrNotFound) {
		return err
	}
	var instances []string
	if err == nil {
		if err := json.Unmarshal(item.Value, &instances); err != nil {
			return errors.Wrap(err, intentsKey)
		}
	}
	i.revision = item.Revision
	i.inherited, i.stored, i.sentAt = make(map[string]bool), make(map[string]bool), make(map[string]time.Time)
	for _, instance := range instances {
		i.inherited[instance], i.stored[instance] = true, true
	}
	i.inheritedUntil = time.Now().Add(i.minInterval)
	return nil
}

// inDoubt returns the instances for which an order of an earlier leader may still
// arrive.
func (i *intents) inDoubt(now time.Time) map[string]bool {
	if !now.Before(i.inheritedUntil) {
		return nil
	}
	return i.inherited
}

// noteInFlight records that an order for the instance was in flight until now.
func (i *intents) noteInFlight(instance string, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sentAt[instance] = now
}

// record stores the instances of the orders. It must succeed before the orders are sent.
func (i *intents) record(ctx context.Context, orders []Order, now time.Time) error {
	missing := false
	for _, order := range orders {
		i.noteInFlight(order.Instance, now)
		missing = missing || !i.stored[order.Instance]
	}
	if !missing {
		return nil
	}
	return i.save(ctx, now)
}

// save stores the instances that a successor has to know. It depends on the write before, so
// that one without an answer is not applied after a later one.
func (i *intents) save(ctx context.Context, now time.Time) error {
	instances := i.pending(now)
	// If the answer to the write is lost, it may have been applied all the same.
	maps.DeleteFunc(i.stored, func(instance string, _ bool) bool { return !slices.Contains(instances, instance) })
	revision, err := i.store.Commit(ctx, bbrkv.Transaction{
		Conditions: []bbrkv.Condition{i.claim.Condition(), {Key: intentsKey, Revision: i.revision}},
		Puts:       []bbrkv.Put{{Key: intentsKey, Value: bbrrecord.Encode(instances)}},
	})
	var conflict *bbrkv.Conflict
	if errors.As(err, &conflict) {
		i.revision = conflict.Items[intentsKey].Revision
	}
	if err != nil {
		return err
	}
	i.revision = revision
	i.stored = make(map[string]bool, len(instances))
	for _, instance := range instances {
		i.stored[instance] = true
	}
	return nil
}

// pending returns the instances that a successor would have to leave alone for a while.
func (i *intents) pending(now time.Time) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	pending := maps.Clone(i.inDoubt(now))
	if pending == nil {
		pending = make(map[string]bool)
	}
	for instance, at := range i.sentAt {
		if now.Sub(at) < i.minInterval {
			pending[instance] = true
		} else {
			delete(i.sentAt, instance)
		}
	}
	return slices.Sorted(maps.Keys(pending))
}
