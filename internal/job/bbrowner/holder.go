package bbrowner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	// holdWait is how long a renewal waits for an end; it is also the pace of
	// renewals where nothing ends.
	holdWait = time.Second
	// idleCheck is how often a holder without work looks whether it has some.
	idleCheck = 500 * time.Millisecond
	// holdGather is the least time between two renewals, so that several ends
	// come in one. A pool of many upstreams takes gatherEach for each of them, so
	// that the listings of all of them leave time for the rest.
	holdGather = 8 * time.Millisecond
	gatherEach = 250 * time.Microsecond
	holdRetry  = 150 * time.Millisecond
	// storeWait bounds how long a renewal waits for ends to be stored. Without
	// it, upstreams would answer at once with the same ends.
	storeWait = 150 * time.Millisecond
)

// holder renews the lease of one upstream and collects its listings.
type holder struct {
	owner *Owner
	id    string
	wake  chan struct{}
}

func (h *holder) loop(ctx context.Context) {
	for ctx.Err() == nil {
		plan, ok := h.plan(time.Now())
		if !ok {
			h.leave()
			return
		}
		if plan.Idle {
			h.rest(ctx)
			continue
		}
		if h.hold(ctx, plan) {
			h.awaitStored(ctx)
			bbrpause.For(ctx, h.gather(plan))
		} else {
			bbrpause.For(ctx, holdRetry)
		}
	}
}

// leave forgets the holder, so that an upstream that comes back gets another.
func (h *holder) leave() {
	h.owner.mu.Lock()
	defer h.owner.mu.Unlock()
	delete(h.owner.holders, h.id)
}

func (h *holder) plan(now time.Time) (bbrscheduler.RenewalPlan, bool) {
	h.owner.mu.Lock()
	defer h.owner.mu.Unlock()
	return h.owner.ledger.PlanRenewal(h.id, h.owner.Confirmed(now), now)
}

func (h *holder) rest(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-h.wake:
	case <-time.After(idleCheck):
	}
}

// hold makes one renewal and tells whether it was answered.
func (h *holder) hold(ctx context.Context, plan bbrscheduler.RenewalPlan) bool {
	o := h.owner
	order := bbrorder.Renewal{Until: plan.LeaseUntil, Token: int64(o.Held.Token), Acknowledged: plan.Acknowledged}
	if plan.HasRuns && plan.LeaseUntil > 0 {
		order.Wait = holdWait
	}
	sent := time.Now()
	listing, err := o.Client.Renew(ctx, plan.Upstream, order)
	if ctx.Err() != nil {
		return false
	}
	now := time.Now()
	o.mu.Lock()
	if err != nil {
		o.ledger.ApplyRenewalFailure(plan.Upstream.Incarnation, err, now)
	} else {
		o.ledger.ApplyListing(plan.Upstream.Incarnation, &listing, sent, now)
	}
	dirty := o.ledger.Dirty()
	o.mu.Unlock()
	if errors.Is(err, bbrorder.ErrFenced) {
		o.lost("an upstream knows a higher token")
	}
	h.tell(listing, dirty)
	return err == nil
}

// tell wakes who has to act on the listing.
func (h *holder) tell(listing bbrwork.Listing, dirty bool) {
	if dirty || len(listing.Ended) > 0 {
		signal(h.owner.flushNow)
	}
	h.owner.poke()
}

// gather returns the pause after a renewal.
func (h *holder) gather(plan bbrscheduler.RenewalPlan) time.Duration {
	if plan.HasOrphans {
		return holdRetry
	}
	h.owner.mu.Lock()
	defer h.owner.mu.Unlock()
	return max(holdGather, time.Duration(len(h.owner.holders))*gatherEach)
}

func (h *holder) awaitStored(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeWait)
	defer cancel()
	for {
		stored, waiting := h.unstored()
		if !waiting {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-stored:
		}
	}
}

// unstored tells whether ends of the upstream are not stored yet. The channel is
// closed when the owner has stored something.
func (h *holder) unstored() (<-chan struct{}, bool) {
	o := h.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.ledger.HasUnacknowledgedEnds(h.id) {
		return nil, false
	}
	if o.storedOnce == nil {
		o.storedOnce = make(chan struct{})
	}
	return o.storedOnce, true
}
