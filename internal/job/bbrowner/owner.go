package bbrowner

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrregistry"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// AdviseFunc asks the advice service which upstreams may run a step. Tickets
// are by upstream.
type AdviseFunc func(ctx context.Context, step string, upstreams []string) (tickets map[string]string, valid time.Duration, err error)

// Owner runs one shard.
type Owner struct {
	Held             bbrclaim.HeldClaim
	Shard            bbrwork.Shard
	Store            *bbrkv.Store
	Client           *bbrorder.Client
	Advise           AdviseFunc
	ListIncarnations ListIncarnationsFunc
	Metrics          *bbrmetric.Set
	Timing           bbrscheduler.Timing
	// Confirmed tells whether the claim's lease still stands for certain.
	Confirmed func(now time.Time) bool
	// Config returns the configuration in force.
	Config func() *bbrwork.Config
	// Registered returns the shard's upstreams that the store lists, with their
	// version; none where that is the known one.
	Registered func(shard bbrwork.Shard, known bbrregistry.Version) ([]bbrwork.Upstream, bbrregistry.Version)
	// Reserved returns the upstreams that planned work takes, and the revision
	// of their last change.
	Reserved func() (map[string]bool, bbrkv.Revision)

	mu     sync.Mutex
	ledger *bbrscheduler.Scheduler
	// loaded is the revision as of which everything stored is in the ledger.
	loaded bbrkv.Revision
	// registry is the version of the registrations that the ledger knows.
	registry bbrregistry.Version
	version  int64
	// reservation is the revision of the reservations that the ledger knows.
	reservation bbrkv.Revision
	// cleared is what the ledger last reported as cleared.
	cleared []string
	// loadTold is when the last line about the load was written.
	loadTold time.Time
	holders  map[string]*holder
	wg       sync.WaitGroup
	wake     chan struct{}
	flushNow chan struct{}
	// storedOnce is closed when something was stored; nil while nobody waits.
	storedOnce chan struct{}
	sequence   sequence
	// replaced ends the owner.
	replaced context.CancelFunc
}

const (
	// planEvery bounds the time between two plans; events ask for one earlier.
	planEvery = 100 * time.Millisecond
	// planGather is the least time between two plans. They are further apart where
	// planning itself takes long, so that orders and answers get their turn.
	planGather    = 4 * time.Millisecond
	planShare     = 4
	maxPlanGather = 40 * time.Millisecond
	loadRetry     = 150 * time.Millisecond
)

// Run owns the shard until ctx ends or the claim turns out to be lost.
func (o *Owner) Run(ctx context.Context) {
	ctx, o.replaced = context.WithCancel(ctx)
	defer o.replaced()
	o.wake = make(chan struct{}, 1)
	o.flushNow = make(chan struct{}, 1)
	o.holders = make(map[string]*holder)
	began := time.Now()
	at, ok := o.load(ctx, began)
	if !ok {
		return
	}
	klog.InfoS("Owner began", "shard", o.Shard, "token", o.Held.Token, "jobs", o.ledger.JobCount(), "took", time.Since(began).Round(time.Millisecond))
	jobs := bbrkv.Follower{Store: o.Store, Prefix: bbrrecord.JobPrefixOf(o.Shard), WatchTimeout: jobWatch, BatchDelay: jobGather, OnSnapshot: o.jobsSnapshot, OnChange: o.jobChanged}
	jobs.StartAfter(at, began)
	o.wg.Go(func() { jobs.Run(ctx) })
	o.wg.Go(func() { o.runCancels(ctx) })
	o.wg.Go(func() { o.runTruth(ctx) })
	flushing, endFlushing := context.WithCancel(context.WithoutCancel(ctx))
	defer endFlushing()
	var flushed sync.WaitGroup
	f := &flusher{owner: o}
	flushed.Go(func() { f.run(flushing) })
	o.loop(ctx)
	o.wg.Wait()
	endFlushing()
	flushed.Wait()
	o.countWaits(bbrscheduler.WaitSummary{})
	klog.InfoS("Owner ended", "shard", o.Shard, "token", o.Held.Token)
}

// jobWatch is how long a watch for jobs lasts. One that hears nothing of what
// changes delays jobs by that much at most.
const jobWatch = 300 * time.Millisecond

// jobGather is the pause after events of jobs; it delays a job's start.
const jobGather = 30 * time.Millisecond

// loop plans until ctx ends.
func (o *Owner) loop(ctx context.Context) {
	timer := time.NewTicker(planEvery)
	defer timer.Stop()
	for {
		began := time.Now()
		o.round(ctx, began)
		pause := min(maxPlanGather, planGather+planShare*time.Since(began))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-o.wake:
			bbrpause.For(ctx, pause)
		}
	}
}

// poke asks for a plan soon.
func (o *Owner) poke() { signal(o.wake) }

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

func (o *Owner) round(ctx context.Context, now time.Time) {
	o.mu.Lock()
	o.refresh(now)
	plan := o.ledger.Plan(o.Confirmed(now), now)
	o.startHolders(ctx)
	o.tellLoad(now)
	cleared := o.ledger.Drained(now)
	urgent := o.ledger.Urgent() || !slices.Equal(cleared, o.cleared)
	o.cleared = cleared
	notes, dropped := o.ledger.Notes()
	o.mu.Unlock()
	o.log(notes, dropped)
	o.carryOut(ctx, plan)
	if urgent {
		signal(o.flushNow)
	}
}

// refresh tells the ledger of a new configuration and of changed registrations.
func (o *Owner) refresh(now time.Time) {
	if config := o.Config(); config != nil && config.Version != o.version {
		o.version = config.Version
		o.ledger.SetConfig(config)
	}
	if reserved, revision := o.Reserved(); revision > o.reservation {
		o.reservation = revision
		o.ledger.SetReserved(reserved, now)
	}
	registered, version := o.Registered(o.Shard, o.registry)
	if version == o.registry {
		return
	}
	o.registry = version
	listed := make(map[string]bool, len(registered))
	for _, up := range registered {
		listed[up.ID] = true
		o.ledger.RegisterUpstream(up, now)
	}
	for id := range o.holders {
		if !listed[id] {
			o.ledger.UnregisterUpstream(id, now)
		}
	}
}

func (o *Owner) startHolders(ctx context.Context) {
	for _, id := range o.ledger.UpstreamIDs() {
		if o.holders[id] == nil {
			h := &holder{owner: o, id: id, wake: make(chan struct{}, 1)}
			o.holders[id] = h
			o.wg.Go(func() { h.loop(ctx) })
		}
	}
}

func (o *Owner) carryOut(ctx context.Context, plan bbrscheduler.Plan) {
	for _, order := range plan.Stops {
		s := o.stop(order)
		o.wg.Go(func() { s.run(ctx) })
	}
	for _, order := range plan.Starts {
		s := &starting{owner: o, order: order}
		o.wg.Go(func() { s.run(ctx) })
	}
	for _, order := range plan.Paces {
		p := o.pace(order)
		o.wg.Go(func() { p.run(ctx) })
	}
	for _, order := range plan.AdviceRequests {
		a := &asking{owner: o, order: order}
		o.wg.Go(func() { a.run(ctx) })
	}
}

// log writes the ledger's decisions.
func (o *Owner) log(notes []bbrscheduler.Note, dropped int) {
	for _, note := range notes {
		klog.InfoS(note.Text, append([]any{"shard", o.Shard, "token", o.Held.Token}, note.Fields...)...)
	}
	if dropped > 0 {
		klog.InfoS("Decisions not logged", "shard", o.Shard, "count", dropped)
	}
}

// lost ends the owner because the claim is not its own any more.
func (o *Owner) lost(why string) {
	klog.InfoS("Owner replaced", "shard", o.Shard, "token", o.Held.Token, "reason", why)
	o.replaced()
}

// load reads everything that is stored of the shard. It returns the revision
// from which changes are to be followed.
func (o *Owner) load(ctx context.Context, began time.Time) (bbrkv.Revision, bool) {
	for ctx.Err() == nil {
		at, err := o.tryLoad(ctx, began)
		if err == nil {
			return at, true
		}
		klog.InfoS("Owner cannot load yet", "shard", o.Shard, "reason", err.Error())
		bbrpause.For(ctx, loadRetry)
	}
	return 0, false
}

func (o *Owner) tryLoad(ctx context.Context, began time.Time) (bbrkv.Revision, error) {
	sequence, err := o.Store.Get(ctx, bbrrecord.SequenceKey(o.Shard))
	fresh := errors.Is(err, bbrkv.ErrNotFound)
	if err != nil && !fresh {
		return 0, err
	}
	progress, _, err := o.Store.ReadAll(ctx, bbrrecord.ProgressPrefixOf(o.Shard))
	if err != nil {
		return 0, err
	}
	reserved, err := o.Store.Get(ctx, bbrclaim.ReservedKey)
	if err != nil && !errors.Is(err, bbrkv.ErrNotFound) {
		return 0, err
	}
	taken, err := bbrclaim.ParseReserved(reserved)
	if err != nil {
		return 0, err
	}
	lives, err := o.loadLives(ctx)
	if err != nil {
		return 0, err
	}
	jobs, at, err := o.Store.ReadAll(ctx, bbrrecord.JobPrefixOf(o.Shard))
	if err != nil {
		return 0, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sequence.revision = sequence.Revision
	o.ledger = bbrscheduler.New(o.Shard, int64(o.Held.Token), o.Timing, fresh, began)
	if config := o.Config(); config != nil {
		o.version = config.Version
		o.ledger.SetConfig(config)
	}
	o.reservation = reserved.Revision
	o.ledger.SetReserved(taken, time.Now())
	o.accept(jobs, progress, time.Now())
	o.ledger.FinishLoading(lives, horizonOf(sequence), time.Now())
	o.loaded = at
	return at, nil
}

// horizonOf returns the horizon that an earlier owner stored; 0, which allows that
// it began any job, where the record tells none.
func horizonOf(sequence bbrkv.Item) bbrkv.Revision {
	if len(sequence.Value) == 0 {
		return 0
	}
	var record bbrrecord.Sequence
	if err := json.Unmarshal(sequence.Value, &record); err != nil {
		klog.ErrorS(err, "Sequence unreadable, any job may have begun", "key", sequence.Key, "revision", sequence.Revision)
		return 0
	}
	return record.Horizon
}
