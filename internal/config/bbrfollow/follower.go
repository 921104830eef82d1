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
	// readFraction of the time in which a change must be in force is between two
	// reads; it leaves room for one that is lost.
	readFraction = 0.3
	// retryInterval is the pause after a failed read, and until the first
	// configuration is known.
	retryInterval = 200 * time.Millisecond
)

// Follower keeps up with the configuration. A watch tells of changes at once. It
// may miss them, so the configuration, which can be large, is also read from
// time to time.
type Follower struct {
	Store *bbrkv.Store
	Key   string
	// Decode reads a configuration.
	Decode func(value []byte) (*bbrwork.Config, error)
	// MaxApplyDelay is the time in which a change must be in force.
	MaxApplyDelay time.Duration

	config atomic.Pointer[bbrwork.Config]
	mu     sync.Mutex
	// revision is the newest one that was decoded; it never falls.
	revision bbrkv.Revision
	failing  bool
}

// Config returns the configuration in force, or nil.
func (f *Follower) Config() *bbrwork.Config { return f.config.Load() }

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	watch := &bbrkv.Follower{Store: f.Store, Prefix: f.Key, WatchTimeout: watchTimeout, OnSnapshot: f.snapshot, OnChange: f.change}
	var wg sync.WaitGroup
	wg.Go(func() { watch.Run(ctx) })
	f.loop(ctx)
	wg.Wait()
}

// loop reads the configuration until ctx ends.
func (f *Follower) loop(ctx context.Context) {
	for ctx.Err() == nil {
		pause := time.Duration(readFraction * float64(f.MaxApplyDelay))
		if err := f.read(ctx); err != nil || f.Config() == nil {
			pause = min(pause, retryInterval)
		}
		bbrpause.For(ctx, pause)
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
	f.apply(item)
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

func (f *Follower) snapshot(items []bbrkv.Item, now time.Time) {
	for _, item := range items {
		f.change(item, now)
	}
}

// change applies an item of the watch, which also has keys that begin like the
// configuration's.
func (f *Follower) change(item bbrkv.Item, _ time.Time) {
	if item.Key == f.Key && !item.Deleted {
		f.apply(item)
	}
}

// apply puts a configuration in force, unless one as new is.
func (f *Follower) apply(item bbrkv.Item) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if item.Revision <= f.revision {
		return
	}
	f.revision = item.Revision
	config, err := f.Decode(item.Value)
	if err != nil {
		klog.ErrorS(err, "Configuration unreadable", "revision", item.Revision)
		return
	}
	if current := f.config.Load(); current != nil && current.Version >= config.Version {
		return
	}
	f.config.Store(config)
	klog.InfoS("Configuration in force", "version", config.Version, "revision", item.Revision,
		"queues", len(config.Queues), "services", len(config.Services))
}
