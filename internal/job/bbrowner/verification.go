package bbrowner

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
)

const (
	// verificationCheckInterval is how often the owner looks whether it doubts an upstream, and
	// doubtPause the least time between two lists of the instances.
	verificationCheckInterval = 100 * time.Millisecond
	instanceListInterval      = 400 * time.Millisecond
)

// ListIncarnationsFunc returns the IDs of the lives that the platform's list of instances
// has as up or leaving; what is in none of them is certainly not at work.
type ListIncarnationsFunc func(ctx context.Context) (map[string]bool, error)

// runVerification asks the platform, while upstreams do not answer, which of them are
// still there, until ctx ends. Work on one that is gone can start elsewhere at
// once, without waiting for the end of its lease.
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
			klog.InfoS("Asking for the instances changed", "shard", o.Shard, "failing", failing)
		}
		bbrpause.For(ctx, instanceListInterval)
	}
}

func (o *Owner) hasUnverified(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.scheduler.Unverified(now)) > 0
}

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
