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
	// claimTTL is how long the platform keeps a claim. A claim outlives the
	// process that holds the key, because a key whose holder is gone must never
	// run again.
	claimTTL = 24 * time.Hour
	// leaseInterval is how long one platform lease is used for new claims.
	leaseInterval = time.Hour
)

// Claimant claims the idempotency keys that callers choose themselves, and finds
// the holders of those that are claimed already.
type Claimant struct {
	Store   *bbrstore.Store
	Tickets *bbrticket.Table
	// Holder is this process.
	Holder bbrticket.Holder

	// mu guards the fields below.
	mu       sync.Mutex
	lease    bbrstore.LeaseID
	leasedAt time.Time
}

// Claim returns the holder of a key. If the key is unclaimed, this process
// becomes its holder. It returns a holder only once the claim is known to be
// stored, so that no request runs under an unstored claim.
func (c *Claimant) Claim(ctx context.Context, queue, key string) (bbrticket.Holder, error) {
	storeKey := bbrticket.ClaimKey(queue, key)
	value, err := c.Store.Get(ctx, storeKey, 0)
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
	return c.create(ctx, key, storeKey, lease)
}

// create stores a claim of the key for this process.
func (c *Claimant) create(ctx context.Context, key, storeKey string, lease bbrstore.LeaseID) (bbrticket.Holder, error) {
	claim := bbrticket.Claim{Holder: c.Holder, Operation: uuid.NewString()}
	data, err := json.Marshal(claim)
	if err != nil {
		return bbrticket.Holder{}, unavailable(key, err)
	}
	_, err = c.Store.CompareAndSwap(ctx, storeKey, 0, data, lease)
	if err == nil {
		return c.Holder, c.Tickets.Register(storeKey, time.Now())
	}
	if !errors.Is(err, bbrstore.ErrConflict) && !errors.Is(err, bbrstore.ErrAnswerLost) {
		return bbrticket.Holder{}, unavailable(key, err)
	}
	// Either another process claimed the key first or the response was lost.
	// The stored claim decides.
	value, err := c.Store.Get(ctx, storeKey, 0)
	if err != nil {
		return bbrticket.Holder{}, unavailable(key, err)
	}
	return c.resolveConflict(storeKey, value, claim)
}

// resolveConflict returns the holder of the stored claim after a write that
// failed or was not answered. The operation ID tells whether that write is the
// one that was stored.
func (c *Claimant) resolveConflict(storeKey string, value bbrstore.Value, own bbrticket.Claim) (bbrticket.Holder, error) {
	var stored bbrticket.Claim
	if err := json.Unmarshal(value.Data, &stored); err != nil {
		return bbrticket.Holder{}, err
	}
	if stored.Operation == own.Operation {
		return c.Holder, c.Tickets.Register(storeKey, time.Now())
	}
	return stored.Holder, nil
}

// decodeHolder returns the holder that a stored claim names.
func decodeHolder(value bbrstore.Value) (bbrticket.Holder, error) {
	var stored bbrticket.Claim
	err := json.Unmarshal(value.Data, &stored)
	return stored.Holder, err
}

// unavailable returns the refusal of a request whose claim could not be read or
// stored.
func unavailable(key string, err error) error {
	return bbrcode.Errorf(bbrcode.ClaimUnavailable, key, "%v", err)
}

// currentLease returns the lease for new claims. The lock is not held during the
// platform call. Concurrent callers may therefore each obtain a lease, which is
// harmless.
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

// cachedLease returns the present lease, or an empty ID if a new one is due.
func (c *Claimant) cachedLease(now time.Time) bbrstore.LeaseID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.leasedAt) >= leaseInterval {
		return ""
	}
	return c.lease
}
