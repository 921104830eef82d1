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

// intents are the instances for which an order may be on its way, or was lately.
// They are stored before the order is sent and under the holder's claim: a
// holder that was replaced can store none, so its successor, which reads them
// after its own claim, knows every instance that it may still order.
type intents struct {
	claim bbrclaim.HeldClaim
	store *bbrkv.Store
	// minInterval is the least time between the orders of two holders for an instance,
	// with what an order may be on its way.
	minInterval time.Duration

	// inherited are those of earlier holders, which wait until the time.
	inherited      map[string]bool
	inheritedUntil time.Time

	mu sync.Mutex
	// sentAt has when an order of this holder was last on its way.
	sentAt map[string]time.Time
	// stored are those that the store has.
	stored map[string]bool
}

const intentsKey = "bbr/duty/orders"

// load reads what earlier holders may have ordered. It is called after the claim
// began.
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
	i.inherited, i.stored, i.sentAt = make(map[string]bool), make(map[string]bool), make(map[string]time.Time)
	for _, instance := range instances {
		i.inherited[instance], i.stored[instance] = true, true
	}
	i.inheritedUntil = time.Now().Add(i.minInterval)
	return nil
}

// inDoubt returns the instances that an earlier holder may still order now.
func (i *intents) inDoubt(now time.Time) map[string]bool {
	if !now.Before(i.inheritedUntil) {
		return nil
	}
	return i.inherited
}

// noteInFlight notes that an order was on its way until now.
func (i *intents) noteInFlight(instance string, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sentAt[instance] = now
}

// record stores the instances of the orders, before these are sent.
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

// save stores what a successor has to know.
func (i *intents) save(ctx context.Context, now time.Time) error {
	instances := i.pending(now)
	// A write whose answer is lost may have been carried out.
	maps.DeleteFunc(i.stored, func(instance string, _ bool) bool { return !slices.Contains(instances, instance) })
	_, err := i.store.Commit(ctx, bbrkv.Transaction{
		Conditions: []bbrkv.Condition{i.claim.Condition()},
		Puts:       []bbrkv.Put{{Key: intentsKey, Value: bbrrecord.Encode(instances)}},
	})
	if err != nil {
		return err
	}
	i.stored = make(map[string]bool, len(instances))
	for _, instance := range instances {
		i.stored[instance] = true
	}
	return nil
}

// pending returns the instances that a successor would have to wait for.
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
