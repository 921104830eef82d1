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
	// idleCheckInterval is how often a renewer checks whether its idle upstream has work.
	idleCheckInterval = 500 * time.Millisecond
	// The pause between two renewals is minRenewalPause, so that one answer has several
	// ends. It is renewalPausePerUpstream times the number of upstreams if that is more,
	// so that handling the answers of a large pool leaves time for the owner's other
	// work.
	minRenewalPause         = 8 * time.Millisecond
	renewalPausePerUpstream = 250 * time.Microsecond
	// storeTimeout bounds how long the next renewal waits until the ends in the last
	// answer are stored. Without the wait, an upstream would answer at once with the
	// same ends.
	storeTimeout = 150 * time.Millisecond
)

// leaseRenewer renews the lease of one upstream and passes its answers to the
// scheduler.
type leaseRenewer struct {
	owner *Owner
	// id is the upstream's ID.
	id   string
	wake chan struct{}
	// extensions is used by loop only.
	extensions leaseExtensions
}

func (r *leaseRenewer) loop(ctx context.Context) {
	for ctx.Err() == nil {
		plannedAt := time.Now()
		plan, ok := r.planRenewal(plannedAt)
		if !ok {
			r.remove()
			return
		}
		r.extensions.plan(plan)
		if plan.Idle {
			r.awaitWork(ctx)
			continue
		}
		if r.renew(ctx, plan, plannedAt) {
			r.awaitStored(ctx)
			bbrpause.For(ctx, r.pauseAfter(plan))
		} else {
			bbrpause.For(ctx, plan.RetryDelay)
		}
	}
}

// remove removes the renewer, so that an upstream that returns gets a new one.
func (r *leaseRenewer) remove() {
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	delete(r.owner.renewers, r.id)
}

// planRenewal returns the next renewal, and false if the upstream needs none any
// more.
func (r *leaseRenewer) planRenewal(now time.Time) (bbrscheduler.RenewalPlan, bool) {
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	return r.owner.scheduler.PlanRenewal(r.id, r.owner.Confirmed(now), now)
}

// awaitWork waits until the upstream may have work.
func (r *leaseRenewer) awaitWork(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-r.wake:
	case <-time.After(idleCheckInterval):
	}
}

// renew makes one renewal and reports whether the upstream answered.
func (r *leaseRenewer) renew(ctx context.Context, plan bbrscheduler.RenewalPlan, plannedAt time.Time) bool {
	o := r.owner
	renewal := bbrorder.Renewal{Until: plan.LeaseUntil, Token: plan.Token, Acknowledged: plan.Acknowledged, Wait: plan.Wait, AnswerTimeout: plan.AnswerTimeout}
	sentAt := time.Now()
	listing, err := o.Client.Renew(ctx, plan.Upstream, renewal)
	if ctx.Err() != nil {
		return false
	}
	now := time.Now()
	r.recordRenewal(plan, err, sentAt, now)
	o.mu.Lock()
	if err != nil {
		o.scheduler.ApplyRenewalFailure(plan.Upstream.Incarnation, err, now)
	} else {
		o.scheduler.ApplyListing(plan.Upstream.Incarnation, &listing, plannedAt, now)
		o.scheduler.ConfirmLease(plan.Upstream.Incarnation, plan.LeaseUntil)
	}
	dirty := o.scheduler.Dirty()
	replaced := errors.Is(err, bbrorder.ErrFenced) && o.scheduler.IsReplaced(r.id, plan.Token)
	o.mu.Unlock()
	if replaced {
		o.stopReplaced("an upstream knows a higher token")
	}
	r.requestFollowUp(listing, dirty)
	return err == nil
}

// requestFollowUp wakes the flusher, if there is something to store, and the planner.
func (r *leaseRenewer) requestFollowUp(listing bbrwork.Listing, dirty bool) {
	if dirty || len(listing.Ended) > 0 {
		signal(r.owner.flushNow)
	}
	r.owner.requestPlan()
}

// pauseAfter returns the pause after a renewal that was answered.
func (r *leaseRenewer) pauseAfter(plan bbrscheduler.RenewalPlan) time.Duration {
	if plan.HasOrphans || plan.Unconfirmed {
		return bbrscheduler.RenewalRetryDelay
	}
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	return max(minRenewalPause, time.Duration(len(r.owner.renewers))*renewalPausePerUpstream)
}

// wakeRenewers wakes the renewers of idle upstreams. The caller holds the lock.
func (o *Owner) wakeRenewers(ids []string) {
	for _, id := range ids {
		if renewer := o.renewers[id]; renewer != nil {
			signal(renewer.wake)
		}
	}
}

// awaitStored waits until the ends that the upstream reported are stored, for at most
// storeTimeout.
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

// nextStored reports whether ends of the upstream are not stored yet. If so, the
// channel is closed after the owner's next transaction.
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
