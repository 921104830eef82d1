package bbrowner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// loadStage is one of the reads by which an owner loads its shard, as named in log lines and
// metrics.
type loadStage string

// Stages of a load.
const (
	stageSequence     loadStage = "sequence"
	stageProgress     loadStage = "progress"
	stageReserved     loadStage = "reserved"
	stageRecorded     loadStage = "incarnations"
	stageShares       loadStage = "shares"
	stageCrashes      loadStage = "crashes"
	stageInterference loadStage = "interference"
	stageJobs         loadStage = "jobs"
	// stageListedJobs has the jobs that upstreams list, which are read by key.
	stageListedJobs loadStage = "listedJobs"
)

const (
	// loadReportAfter is the age of a claim from which a shard that is not loaded is reported,
	// and loadReportInterval the time between two such reports.
	loadReportAfter    = 2 * time.Second
	loadReportInterval = time.Second
	// unloadedRetryDelay is the pause after a decision to keep a shard that does not load.
	unloadedRetryDelay = 2 * time.Second
	// loadCheckInterval is the time between two checks whether a shard is loaded.
	loadCheckInterval = 250 * time.Millisecond
)

// failureLogInterval is the least time between two log lines about failures of a stage.
const failureLogInterval = time.Second

// loadState is what an owner has read of its shard so far. Its methods may be called by
// several goroutines. The zero value has read nothing.
type loadState struct {
	mu sync.Mutex
	// claimedAt is when the owner began, and advancedAt when the last item arrived; claimedAt
	// before the first one.
	claimedAt, advancedAt time.Time
	// items and bytes count what has arrived.
	items, bytes int
	// attempts counts the attempts of each stage.
	attempts map[loadStage]int
	// open counts the reads of each stage that are under way.
	open map[loadStage]int
	// failedAt is when the failure of a stage was last logged.
	failedAt map[loadStage]time.Time
	// loaded means that everything has been read.
	loaded bool
}

// loadAmount is what an owner has read.
type loadAmount struct{ Items, Bytes int }

// start begins the load.
func (s *loadState) start(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claimedAt, s.advancedAt = now, now
}

// beginRead records that an attempt of a stage begins, and returns its number.
func (s *loadState) beginRead(stage loadStage) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts == nil {
		s.attempts, s.open, s.failedAt = make(map[loadStage]int), make(map[loadStage]int), make(map[loadStage]time.Time)
	}
	s.attempts[stage]++
	s.open[stage]++
	return s.attempts[stage]
}

// endRead records that an attempt of a stage has ended.
func (s *loadState) endRead(stage loadStage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[stage]--; s.open[stage] == 0 {
		delete(s.open, stage)
	}
}

// mustLogFailure reports whether a failure of the stage is to be logged.
func (s *loadState) mustLogFailure(stage loadStage, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, logged := s.failedAt[stage]; logged && now.Sub(last) < failureLogInterval {
		return false
	}
	s.failedAt[stage] = now
	return true
}

// add records an item that has arrived.
func (s *loadState) add(item bbrkv.Item, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items++
	s.bytes += len(item.Key) + len(item.Value)
	s.advancedAt = now
}

// finish records that everything has been read.
func (s *loadState) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded = true
}

// amount returns what has been read.
func (s *loadState) amount() loadAmount {
	s.mu.Lock()
	defer s.mu.Unlock()
	return loadAmount{Items: s.items, Bytes: s.bytes}
}

// claimAge returns how long the owner has had its claim.
func (s *loadState) claimAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.claimedAt)
}

// unloadedFor returns how long the owner has had its claim without having read everything.
// It returns false if it has, or has not begun.
func (s *loadState) unloadedFor(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loaded || s.claimedAt.IsZero() {
		return 0, false
	}
	return now.Sub(s.claimedAt), true
}

// idleFor returns how long nothing has arrived.
func (s *loadState) idleFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.advancedAt)
}

// openStages returns the stages that are being read, and the sum of the attempts of all.
func (s *loadState) openStages() (stages []loadStage, attempts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, count := range s.attempts {
		attempts += count
	}
	return slices.Sorted(maps.Keys(s.open)), attempts
}

// readStage makes one attempt of a stage. It logs a failure, with the context that tells a
// slow link from a store that refuses calls.
func (o *Owner) readStage(ctx context.Context, stage loadStage, read func(ctx context.Context) error) error {
	began := time.Now()
	attempt := o.loading.beginRead(stage)
	err := read(ctx)
	o.loading.endRead(stage)
	o.Metrics.LoadRead(string(stage), bbrkv.Outcome(err))
	now := time.Now()
	if err != nil && ctx.Err() == nil && o.loading.mustLogFailure(stage, now) {
		amount := o.loading.amount()
		klog.InfoS("Failed to load the stored state of the shard, will retry", "shard", o.Shard, "token", o.Held.Token, "stage", stage, "attempt", attempt,
			"took", now.Sub(began).Round(time.Millisecond), "claimAge", o.loading.claimAge(now).Round(time.Millisecond), "items", amount.Items, "bytes", amount.Bytes, "reason", err.Error())
	}
	return err
}

// readRecord reads one record of a stage, and decodes it unless decode is nil. The item is
// empty if there is none, and decode is called with it all the same.
func (o *Owner) readRecord(ctx context.Context, stage loadStage, key string, decode func(bbrkv.Item) error) (bbrkv.Item, error) {
	var item bbrkv.Item
	err := o.readStage(ctx, stage, func(ctx context.Context) error {
		var err error
		item, err = o.Store.Get(ctx, key)
		switch {
		case err == nil:
			o.loading.add(item, time.Now())
		case !errors.Is(err, bbrkv.ErrNotFound):
			return err
		}
		if decode == nil {
			return nil
		}
		return decode(item)
	})
	return item, err
}

// newListing returns a listing whose items count as loaded.
func (o *Owner) newListing(prefix string, onItem func(bbrkv.Item)) *bbrkv.Listing {
	return &bbrkv.Listing{Store: o.Store, Prefix: prefix, OnItem: func(item bbrkv.Item) {
		o.loading.add(item, time.Now())
		onItem(item)
	}}
}

// UnloadedFor returns how long the owner has had its claim without having loaded the shard.
// It returns false if it has loaded it.
func (o *Owner) UnloadedFor(now time.Time) (time.Duration, bool) { return o.loading.unloadedFor(now) }

// loadMonitor reports a shard that is claimed and not loaded, and ends its owner if another
// entry can take the shard over.
type loadMonitor struct {
	owner *Owner
	// reportedAt is when it was last logged, and askedAt when the owner last asked whether it
	// is to hand over.
	reportedAt, askedAt time.Time
}

// run checks until the shard is loaded or ctx ends.
func (m *loadMonitor) run(ctx context.Context) {
	defer m.owner.Metrics.ClearUnloaded(m.owner.Shard.String())
	for ctx.Err() == nil && m.check(time.Now()) {
		bbrpause.For(ctx, loadCheckInterval)
	}
}

// check updates the gauge and logs a shard that has not been loaded for long. It reports
// whether the shard is not loaded.
func (m *loadMonitor) check(now time.Time) bool {
	o := m.owner
	age, unloaded := o.loading.unloadedFor(now)
	if !unloaded {
		return false
	}
	o.Metrics.SetUnloaded(o.Shard.String(), age)
	if m.handsOver(now) {
		o.cancelRun()
		return false
	}
	if age < loadReportAfter || now.Sub(m.reportedAt) < loadReportInterval {
		return true
	}
	m.reportedAt = now
	amount := o.loading.amount()
	stages, attempts := o.loading.openStages()
	klog.InfoS("Shard claimed and not loaded", "shard", o.Shard, "token", o.Held.Token, "claimAge", age.Round(time.Millisecond), "items", amount.Items, "bytes", amount.Bytes,
		"lastItemAge", o.loading.idleFor(now).Round(time.Millisecond), "reading", stages, "attempts", attempts)
	return true
}

// handsOver reports whether the owner has to release its claim, as nothing of the shard
// arrives and another entry can take it over. Without the store, the claim cannot be
// released, and nobody could load the shard.
func (m *loadMonitor) handsOver(now time.Time) bool {
	o := m.owner
	idle := o.loading.idleFor(now)
	if o.HandOverUnloaded == nil || idle < bbrclaim.MaxLoadIdleTime || !o.Confirmed(now) || now.Sub(m.askedAt) < unloadedRetryDelay {
		return false
	}
	m.askedAt = now
	if !o.HandOverUnloaded(idle, o.startedAt, now) {
		return false
	}
	amount := o.loading.amount()
	klog.InfoS("Handing over a shard, as nothing of it arrives", "shard", o.Shard, "token", o.Held.Token, "idle", idle.Round(time.Millisecond),
		"owned", now.Sub(o.startedAt).Round(time.Millisecond), "items", amount.Items, "bytes", amount.Bytes)
	return true
}
