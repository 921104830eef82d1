package bbrclaim

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// HeldClaim is a claim that this entry holds.
type HeldClaim struct {
	// Name is that of the shard, or LeadershipName.
	Name string
	// Token is the fencing token.
	Token bbrkv.Revision
	// Lease is what the claim hangs on.
	Lease bbrkv.Lease
}

// Condition returns the condition under which the owner writes.
func (h HeldClaim) Condition() bbrkv.Condition {
	return bbrkv.Condition{Key: ClaimKey(h.Name), Revision: h.Token}
}

// Claimer claims shards and runs what a claim entitles to.
type Claimer struct {
	Session   *Session
	Directory *Directory
	// Names returns what should have an owner: shards, and the fleet duty.
	Names func() []string
	// RunOwner runs until ctx ends or the claim is lost.
	RunOwner func(ctx context.Context, held HeldClaim)

	mu   sync.Mutex
	held map[string]*holding
	wg   sync.WaitGroup
}

type holding struct {
	HeldClaim
	end     context.CancelFunc
	claimed time.Time
	own     func(ctx context.Context, held HeldClaim)
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
	names := c.Names()
	for _, name := range names {
		if c.holds(name) {
			continue
		}
		if left, ok := c.Directory.Owner(name); ok && left.Incarnation == c.Session.Incarnation && left.Lease == lease.ID {
			c.hold(ctx, HeldClaim{Name: name, Token: left.Revision, Lease: lease.ID})
		}
	}
	for _, name := range c.Directory.DueClaims(names, c.Session.Entry, now) {
		if ctx.Err() == nil && !c.holds(name) {
			c.claim(ctx, name, lease)
		}
	}
}

// dropLost ends what no longer rests on a claim.
func (c *Claimer) dropLost(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, held := range c.held {
		if why := c.lost(held, now); why != "" {
			klog.InfoS("Claim lost", "claim", name, "token", held.Token, "reason", why)
			held.end()
			delete(c.held, name)
		}
	}
}

func (c *Claimer) lost(held *holding, now time.Time) string {
	if lease, _ := c.Session.Lease(now); lease.ID != held.Lease {
		return "the lease ended"
	}
	if c.Directory.ClaimEnded(held.Name, held.Token) {
		return "the store lists another owner or none"
	}
	return ""
}

func (c *Claimer) holds(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held[name] != nil
}

func (c *Claimer) claim(ctx context.Context, name string, lease Lease) {
	record, err := json.Marshal(claimRecord{Entry: c.Session.Entry, Incarnation: c.Session.Incarnation})
	if err != nil {
		klog.ErrorS(err, "Encoding a claim")
		return
	}
	token, err := c.Session.Store.Commit(ctx, bbrkv.Transaction{
		Conditions: []bbrkv.Condition{
			{Key: ClaimKey(name), Revision: 0},
			{Key: c.Session.Key(), Revision: lease.Registration},
		},
		Puts: []bbrkv.Put{{Key: ClaimKey(name), Value: record, Lease: lease.ID}},
	})
	if err != nil {
		var conflict *bbrkv.Conflict
		if errors.As(err, &conflict) {
			err = c.mine(conflict, name)
			token = conflict.Items[ClaimKey(name)].Created
		}
		if err != nil {
			klog.V(1).InfoS("Claim not made", "claim", name, "reason", err.Error())
			return
		}
	}
	c.Directory.RecordOwnClaim(name, Claim{Entry: c.Session.Entry, Incarnation: c.Session.Incarnation, Revision: token, Lease: lease.ID})
	c.hold(ctx, HeldClaim{Name: name, Token: token, Lease: lease.ID})
}

var errOwned = errors.New("another entry holds the claim")

// mine tells whether the claim in the store is one of this process whose answer
// was lost.
func (c *Claimer) mine(conflict *bbrkv.Conflict, name string) error {
	item, ok := conflict.Items[ClaimKey(name)]
	var record claimRecord
	if !ok || json.Unmarshal(item.Value, &record) != nil || record.Incarnation != c.Session.Incarnation {
		return errOwned
	}
	if lease, ok := c.Session.Lease(time.Now()); !ok || item.Lease != lease.ID {
		return errOwned
	}
	return nil
}

func (c *Claimer) hold(ctx context.Context, held HeldClaim) {
	klog.InfoS("Claimed", "claim", held.Name, "token", held.Token, "lease", held.Lease)
	ctx, end := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held == nil {
		c.held = make(map[string]*holding)
	}
	h := &holding{HeldClaim: held, end: end, claimed: time.Now(), own: c.RunOwner}
	c.held[held.Name] = h
	c.wg.Go(func() { h.run(ctx) })
}

func (h *holding) run(ctx context.Context) {
	defer h.end()
	h.own(ctx, h.HeldClaim)
}

// Release ends the claim of a name whose owner found that it was replaced.
func (c *Claimer) Release(held HeldClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.held[held.Name]; h != nil && h.Token == held.Token {
		h.end()
		delete(c.held, held.Name)
	}
}

// Count returns how many claims this entry holds.
func (c *Claimer) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.held)
}
