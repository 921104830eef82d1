package bbrfollow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbritem"
)

const (
	// readEvery keeps a new configuration in force within two seconds also where
	// one read is lost.
	readEvery = 500 * time.Millisecond
	// answersFor is how long after an answered read the store counts as there.
	answersFor = 1500 * time.Millisecond
)

// Follower reads the configuration.
type Follower struct {
	Store *bbritem.Store
	Key   string
	// Decode reads a configuration.
	Decode func(value []byte) (*bbrwork.Config, error)

	config   atomic.Pointer[bbrwork.Config]
	answered atomic.Pointer[time.Time]
	revision bbritem.Revision
	failing  bool
}

// Config returns the configuration in force, or nil.
func (f *Follower) Config() *bbrwork.Config { return f.config.Load() }

// StoreAnswers tells whether the store answered lately.
func (f *Follower) StoreAnswers(now time.Time) bool {
	answered := f.answered.Load()
	return answered != nil && now.Sub(*answered) < answersFor
}

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.round(ctx)
		bbrpause.For(ctx, readEvery)
	}
}

func (f *Follower) round(ctx context.Context) {
	item, err := f.Store.Get(ctx, f.Key)
	if err != nil && !errors.Is(err, bbritem.ErrNotFound) {
		f.failed(ctx, err)
		return
	}
	now := time.Now()
	f.answered.Store(&now)
	if f.failing {
		klog.InfoS("Dependency regained", "dependency", "store", "use", "configuration", "revision", item.Revision)
		f.failing = false
	}
	if err == nil && item.Revision != f.revision {
		f.apply(item)
	}
}

func (f *Follower) failed(ctx context.Context, err error) {
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

// apply puts a configuration in force, unless one as new is.
func (f *Follower) apply(item bbritem.Item) {
	f.revision = item.Revision
	config, err := f.Decode(item.Value)
	if err != nil {
		klog.ErrorS(err, "Configuration unreadable", "revision", item.Revision)
		return
	}
	if present := f.config.Load(); present != nil && present.Version >= config.Version {
		return
	}
	f.config.Store(config)
	klog.InfoS("Configuration in force", "version", config.Version, "revision", item.Revision,
		"queues", len(config.Queues), "services", len(config.Services))
}
