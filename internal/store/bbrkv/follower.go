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
	// defaultBatchDelay is the pause after events, so that one watch returns
	// several.
	defaultBatchDelay = 15 * time.Millisecond
	// catchUpInterval is the time after which events are read while all items are.
	catchUpInterval = time.Second
	// catchUpWait is the shortest wait of a watch.
	catchUpWait = time.Millisecond
)

// Follower watches the items under a prefix and reports them and their changes.
type Follower struct {
	Store  *Store
	Prefix string
	// WatchTimeout is how long a watch without events lasts.
	WatchTimeout time.Duration
	// BatchDelay is the pause after events, so that one watch returns several; 0
	// means defaultBatchDelay.
	BatchDelay time.Duration
	// ReloadInterval limits the time between two reads of all items, because
	// watches may miss changes; if it is 0, all items are reread only if the
	// history was compacted or ExpectChanges demands it.
	ReloadInterval time.Duration
	// ExpectChanges reports whether items change all the time, so that a watch
	// that ends without events is assumed to have missed some, and all items are
	// reread. If it is nil, changes are not expected.
	ExpectChanges func() bool
	// OnSnapshot is called with all items under the prefix, read from the revision asOf
	// on: others did not exist at asOf.
	OnSnapshot func(items []Item, asOf Revision, now time.Time)
	// OnChange is called for each event. After a snapshot, these may include events
	// that are older than the state in the snapshot.
	OnChange func(item Item, now time.Time)
	// OnAnswer is called after each successful call, once its events are applied,
	// with the time at which the call was sent. It may be nil.
	OnAnswer func(sent time.Time)

	revision Revision
	loadedAt time.Time
	failing  bool
	// rereading is what has been read of all items; nil if they are not being read.
	rereading *reread
}

// StartAfter makes the follower start after a revision as of which the caller
// already knows all items.
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
	if f.rereading != nil || f.revision == 0 || f.ReloadInterval > 0 && now.Sub(f.loadedAt) > f.ReloadInterval {
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

// reload reads all items. After an error, the next call continues behind what has arrived.
func (f *Follower) reload(ctx context.Context, now time.Time) error {
	if f.rereading == nil {
		f.rereading = newReread(f.Store, f.Prefix, f.revision, now)
	}
	r := f.rereading
	for !r.listing.Progress().Done {
		if err := f.catchUp(ctx, time.Now()); err != nil {
			return err
		}
		if err := r.listing.readPage(ctx); err != nil {
			return err
		}
	}
	f.rereading = nil
	asOf := r.listing.Progress().AsOf
	f.OnSnapshot(r.sorted(), asOf, time.Now())
	for _, event := range r.unreported {
		f.OnChange(event, time.Now())
	}
	f.notifyAnswer(r.begun)
	f.revision, f.loadedAt = max(asOf, r.revision), r.begun
	return nil
}

// catchUp applies the events since the items are being read, if that has taken a while:
// changes are not reported late, and the store does not discard the history from which
// the follower continues. If there is no state that they change, they are reported after
// the snapshot.
func (f *Follower) catchUp(ctx context.Context, now time.Time) error {
	r := f.rereading
	r.revision = max(r.revision, f.revision)
	if r.revision == 0 {
		r.revision = r.listing.Progress().AsOf
	}
	if r.revision == 0 || now.Sub(r.caughtUpAt) < catchUpInterval {
		return nil
	}
	page, err := f.Store.Watch(ctx, f.Prefix, r.revision, catchUpWait)
	if err != nil {
		return err
	}
	for _, item := range page.Items {
		r.apply(item)
		if f.revision > 0 {
			f.OnChange(item, time.Now())
		} else {
			r.unreported = append(r.unreported, item)
		}
	}
	r.revision, r.caughtUpAt = max(r.revision, page.AsOf), now
	if f.revision > 0 {
		f.revision = r.revision
	}
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
		klog.InfoS("Store history compacted, rereading all items", "prefix", f.Prefix, "after", f.revision)
		f.revision, f.rereading = 0, nil
		return
	}
	if !f.failing {
		klog.InfoS("Dependency lost", "dependency", "store", "prefix", f.Prefix, "at", f.revision, "items", f.itemsRead(), "reason", err.Error())
		f.failing = true
	}
	bbrpause.For(ctx, retryInterval)
}

// itemsRead returns how many items have arrived while all are being read.
func (f *Follower) itemsRead() int {
	if f.rereading == nil {
		return 0
	}
	return f.rereading.listing.Progress().Items
}

func (f *Follower) recovered() {
	if f.failing {
		klog.InfoS("Dependency regained", "dependency", "store", "prefix", f.Prefix, "at", f.revision)
		f.failing = false
	}
}
