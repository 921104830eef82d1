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
	// followRetry is the pause after a failed call.
	followRetry = 200 * time.Millisecond
	// defaultGather is the pause after events, so that several come in one call.
	defaultGather = 15 * time.Millisecond
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

	at      Revision
	loaded  time.Time
	failing bool
}

// StartAfter makes the follower begin after a revision, as of which everything is
// known already.
func (f *Follower) StartAfter(at Revision, now time.Time) { f.at, f.loaded = at, now }

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.round(ctx, time.Now()); err != nil {
			f.failed(ctx, err)
			continue
		}
		f.recovered()
	}
}

func (f *Follower) round(ctx context.Context, now time.Time) error {
	if f.at == 0 || f.ReloadInterval > 0 && now.Sub(f.loaded) > f.ReloadInterval {
		return f.reload(ctx, now)
	}
	page, err := f.Store.Watch(ctx, f.Prefix, f.at, f.WatchTimeout)
	if err != nil {
		return err
	}
	for _, item := range page.Items {
		f.OnChange(item, time.Now())
	}
	f.heard(now)
	f.at = max(f.at, page.AsOf)
	if len(page.Items) > 0 {
		bbrpause.For(ctx, cmp.Or(f.BatchDelay, defaultGather))
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
	f.heard(now)
	f.at, f.loaded = asOf, now
	return nil
}

func (f *Follower) heard(sent time.Time) {
	if f.OnAnswer != nil {
		f.OnAnswer(sent)
	}
}

func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, ErrCompacted) {
		klog.InfoS("History lost, reading anew", "prefix", f.Prefix, "after", f.at)
		f.at = 0
		return
	}
	if !f.failing {
		klog.InfoS("Dependency lost", "dependency", "store", "prefix", f.Prefix, "at", f.at, "reason", err.Error())
		f.failing = true
	}
	bbrpause.For(ctx, followRetry)
}

func (f *Follower) recovered() {
	if f.failing {
		klog.InfoS("Dependency regained", "dependency", "store", "prefix", f.Prefix, "at", f.at)
		f.failing = false
	}
}
