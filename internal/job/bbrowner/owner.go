package bbrowner

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrregistry"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// AdviseFunc asks the advice service which upstreams may run a step. It returns
// their tickets by upstream ID, and how long the tickets are valid; 0 if the answer
// does not say.
type AdviseFunc func(ctx context.Context, step string, upstreams []string) (tickets map[string]string, ttl time.Duration, err error)

// Owner runs the jobs of one shard while its entry has the shard's claim.
type Owner struct {
	Held             bbrclaim.HeldClaim
	Shard            bbrwork.Shard
	Store            *bbrkv.Store
	Client           *bbrorder.Client
	Advise           AdviseFunc
	ListIncarnations ListIncarnationsFunc
	Metrics          *bbrmetric.Set
	Timing           bbrscheduler.Timing
	// Confirmed reports whether the claim's lease is certainly valid at now.
	Confirmed func(now time.Time) bool
	// Config returns the configuration in force.
	Config func() *bbrwork.Config
	// Registered returns the upstreams of the shard that are registered in the store,
	// and the version of that list; no upstreams if that is the known version.
	Registered func(shard bbrwork.Shard, known bbrregistry.Version) ([]bbrwork.Upstream, bbrregistry.Version)
	// Reserved returns the upstreams that are reserved for maintenance and moves, and
	// the revision of the last change to them.
	Reserved func() (map[string]bool, bbrkv.Revision)
	// ConfigKey is the key of the configuration in the store.
	ConfigKey string
	// ShardCount returns how many shards share the caps of organisations; nil means
	// that there is one.
	ShardCount func() int
	// PublishRoom makes the owner determine the shard's room.
	PublishRoom bool
	// HandOver reports whether the owner is to release its claim now, as its planning
	// rounds are late. It is nil if owners keep their claims.
	HandOver func(ownedSince, now time.Time) bool
	// HandOverOverdue reports whether the owner is to release its claim now, as it is late
	// and overdue with the renewal of leases. It is nil if it keeps its claim then.
	HandOverOverdue func(ownedSince, now time.Time) bool
	// HandOverUnloaded reports whether the owner is to release its claim now, as nothing of
	// the shard that it loads has arrived for the idle time. It is nil if it keeps its claim.
	HandOverUnloaded func(idle time.Duration, ownedSince, now time.Time) bool
	// StartSlots bounds the starts in flight of the entry's owners; nil for no bound.
	StartSlots *StartSlots
	// HeldMemory bounds what the entry's owners hold of their jobs; nil for no bound.
	HeldMemory *bbrscheduler.HeldMemory
	// FairShares makes organisations share the capacity by weight while it is short.
	FairShares bool
	// ReserveCapacity means that wide work may reserve capacity, and that urgent work may
	// preempt.
	ReserveCapacity bool
	// SeparateInterfering means that images that slow each other down are kept apart.
	SeparateInterfering bool
	// Cells returns the division of the fleet; nil if jobs stay in their cell.
	Cells func() *bbrcell.Cells
	// ReroutedQueues returns the queues for which a record says that the shard has open jobs of them
	// though they are routed to another service; it is nil if no such records are stored.
	ReroutedQueues func(shard bbrwork.Shard) []string
	// NotifyOwner notifies the owner of a job's shard, without waiting, that the job was
	// stored at the revision. It may be nil.
	NotifyOwner func(job *bbrwork.Job, stored bbrkv.Revision, now time.Time)

	mu        sync.Mutex
	scheduler *bbrscheduler.Scheduler
	// followedRevision is the revision up to which all events of jobs have been applied, and
	// eventRevision that of the last one. They are used by the follower of jobs only.
	followedRevision, eventRevision bbrkv.Revision
	// registryVersion is the version of the registrations that the scheduler has.
	registryVersion bbrregistry.Version
	configVersion   int64
	// reservedRevision is the revision of the reservations that the scheduler has.
	reservedRevision bbrkv.Revision
	// drained has the reserved upstreams that were drained at the last plan.
	drained []string
	// crashCounts, reservationCounts, vacancyCounts and separationCounts are what the metrics
	// have already.
	crashCounts       bbrscheduler.CrashCounts
	reservationCounts bbrscheduler.ReservationCounts
	vacancyCounts     bbrscheduler.VacancyCounts
	separationCounts  bbrscheduler.SeparationCounts
	// lapses and leaseCounts are what the metrics have already.
	lapses      map[bbrscheduler.LapseCause]int
	leaseCounts bbrscheduler.LeaseCounts
	// room is the room as of the last determination, which began at roomUpdatedAt.
	room          atomic.Pointer[publishedRoom]
	roomUpdatedAt time.Time
	// lateness is how late the planning rounds are. It is used by loop only.
	lateness bbrclaim.Lateness
	// delays is by how much planning rounds are late. It is used by loop only.
	delays planDelays
	// overdue is the state of handsOverOverdue. It is used by loop only.
	overdue overdueState
	// backlog is the size of the backlog as last determined.
	backlog backlogSize
	// startedAt is when Run began.
	startedAt time.Time
	// loading is what has been read of the shard.
	loading loadState
	// loadLoggedAt is when the load was last logged.
	loadLoggedAt time.Time
	renewers     map[string]*leaseRenewer
	wg           sync.WaitGroup
	wake         chan struct{}
	flushNow     chan struct{}
	// adjustShares wakes the quota keeper.
	adjustShares chan struct{}
	quota        *quotaKeeper
	// nextStored is closed after the next transaction; nil while nothing waits for it.
	nextStored chan struct{}
	commits    commitState
	settlement settlement
	transfers  transfers
	// staleCrashKeys has the keys of crash records whose jobs have ended under an
	// owner that does not know such records. They are removed with later transactions.
	staleCrashKeys []string
	// cancelRun ends Run.
	cancelRun context.CancelFunc
}

const (
	// planInterval bounds the time between two plans; events cause earlier ones.
	planInterval = 100 * time.Millisecond
	// The pause between two plans is minPlanPause plus planPauseFactor times what the
	// last plan took, but at most maxPlanPause: planning holds the owner's lock, which
	// orders and answers need as well.
	minPlanPause    = 4 * time.Millisecond
	planPauseFactor = 4
	maxPlanPause    = 40 * time.Millisecond
	loadRetryDelay  = 150 * time.Millisecond
)

// Run runs the shard's jobs until ctx ends or another owner turns out to have the
// claim.
func (o *Owner) Run(ctx context.Context) {
	ctx, o.cancelRun = context.WithCancel(ctx)
	defer o.cancelRun()
	o.wake = make(chan struct{}, 1)
	o.flushNow = make(chan struct{}, 1)
	o.adjustShares = make(chan struct{}, 1)
	o.renewers = make(map[string]*leaseRenewer)
	start := time.Now()
	o.startedAt = start
	o.loading.start(start)
	monitor := &loadMonitor{owner: o}
	o.wg.Go(func() { monitor.run(ctx) })
	records, ok := o.readStoredRecords(ctx)
	if !ok {
		o.wg.Wait()
		return
	}
	o.begin(records, start, time.Now())
	amount := o.loading.amount()
	klog.InfoS("Owner started", "shard", o.Shard, "token", o.Held.Token, "items", amount.Items, "bytes", amount.Bytes, "took", time.Since(start).Round(time.Millisecond))
	jobs := bbrkv.Follower{Store: o.Store, Prefix: bbrrecord.JobPrefixOf(o.Shard), WatchTimeout: jobWatchTimeout, BatchDelay: jobEventDelay, OnSnapshot: o.jobsSnapshot, OnChange: o.jobChanged, OnAnswer: o.jobsFollowed}
	// Earlier owners can store nothing after the claim.
	jobs.StartAfter(o.Held.Token, start)
	o.followedRevision, o.eventRevision = o.Held.Token, o.Held.Token
	loader := newLoader(o)
	o.wg.Go(func() { loader.run(ctx) })
	o.wg.Go(func() { jobs.Run(ctx) })
	o.wg.Go(func() { o.runCancellations(ctx) })
	o.wg.Go(func() { o.runVerification(ctx) })
	o.wg.Go(func() { o.quota.run(ctx) })
	o.wg.Go(func() { o.runTransfers(ctx) })
	flushCtx, cancelFlush := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelFlush()
	var flushed sync.WaitGroup
	f := &flusher{owner: o}
	flushed.Go(func() { f.run(flushCtx) })
	o.loop(ctx)
	o.wg.Wait()
	cancelFlush()
	flushed.Wait()
	o.clearMetrics()
	o.mu.Lock()
	o.scheduler.Discard()
	o.mu.Unlock()
	klog.InfoS("Owner stopped", "shard", o.Shard, "token", o.Held.Token)
}

// clearMetrics removes the gauges of the shard, which another owner sets from now on.
func (o *Owner) clearMetrics() {
	shard := o.Shard.String()
	o.updateWaitMetrics(bbrscheduler.WaitSummary{})
	o.Metrics.ClearUnlocated(shard)
	o.Metrics.ClearOrganisations(shard)
	o.Metrics.ClearSuspects(shard)
	o.Metrics.ClearRoom(shard)
	o.Metrics.ClearReservations(shard)
	o.Metrics.ClearVacated(shard)
	o.Metrics.ClearInterferingPairs(shard)
	o.Metrics.ClearExcluded(shard)
	o.Metrics.ClearLateWork(shard)
	o.Metrics.ClearUnsettled(shard)
}

// jobWatchTimeout is how long a watch for jobs lasts. It bounds the delay of jobs
// when a watch misses a change.
const jobWatchTimeout = 300 * time.Millisecond

// jobEventDelay is the pause after events of jobs, in which more of them are
// collected. It delays the start of jobs.
const jobEventDelay = 30 * time.Millisecond

// loop plans until ctx ends or the owner hands over.
func (o *Owner) loop(ctx context.Context) {
	timer := time.NewTicker(planInterval)
	defer timer.Stop()
	for {
		start := time.Now()
		o.recordRound(start)
		if o.mustHandOver(start) {
			o.cancelRun()
			return
		}
		o.planOnce(ctx, start)
		o.delays.end(time.Now())
		pause := min(maxPlanPause, minPlanPause+planPauseFactor*time.Since(start))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-o.wake:
			bbrpause.For(ctx, pause)
		}
	}
}

// requestPlan wakes the loop, so that it plans soon.
func (o *Owner) requestPlan() { signal(o.wake) }

// signal fills a channel of capacity 1, unless a signal is pending in it already.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// planOnce updates the scheduler, plans, and starts to carry out the plan.
func (o *Owner) planOnce(ctx context.Context, now time.Time) {
	o.mu.Lock()
	o.refresh(now)
	plan := o.scheduler.Plan(o.Confirmed(now), now)
	o.startRenewers(ctx)
	o.recordHorizon(now)
	o.reportUnsettled(now)
	o.logLoad(now)
	o.updateRoom(now)
	drained := o.scheduler.Drained(now)
	urgent := o.scheduler.Urgent() || !slices.Equal(drained, o.drained)
	o.drained = drained
	notes, dropped := o.scheduler.Notes()
	shareWanted := o.scheduler.QuotaWanted(o.shardCount())
	o.mu.Unlock()
	o.logNotes(notes, dropped)
	o.execute(ctx, plan)
	if urgent {
		signal(o.flushNow)
	}
	if shareWanted {
		signal(o.adjustShares)
	}
}

// refresh passes a new configuration, changed reservations and changed registrations
// to the scheduler.
func (o *Owner) refresh(now time.Time) {
	if config := o.Config(); config != nil && config.Version != o.configVersion {
		o.configVersion = config.Version
		o.scheduler.SetConfig(config)
	}
	if reserved, revision := o.Reserved(); revision > o.reservedRevision {
		o.reservedRevision = revision
		o.scheduler.SetReserved(reserved, now)
	}
	registered, version := o.Registered(o.Shard, o.registryVersion)
	if version == o.registryVersion {
		return
	}
	o.registryVersion = version
	listed := make(map[string]bool, len(registered))
	for _, up := range registered {
		listed[up.ID] = true
		o.scheduler.RegisterUpstream(up, now)
	}
	for id := range o.renewers {
		if !listed[id] {
			o.scheduler.UnregisterUpstream(id, now)
		}
	}
}

// startRenewers starts a renewer for each upstream that has none. The caller holds
// the lock.
func (o *Owner) startRenewers(ctx context.Context) {
	for _, id := range o.scheduler.UpstreamIDs() {
		if o.renewers[id] == nil {
			renewer := &leaseRenewer{owner: o, id: id, wake: make(chan struct{}, 1)}
			o.renewers[id] = renewer
			o.wg.Go(func() { renewer.loop(ctx) })
		}
	}
}

// execute carries out the plan's orders in goroutines of their own.
func (o *Owner) execute(ctx context.Context, plan bbrscheduler.Plan) {
	for _, order := range plan.Stops {
		stop := o.newStopTask(order)
		o.wg.Go(func() { stop.run(ctx) })
	}
	for _, order := range plan.Starts {
		start := &startTask{owner: o, order: order}
		o.wg.Go(func() { start.run(ctx) })
	}
	for _, order := range plan.Paces {
		pace := o.newPaceTask(order)
		o.wg.Go(func() { pace.run(ctx) })
	}
	for _, request := range plan.AdviceRequests {
		advice := &adviceTask{owner: o, request: request}
		o.wg.Go(func() { advice.run(ctx) })
	}
}

// logNotes logs the scheduler's decisions, and how many were dropped.
func (o *Owner) logNotes(notes []bbrscheduler.Note, dropped int) {
	for _, note := range notes {
		klog.InfoS(note.Text, append([]any{"shard", o.Shard, "token", o.Held.Token}, note.Fields...)...)
	}
	if dropped > 0 {
		klog.InfoS("Scheduler decisions omitted from the log", "shard", o.Shard, "count", dropped)
	}
}

// stopReplaced ends the owner because another one has the claim.
func (o *Owner) stopReplaced(reason string) {
	klog.InfoS("Owner replaced", "shard", o.Shard, "token", o.Held.Token, "reason", reason)
	o.cancelRun()
}

// storedSequence returns the record that an earlier owner stored. It returns an empty one,
// which means that any job may have started, with any run numbers, if there is none or it
// cannot be decoded.
func storedSequence(sequence bbrkv.Item) bbrrecord.Sequence {
	if len(sequence.Value) == 0 {
		return bbrrecord.Sequence{}
	}
	var record bbrrecord.Sequence
	if err := json.Unmarshal(sequence.Value, &record); err != nil {
		klog.ErrorS(err, "Failed to decode the sequence record, assuming that any job may have started", "key", sequence.Key, "revision", sequence.Revision)
		return bbrrecord.Sequence{}
	}
	return record
}
