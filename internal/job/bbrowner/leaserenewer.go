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
	// renewalWait is how long a renewal waits for an end; it is also the pace of
	// renewals where nothing ends.
	renewalWait = time.Second
	// idleCheckInterval is how often a holder without work looks whether it has some.
	idleCheckInterval = 500 * time.Millisecond
	// minRenewalPause is the least time between two renewals, so that several ends
	// come in one. A pool of many upstreams takes gatherEach for each of them, so
	// that the listings of all of them leave time for the rest.
	minRenewalPause         = 8 * time.Millisecond
	renewalPausePerUpstream = 250 * time.Microsecond
	renewalRetryDelay       = 150 * time.Millisecond
	// storeTimeout bounds how long a renewal waits for ends to be stored. Without
	// it, upstreams would answer at once with the same ends.
	storeTimeout = 150 * time.Millisecond
)

// leaseRenewer renews the lease of one upstream and collects its listings.
type leaseRenewer struct {
	owner *Owner
	id    string
	wake  chan struct{}
}

func (r *leaseRenewer) loop(ctx context.Context) {
	for ctx.Err() == nil {
		plan, ok := r.planRenewal(time.Now())
		if !ok {
			r.remove()
			return
		}
		if plan.Idle {
			r.awaitWork(ctx)
			continue
		}
		if r.renew(ctx, plan) {
			r.awaitStored(ctx)
			bbrpause.For(ctx, r.pauseAfter(plan))
		} else {
			bbrpause.For(ctx, renewalRetryDelay)
		}
	}
}

// remove forgets the holder, so that an upstream that comes back gets another.
func (r *leaseRenewer) remove() {
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	delete(r.owner.renewers, r.id)
}

func (r *leaseRenewer) planRenewal(now time.Time) (bbrscheduler.RenewalPlan, bool) {
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	return r.owner.scheduler.PlanRenewal(r.id, r.owner.Confirmed(now), now)
}

func (r *leaseRenewer) awaitWork(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-r.wake:
	case <-time.After(idleCheckInterval):
	}
}

// renew makes one renewal and tells whether it was answered.
func (r *leaseRenewer) renew(ctx context.Context, plan bbrscheduler.RenewalPlan) bool {
	o := r.owner
	renewal := bbrorder.Renewal{Until: plan.LeaseUntil, Token: int64(o.Held.Token), Acknowledged: plan.Acknowledged}
	if plan.HasRuns && plan.LeaseUntil > 0 {
		renewal.Wait = renewalWait
	}
	sentAt := time.Now()
	listing, err := o.Client.Renew(ctx, plan.Upstream, renewal)
	if ctx.Err() != nil {
		return false
	}
	now := time.Now()
	o.mu.Lock()
	if err != nil {
		o.scheduler.ApplyRenewalFailure(plan.Upstream.Incarnation, err, now)
	} else {
		o.scheduler.ApplyListing(plan.Upstream.Incarnation, &listing, sentAt, now)
	}
	dirty := o.scheduler.Dirty()
	o.mu.Unlock()
	if errors.Is(err, bbrorder.ErrFenced) {
		o.stopReplaced("an upstream knows a higher token")
	}
	r.requestFollowUp(listing, dirty)
	return err == nil
}

// requestFollowUp wakes who has to act on the listing.
func (r *leaseRenewer) requestFollowUp(listing bbrwork.Listing, dirty bool) {
	if dirty || len(listing.Ended) > 0 {
		signal(r.owner.flushNow)
	}
	r.owner.requestPlan()
}

// pauseAfter returns the pause after a renewal.
func (r *leaseRenewer) pauseAfter(plan bbrscheduler.RenewalPlan) time.Duration {
	if plan.HasOrphans {
		return renewalRetryDelay
	}
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	return max(minRenewalPause, time.Duration(len(r.owner.renewers))*renewalPausePerUpstream)
}

func (r *leaseRenewer) awaitStored(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	for {
		stored, pending := r.nextStored()
		if !pending {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-stored:
		}
	}
}

// nextStored tells whether ends of the upstream are not stored yet. The channel is
// closed when the owner has stored something.
func (r *leaseRenewer) nextStored() (<-chan struct{}, bool) {
	o := r.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.scheduler.HasUnacknowledgedEnds(r.id) {
		return nil, false
	}
	if o.nextStored == nil {
		o.nextStored = make(chan struct{})
	}
	return o.nextStored, true
}
