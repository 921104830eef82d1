package bbrowner

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	// verificationCheckInterval is how often the owner checks whether it has unverified
	// incarnations, and instanceListInterval the minimum time between two requests for
	// the platform's list of instances.
	verificationCheckInterval = 100 * time.Millisecond
	instanceListInterval      = 400 * time.Millisecond
)

// ListIncarnationsFunc returns the IDs of the upstreams that the platform lists, with whether
// their instances are up or leaving. An upstream whose instance is down certainly runs nothing.
// One that is not listed may be missing from a single list: it is read in pages.
type ListIncarnationsFunc func(ctx context.Context) (map[string]bool, error)

// runVerification asks the platform, while some upstreams do not answer, which of
// them still exist, until ctx ends. Work of one that does not can start elsewhere
// at once, without waiting until its lease expires.
func (o *Owner) runVerification(ctx context.Context) {
	failing := false
	var unlisted map[bbrwork.Incarnation]bool
	for ctx.Err() == nil {
		if !o.hasUnverified(time.Now()) {
			unlisted = nil
			bbrpause.For(ctx, verificationCheckInterval)
			continue
		}
		requestedAt := time.Now()
		listed, err := o.ListIncarnations(ctx)
		if err == nil {
			unlisted = o.endUnlisted(listed, unlisted, requestedAt, time.Now())
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

// endUnlisted ends the incarnations that were unverified when the list was requested and that
// are down or, like in the list before, not in it. It returns those that are not in this one.
func (o *Owner) endUnlisted(listed map[string]bool, earlier map[bbrwork.Incarnation]bool, requestedAt, now time.Time) map[bbrwork.Incarnation]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	unlisted := make(map[bbrwork.Incarnation]bool)
	for _, incarnation := range o.scheduler.Unverified(requestedAt) {
		up, known := listed[incarnation.ID]
		switch {
		case known && !up:
			o.scheduler.EndIncarnation(incarnation, "the platform lists it as down", now)
		case !known && earlier[incarnation]:
			o.scheduler.EndIncarnation(incarnation, "the platform lists it no more", now)
		case !known:
			unlisted[incarnation] = true
		}
	}
	o.requestPlan()
	return unlisted
}
