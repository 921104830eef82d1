package bbrkv

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
)

const (
	// retryInterval is the pause after a failed call.
	retryInterval = 200 * time.Millisecond
	// defaultBatchDelay is the pause after events, so that several come in one call.
	defaultBatchDelay = 15 * time.Millisecond
)

// Follower keeps up with the items under a prefix.
type Follower struct {
	Store  *Store
	Prefix string
	// WatchTimeout is how long a watch without events lasts.
	WatchTimeout time.Duration
	// BatchDelay is the pause after events, so that several come in one call; 0 for
	// a short one.
	BatchDelay time.Duration
	// ReloadInterval bounds the time between two reads of everything, against watches
	// that miss changes; 0 means that only a lost history is read anew.
	ReloadInterval time.Duration
	// ExpectChanges means that changes come all the time, so a watch that lasted to its
	// end without any is taken for one that misses them, and everything is read
	// anew.
	ExpectChanges func() bool
	// OnSnapshot receives everything under the prefix: what it lacks is gone.
	OnSnapshot func(items []Item, now time.Time)
	// OnChange receives one event. Events older than what was seen of the key may
	// come again after a snapshot.
	OnChange func(item Item, now time.Time)
	// OnAnswer is told of each answered call, once its events are applied, with the
	// time it was sent; nil for nobody.
	OnAnswer func(sent time.Time)

	revision Revision
	loadedAt time.Time
	failing  bool
}

// StartAfter makes the follower begin after a revision, as of which everything is
// known already.
func (f *Follower) StartAfter(revision Revision, now time.Time) {
	f.revision, f.loadedAt = revision, now
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.poll(ctx, time.Now()); err != nil {
			f.handleError(ctx, err)
			continue
		}
		f.recovered()
	}
}

func (f *Follower) poll(ctx context.Context, now time.Time) error {
	if f.revision == 0 || f.ReloadInterval > 0 && now.Sub(f.loadedAt) > f.ReloadInterval {
		return f.reload(ctx, now)
	}
	page, err := f.Store.Watch(ctx, f.Prefix, f.revision, f.WatchTimeout)
	if err != nil {
		return err
	}
	for _, item := range page.Items {
		f.OnChange(item, time.Now())
	}
	f.notifyAnswer(now)
	f.revision = max(f.revision, page.AsOf)
	if len(page.Items) > 0 {
		bbrpause.For(ctx, cmp.Or(f.BatchDelay, defaultBatchDelay))
		return nil
	}
	if f.ExpectChanges != nil && f.ExpectChanges() {
		return f.reload(ctx, time.Now())
	}
	return nil
}

func (f *Follower) reload(ctx context.Context, now time.Time) error {
	items, asOf, err := f.Store.ReadAll(ctx, f.Prefix)
	if err != nil {
		return err
	}
	f.OnSnapshot(items, time.Now())
	f.notifyAnswer(now)
	f.revision, f.loadedAt = asOf, now
	return nil
}

func (f *Follower) notifyAnswer(sent time.Time) {
	if f.OnAnswer != nil {
		f.OnAnswer(sent)
	}
}

func (f *Follower) handleError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, ErrCompacted) {
		klog.InfoS("History lost, reading anew", "prefix", f.Prefix, "after", f.revision)
		f.revision = 0
		return
	}
	if !f.failing {
		klog.InfoS("Dependency lost", "dependency", "store", "prefix", f.Prefix, "at", f.revision, "reason", err.Error())
		f.failing = true
	}
	bbrpause.For(ctx, retryInterval)
}

func (f *Follower) recovered() {
	if f.failing {
		klog.InfoS("Dependency regained", "dependency", "store", "prefix", f.Prefix, "at", f.revision)
		f.failing = false
	}
}
