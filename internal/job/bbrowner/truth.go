package bbrowner

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
)

const (
	// doubtCheck is how often the owner looks whether it doubts an upstream, and
	// doubtPause the least time between two lists of the instances.
	doubtCheck = 100 * time.Millisecond
	doubtPause = 400 * time.Millisecond
)

// ListIncarnationsFunc returns the IDs of the lives that the platform's list of instances
// has as up or leaving; what is in none of them is certainly not at work.
type ListIncarnationsFunc func(ctx context.Context) (map[string]bool, error)

// runTruth asks the platform, while upstreams do not answer, which of them are
// still there, until ctx ends. Work on one that is gone can start elsewhere at
// once, without waiting for the end of its lease.
func (o *Owner) runTruth(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		if !o.doubts(time.Now()) {
			bbrpause.For(ctx, doubtCheck)
			continue
		}
		asked := time.Now()
		lives, err := o.ListIncarnations(ctx)
		if err == nil {
			o.settleDoubts(lives, asked, time.Now())
		}
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			klog.InfoS("Asking for the instances changed", "shard", o.Shard, "failing", failing)
		}
		bbrpause.For(ctx, doubtPause)
	}
}

func (o *Owner) doubts(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.ledger.Unverified(now)) > 0
}

func (o *Owner) settleDoubts(lives map[string]bool, asked, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, life := range o.ledger.Unverified(asked) {
		if !lives[life.ID] {
			o.ledger.EndIncarnation(life, "the platform lists it no more", now)
		}
	}
	o.poke()
}
