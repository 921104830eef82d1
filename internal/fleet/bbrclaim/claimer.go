package bbrclaim

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/store/bbritem"
)

// Held is a claim that this entry holds.
type Held struct {
	Service string
	// Token is the fencing token.
	Token bbritem.Revision
	// Lease is what the claim hangs on.
	Lease bbritem.Lease
}

// Condition returns the condition under which the owner writes.
func (h Held) Condition() bbritem.Condition {
	return bbritem.Condition{Key: ClaimKey(h.Service), Revision: h.Token}
}

// Claimer claims services and runs what a claim entitles to.
type Claimer struct {
	Session   *Session
	Directory *Directory
	// Services returns the names that should have an owner.
	Services func() []string
	// Own runs until ctx ends or the claim is lost.
	Own func(ctx context.Context, held Held)

	mu   sync.Mutex
	held map[string]*holding
	wg   sync.WaitGroup
}

type holding struct {
	Held
	end     context.CancelFunc
	claimed time.Time
	own     func(ctx context.Context, held Held)
}

const claimEvery = 100 * time.Millisecond

// Run claims until ctx ends, and then waits for what was run.
func (c *Claimer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.round(ctx, time.Now())
		bbrpause.For(ctx, claimEvery)
	}
	c.wg.Wait()
}

func (c *Claimer) round(ctx context.Context, now time.Time) {
	c.dropLost(now)
	lease, ok := c.Session.Lease(now)
	if !ok {
		return
	}
	for _, service := range c.Services() {
		if ctx.Err() != nil || c.holds(service) {
			continue
		}
		if left, ok := c.Directory.Owner(service); ok && left.Incarnation == c.Session.Incarnation && left.Lease == lease.ID {
			c.hold(ctx, Held{Service: service, Token: left.Revision, Lease: lease.ID})
			continue
		}
		if c.Directory.Due(service, c.Session.Entry, now) {
			c.claim(ctx, service, lease)
		}
	}
}

// dropLost ends what no longer rests on a claim.
func (c *Claimer) dropLost(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, held := range c.held {
		if why := c.lost(held, now); why != "" {
			klog.InfoS("Claim lost", "service", service, "token", held.Token, "reason", why)
			held.end()
			delete(c.held, service)
		}
	}
}

func (c *Claimer) lost(held *holding, now time.Time) string {
	if lease, _ := c.Session.Lease(now); lease.ID != held.Lease {
		return "the lease ended"
	}
	if c.Directory.Ended(held.Service, held.Token) {
		return "the store lists another owner or none"
	}
	return ""
}

func (c *Claimer) holds(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held[service] != nil
}

func (c *Claimer) claim(ctx context.Context, service string, lease Lease) {
	record, err := json.Marshal(claimRecord{Entry: c.Session.Entry, Incarnation: c.Session.Incarnation})
	if err != nil {
		klog.ErrorS(err, "Encoding a claim")
		return
	}
	token, err := c.Session.Store.Commit(ctx, bbritem.Transaction{
		Conditions: []bbritem.Condition{
			{Key: ClaimKey(service), Revision: 0},
			{Key: c.Session.Key(), Revision: lease.Registration},
		},
		Puts: []bbritem.Put{{Key: ClaimKey(service), Value: record, Lease: lease.ID}},
	})
	if err != nil {
		var conflict *bbritem.Conflict
		if errors.As(err, &conflict) {
			err = c.mine(conflict, service)
			token = conflict.Items[ClaimKey(service)].Created
		}
		if err != nil {
			klog.V(1).InfoS("Claim not made", "service", service, "reason", err.Error())
			return
		}
	}
	c.Directory.Claimed(service, Claim{Entry: c.Session.Entry, Incarnation: c.Session.Incarnation, Revision: token, Lease: lease.ID})
	c.hold(ctx, Held{Service: service, Token: token, Lease: lease.ID})
}

var errOwned = errors.New("another entry owns the service")

// mine tells whether the claim in the store is one of this process whose answer
// was lost.
func (c *Claimer) mine(conflict *bbritem.Conflict, service string) error {
	item, ok := conflict.Items[ClaimKey(service)]
	var record claimRecord
	if !ok || json.Unmarshal(item.Value, &record) != nil || record.Incarnation != c.Session.Incarnation {
		return errOwned
	}
	if lease, ok := c.Session.Lease(time.Now()); !ok || item.Lease != lease.ID {
		return errOwned
	}
	return nil
}

func (c *Claimer) hold(ctx context.Context, held Held) {
	klog.InfoS("Claimed", "service", held.Service, "token", held.Token, "lease", held.Lease)
	ctx, end := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held == nil {
		c.held = make(map[string]*holding)
	}
	h := &holding{Held: held, end: end, claimed: time.Now(), own: c.Own}
	c.held[held.Service] = h
	c.wg.Go(func() { h.run(ctx) })
}

func (h *holding) run(ctx context.Context) {
	defer h.end()
	h.own(ctx, h.Held)
}

// Release ends the claim of a service whose owner found that it was replaced.
func (c *Claimer) Release(held Held) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.held[held.Service]; h != nil && h.Token == held.Token {
		h.end()
		delete(c.held, held.Service)
	}
}

// Count returns how many claims this entry holds.
func (c *Claimer) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.held)
}
