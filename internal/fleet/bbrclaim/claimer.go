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

// HeldClaim is a claim held by this entry.
type HeldClaim struct {
	// Name is the name of the shard, or LeadershipName.
	Name string
	// Token is the fencing token: the revision that created the claim's key.
	Token bbrkv.Revision
	// Lease is the lease to which the claim is attached.
	Lease bbrkv.Lease
}

// Condition returns the precondition for the owner's writes: the claim still
// exists with this token.
func (h HeldClaim) Condition() bbrkv.Condition {
	return bbrkv.Condition{Key: ClaimKey(h.Name), Revision: h.Token}
}

// Claimer claims shards and the fleet leadership, and runs an owner for each
// claim that this entry holds.
type Claimer struct {
	Session   *Session
	Directory *Directory
	// Names returns the names that need an owner: the shards and LeadershipName.
	Names func() []string
	// RunOwner acts as the owner for the claim. Its ctx ends when the claim is
	// lost or Run's ctx ends.
	RunOwner func(ctx context.Context, held HeldClaim)
	// Relief has the shards that this entry handed over because it is slow. It is nil if
	// owners keep their claims.
	Relief *Relief

	mu sync.Mutex
	// active contains the held claims by name.
	active map[string]*activeClaim
	// usedTokens contains, by name, the newest token with which an owner was started.
	// Its orders may still be on their way, and only a newer token fences them off.
	usedTokens map[string]bbrkv.Revision
	wg         sync.WaitGroup
}

// activeClaim is a held claim and its running owner.
type activeClaim struct {
	HeldClaim
	cancel   context.CancelFunc
	runOwner func(ctx context.Context, held HeldClaim)
}

// claimInterval is the pause between two rounds of claiming.
const claimInterval = 100 * time.Millisecond

// Run claims names without an owner until ctx ends, and then waits for the
// owners that it started.
func (c *Claimer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.round(ctx, time.Now())
		bbrpause.For(ctx, claimInterval)
	}
	c.wg.Wait()
}

// round ends the owners of lost claims, starts those of claims that the store
// already lists for this process, and claims the names that are due.
func (c *Claimer) round(ctx context.Context, now time.Time) {
	c.endLostClaims(now)
	lease, ok := c.Session.Lease(now)
	if !ok {
		return
	}
	names := c.Names()
	for _, name := range names {
		if c.holds(name) {
			continue
		}
		if existing, ok := c.Directory.Owner(name); ok && existing.Incarnation == c.Session.Incarnation && existing.Lease == lease.ID {
			c.startOrRenounce(ctx, HeldClaim{Name: name, Token: existing.Revision, Lease: lease.ID})
		}
	}
	for _, name := range c.Directory.DueClaims(names, c.Session.Entry, now) {
		if ctx.Err() == nil && !c.holds(name) && !c.Relief.leaves(name, now) {
			c.claim(ctx, name, lease)
		}
	}
}

// endLostClaims cancels the owners whose claim is lost.
func (c *Claimer) endLostClaims(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, claim := range c.active {
		if reason := c.lossReason(claim, now); reason != "" {
			klog.InfoS("Claim lost", "claim", name, "token", claim.Token, "reason", reason)
			claim.cancel()
			delete(c.active, name)
		}
	}
}

// lossReason returns why the claim is lost, or "" if it is still held.
func (c *Claimer) lossReason(claim *activeClaim, now time.Time) string {
	if lease, _ := c.Session.Lease(now); lease.ID != claim.Lease {
		return "the lease ended"
	}
	if c.Directory.ClaimEnded(claim.Name, claim.Token) {
		return "the store lists another owner or none"
	}
	return ""
}

// holds reports whether this entry holds a claim of the name.
func (c *Claimer) holds(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active[name] != nil
}

// claim creates the claim's key, on the condition that it does not exist and
// that the entry's registration is unchanged, and starts the owner.
func (c *Claimer) claim(ctx context.Context, name string, lease Lease) {
	record, err := json.Marshal(claimRecord{Entry: c.Session.Entry, Incarnation: c.Session.Incarnation})
	if err != nil {
		klog.ErrorS(err, "Failed to encode claim")
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
			err = c.checkOwnClaim(conflict, name)
			token = conflict.Items[ClaimKey(name)].Created
		}
		if err != nil {
			klog.V(1).InfoS("Claim attempt failed", "claim", name, "reason", err.Error())
			return
		}
	}
	c.Directory.RecordOwnClaim(name, Claim{Entry: c.Session.Entry, Incarnation: c.Session.Incarnation, Revision: token, Lease: lease.ID})
	c.startOrRenounce(ctx, HeldClaim{Name: name, Token: token, Lease: lease.ID})
}

// startOrRenounce starts the owner for a claim that the store lists, unless an owner has
// used its token already. Then it removes the claim, so that the name is claimed anew
// under a newer token, by this entry or another.
func (c *Claimer) startOrRenounce(ctx context.Context, held HeldClaim) {
	if held.Token > c.usedToken(held.Name) {
		c.startOwner(ctx, held)
		return
	}
	_, err := c.Session.Store.Commit(ctx, bbrkv.Transaction{
		Conditions: []bbrkv.Condition{held.Condition()},
		Removals:   []string{ClaimKey(held.Name)},
	})
	var conflict *bbrkv.Conflict
	if err != nil && !errors.As(err, &conflict) {
		klog.InfoS("Failed to remove a claim whose owner has ended, will retry", "claim", held.Name, "token", held.Token, "reason", err.Error())
		return
	}
	klog.InfoS("Removed a claim whose owner has ended", "claim", held.Name, "token", held.Token, "conflict", conflict != nil)
	c.Directory.RecordOwnEnd(held.Name, held.Token, time.Now())
}

// usedToken returns the newest token with which an owner of the name was started; 0 if
// none was.
func (c *Claimer) usedToken(name string) bbrkv.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usedTokens[name]
}

// errOwned means that the name has another owner.
var errOwned = errors.New("another entry holds the claim")

// checkOwnClaim returns nil if the claim in the store was made by this process
// under its current lease, which happens when the answer to an earlier attempt
// was lost. It returns errOwned otherwise.
func (c *Claimer) checkOwnClaim(conflict *bbrkv.Conflict, name string) error {
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

// startOwner runs the owner for the claim in a goroutine.
func (c *Claimer) startOwner(ctx context.Context, held HeldClaim) {
	klog.InfoS("Claimed", "claim", held.Name, "token", held.Token, "lease", held.Lease)
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active == nil {
		c.active, c.usedTokens = make(map[string]*activeClaim), make(map[string]bbrkv.Revision)
	}
	c.usedTokens[held.Name] = held.Token
	claim := &activeClaim{HeldClaim: held, cancel: cancel, runOwner: c.RunOwner}
	c.active[held.Name] = claim
	c.wg.Go(func() { claim.run(ctx) })
}

func (claim *activeClaim) run(ctx context.Context) {
	defer claim.cancel()
	claim.runOwner(ctx, claim.HeldClaim)
}

// Release cancels the owner of the claim and forgets the claim. An owner calls
// it on return, for instance because it found that it was replaced. A newer
// claim of the same name is left alone.
func (c *Claimer) Release(held HeldClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if claim := c.active[held.Name]; claim != nil && claim.Token == held.Token {
		claim.cancel()
		delete(c.active, held.Name)
	}
}

// Count returns how many claims this entry holds.
func (c *Claimer) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active)
}
