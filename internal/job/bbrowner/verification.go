package bbrowner

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
)

const (
	// verificationCheckInterval is how often the owner checks whether it has unverified
	// incarnations, and instanceListInterval the minimum time between two requests for
	// the platform's list of instances.
	verificationCheckInterval = 100 * time.Millisecond
	instanceListInterval      = 400 * time.Millisecond
)

// ListIncarnationsFunc returns the IDs of the upstreams whose instances are up or
// leaving, as the platform lists them. An upstream that is not among them certainly
// runs nothing.
type ListIncarnationsFunc func(ctx context.Context) (map[string]bool, error)

// runVerification asks the platform, while some upstreams do not answer, which of
// them still exist, until ctx ends. Work of one that does not can start elsewhere
// at once, without waiting until its lease expires.
func (o *Owner) runVerification(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		if !o.hasUnverified(time.Now()) {
			bbrpause.For(ctx, verificationCheckInterval)
			continue
		}
		requestedAt := time.Now()
		listed, err := o.ListIncarnations(ctx)
		if err == nil {
			o.endUnlisted(listed, requestedAt, time.Now())
		}
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			klog.InfoS("Listing the platform's instances started or stopped failing", "shard", o.Shard, "failing", failing)
		}
		bbrpause.For(ctx, instanceListInterval)
	}
}

// hasUnverified reports whether there are incarnations to ask the platform about.
func (o *Owner) hasUnverified(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.scheduler.Unverified(now)) > 0
}

// endUnlisted ends the incarnations that were unverified when the list was requested
// and are not in it.
func (o *Owner) endUnlisted(listed map[string]bool, requestedAt, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, incarnation := range o.scheduler.Unverified(requestedAt) {
		if !listed[incarnation.ID] {
			o.scheduler.EndIncarnation(incarnation, "the platform lists it no more", now)
		}
	}
	o.requestPlan()
}
