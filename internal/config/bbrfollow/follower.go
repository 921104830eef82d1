package bbrfollow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const (
	// watchTimeout is how long a watch without changes lasts.
	watchTimeout = 10 * time.Second
	// readFraction is the time between two reads, as a fraction of
	// Follower.MaxApplyDelay. It leaves time for one lost read.
	readFraction = 0.3
	// readPause is the pause after a slow read, as a multiple of what the read took.
	readPause = 2
	// retryInterval is the pause after a failed read and until the first
	// configuration is known.
	retryInterval = 200 * time.Millisecond
)

// Follower follows the configuration. A watch reports changes at once but may
// miss some, so the configuration is also read periodically; it is read rarely,
// because it can be large.
type Follower struct {
	Store *bbrkv.Store
	Key   string
	// Decode decodes a stored configuration.
	Decode func(value []byte) (*bbrwork.Config, error)
	// MaxApplyDelay is the time within which a change must be applied.
	MaxApplyDelay time.Duration
	// OnApply is called with each configuration before it is in force; it may be nil.
	OnApply func(config *bbrwork.Config, now time.Time)

	config atomic.Pointer[bbrwork.Config]
	mu     sync.Mutex
	// revision is the newest one that Decode was called with; it never decreases.
	revision bbrkv.Revision
	failing  bool
}

// Config returns the present configuration, or nil before the first one.
func (f *Follower) Config() *bbrwork.Config { return f.config.Load() }

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	watch := &bbrkv.Follower{Store: f.Store, Prefix: f.Key, WatchTimeout: watchTimeout, OnSnapshot: f.snapshot, OnChange: f.change}
	var wg sync.WaitGroup
	wg.Go(func() { watch.Run(ctx) })
	f.loop(ctx)
	wg.Wait()
}

// loop reads the configuration periodically until ctx ends.
func (f *Follower) loop(ctx context.Context) {
	for ctx.Err() == nil {
		begin := time.Now()
		err := f.read(ctx)
		bbrpause.For(ctx, f.pause(err, time.Since(begin)))
	}
}

// pause returns the pause after a read that ended with err and took some time.
func (f *Follower) pause(err error, took time.Duration) time.Duration {
	pause := time.Duration(readFraction * float64(f.MaxApplyDelay))
	switch {
	case err != nil || f.Config() == nil:
		return min(pause, retryInterval)
	case took > f.MaxApplyDelay/3:
		// Reads that take this long find a missed change too late anyway, and must leave
		// room on the link for other calls.
		return readPause * took
	default:
		return pause
	}
}

func (f *Follower) read(ctx context.Context) error {
	item, err := f.Store.Get(ctx, f.Key)
	if errors.Is(err, bbrkv.ErrNotFound) {
		return nil
	}
	if err != nil {
		f.reportFailure(ctx, err)
		return err
	}
	if f.failing {
		klog.InfoS("Dependency regained", "dependency", "store", "use", "configuration", "revision", item.Revision)
		f.failing = false
	}
	f.apply(item, time.Now())
	return nil
}

func (f *Follower) reportFailure(ctx context.Context, err error) {
	if f.failing || ctx.Err() != nil {
		return
	}
	f.failing = true
	version := int64(0)
	if config := f.config.Load(); config != nil {
		version = config.Version
	}
	klog.InfoS("Dependency lost", "dependency", "store", "use", "configuration", "version", version, "reason", err.Error())
}

func (f *Follower) snapshot(items []bbrkv.Item, _ bbrkv.Revision, now time.Time) {
	for _, item := range items {
		f.change(item, now)
	}
}

// change applies an item of the watch. Other items are ignored: the watch also
// returns keys of which the configuration's key is a prefix.
func (f *Follower) change(item bbrkv.Item, now time.Time) {
	if item.Key == f.Key && !item.Deleted {
		f.apply(item, now)
	}
}

// apply decodes a configuration and replaces the present one if it is newer.
func (f *Follower) apply(item bbrkv.Item, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if item.Revision <= f.revision {
		return
	}
	f.revision = item.Revision
	config, err := f.Decode(item.Value)
	if err != nil {
		klog.ErrorS(err, "Cannot decode configuration", "revision", item.Revision)
		return
	}
	if current := f.config.Load(); current != nil && current.Version >= config.Version {
		return
	}
	config.StoreRevision = int64(item.Revision)
	if f.OnApply != nil {
		f.OnApply(config, now)
	}
	f.config.Store(config)
	klog.InfoS("Configuration applied", "version", config.Version, "revision", item.Revision,
		"queues", len(config.Queues), "services", len(config.Services))
}
