package bbrgateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrstore"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrticket"
)

const (
	// claimTTL is how long the platform keeps a claim. It does not end with
	// the process that holds the key: a key whose holder is gone must never
	// run again.
	claimTTL = 24 * time.Hour
	// leaseInterval is how often claims get a new lease, so that a lease
	// covers the claims of one hour.
	leaseInterval = time.Hour
)

// Claimant finds or becomes the holder of callers' own keys.
type Claimant struct {
	Store   *bbrstore.Store
	Tickets *bbrticket.Table
	Holder  bbrticket.Holder

	mu       sync.Mutex
	lease    bbrstore.LeaseID
	leasedAt time.Time
}

// Claim returns the holder of a key. If nobody holds it, this process does from
// now on. Nothing is run under a key before its claim is known to be stored.
func (c *Claimant) Claim(ctx context.Context, queue, key string) (bbrticket.Holder, error) {
	name := bbrticket.ClaimKey(queue, key)
	value, err := c.Store.Get(ctx, name, 0)
	if err == nil {
		return decodeHolder(value)
	}
	if !errors.Is(err, bbrstore.ErrNotFound) {
		return bbrticket.Holder{}, unavailable(key, err)
	}
	lease, err := c.currentLease(ctx, time.Now())
	if err != nil {
		return bbrticket.Holder{}, unavailable(key, err)
	}
	return c.create(ctx, key, name, lease)
}

func (c *Claimant) create(ctx context.Context, key, name string, lease bbrstore.LeaseID) (bbrticket.Holder, error) {
	claim := bbrticket.Claim{Holder: c.Holder, Operation: uuid.NewString()}
	data, err := json.Marshal(claim)
	if err != nil {
		return bbrticket.Holder{}, unavailable(key, err)
	}
	_, err = c.Store.CompareAndSwap(ctx, name, 0, data, lease)
	if err == nil {
		return c.Holder, c.Tickets.Register(name, time.Now())
	}
	if !errors.Is(err, bbrstore.ErrConflict) && !errors.Is(err, bbrstore.ErrAnswerLost) {
		return bbrticket.Holder{}, unavailable(key, err)
	}
	// Somebody was first, or the answer was lost: what is stored decides.
	value, err := c.Store.Get(ctx, name, 0)
	if err != nil {
		return bbrticket.Holder{}, unavailable(key, err)
	}
	return c.resolveConflict(name, value, claim)
}

// resolveConflict reads who holds the key after a write that was not answered well.
func (c *Claimant) resolveConflict(name string, value bbrstore.Value, own bbrticket.Claim) (bbrticket.Holder, error) {
	var stored bbrticket.Claim
	if err := json.Unmarshal(value.Data, &stored); err != nil {
		return bbrticket.Holder{}, err
	}
	if stored.Operation == own.Operation {
		return c.Holder, c.Tickets.Register(name, time.Now())
	}
	return stored.Holder, nil
}

func decodeHolder(value bbrstore.Value) (bbrticket.Holder, error) {
	var stored bbrticket.Claim
	err := json.Unmarshal(value.Data, &stored)
	return stored.Holder, err
}

func unavailable(key string, err error) error {
	return bbrcode.Errorf(bbrcode.ClaimUnavailable, key, "%v", err)
}

// currentLease returns the lease of new claims. No lock is held while the
// platform is asked; two askers at once make two leases, which does no harm.
func (c *Claimant) currentLease(ctx context.Context, now time.Time) (bbrstore.LeaseID, error) {
	if lease := c.cachedLease(now); lease != "" {
		return lease, nil
	}
	lease, err := c.Store.Grant(ctx, claimTTL)
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = lease
	c.leasedAt = now
	return lease, nil
}

func (c *Claimant) cachedLease(now time.Time) bbrstore.LeaseID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.leasedAt) >= leaseInterval {
		return ""
	}
	return c.lease
}
