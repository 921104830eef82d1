package bbrmaintenance

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrlog"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// WaveFormat defines the keys and values under which the store holds waves and their
// status.
type WaveFormat struct {
	Prefix       string
	Decode       func(value []byte) (bbrmachine.Wave, error)
	StatusKey    func(wave int64) string
	EncodeStatus func(completed bool) []byte
}

// Controller moves and maintains the fleet's instances while the entry is the fleet
// leader.
type Controller struct {
	Held       bbrclaim.HeldClaim
	Entry      string
	Store      *bbrkv.Store
	Fleet      *bbrmachine.Fleet
	WaveFormat WaveFormat
	Metrics    *bbrmetric.Set
	// Confirmed reports whether the claim's lease is known to be still valid.
	Confirmed func(now time.Time) bool
	// Pools returns the pools of instances of the configuration in force.
	Pools func() []Pool
	// Registered reports whether the store lists an upstream ID.
	Registered func(upstream string) bool
	// HasOwner reports whether a pool's instances have an owner that places work on
	// them.
	HasOwner func(pool string) bool
	// Directives returns the operators' directives for instances.
	Directives func() bbrmachine.Directives
	// EntryMilliCPU returns the processor capacity, in thousandths of a core, of the
	// entry at the rank when entries are sorted by descending capacity.
	EntryMilliCPU func(rank int) int
	// LeaderLease is the minimum time between the last order of a fleet leader and the
	// first order of its successor.
	LeaderLease time.Duration
	// HandOver reports whether the leader is to release its claim now, as its rounds are
	// late. It is nil if leaders keep their claims.
	HandOver func(ledSince, now time.Time) bool

	// lateness is how late the rounds are by the leader's own fault. It is used by Run only.
	lateness bbrclaim.Lateness
	// planTime is how long the last round planned, without its calls.
	planTime time.Duration
	planner  *Planner
	// directives are those last passed to the planner.
	directives bbrmachine.Directives
	// wavesReadAt and listedAt are when waves and instances were last requested.
	wavesReadAt, listedAt time.Time
	// poolsLoggedAt is when the state of the pools was last logged.
	poolsLoggedAt time.Time
	// drained holds the upstream IDs that their owners reported as drained while they
	// were reserved.
	drained map[string]bool
	// reports holds the last report of each shard's owner; reportsReadAt is when the
	// reports were last read.
	reports       map[bbrwork.Shard]ownerReport
	reportsReadAt time.Time
	// unreadableRevisions holds the revisions of the reports that cannot be decoded.
	unreadableRevisions map[string]bbrkv.Revision
	// cells is the last stored division into cells, and cellsRevision the revision of its item.
	// cellsKnown means that no later one may have been stored.
	cells         *bbrcell.Cells
	cellsRevision bbrkv.Revision
	cellsKnown    bool
	// reserved are the reservations that are certainly stored, and reservedKnown means that
	// there are no others. reservedRevision is the revision of their item as last known, and
	// reservedSince has the one as of which each is known to be in it.
	reserved         []string
	reservedKnown    bool
	reservedRevision bbrkv.Revision
	reservedSince    map[string]bbrkv.Revision
	held             heldBytes
	// inheritedReserved are the reservations of earlier leaders. They stay as long as orders
	// of these leaders may arrive.
	inheritedReserved []string
	storedWaves       map[int64]storedWave
	// mu guards planner and inFlight, which order calls also access.
	mu sync.Mutex
	// inFlight holds the instances for which an order call is in flight.
	inFlight map[string]bool
	intents  intents
	wg       sync.WaitGroup
}

const (
	roundInterval = 120 * time.Millisecond
	// waveReadInterval is the time between two reads of the waves.
	waveReadInterval = 700 * time.Millisecond
	// listInterval is the time between two lists of the instances while a wave or a task
	// is open, and idleListInterval otherwise.
	listInterval     = 400 * time.Millisecond
	idleListInterval = 5 * time.Second
)

// WaveRecord is the stored progress of a wave. Done lists the instances that have had
// their maintenance.
type WaveRecord struct {
	Done      []string  `json:"done"`
	StartTime time.Time `json:"began"`
}

// storedWave summarises the last stored progress of a wave. Instances that are done stay
// done, so their number identifies the progress.
type storedWave struct {
	done      int
	completed bool
}

// waveKeyPrefix is the key prefix of the stored progress of waves.
const waveKeyPrefix = "bbr/duty/wave/"

// WaveKey returns the key of a wave's stored progress.
func WaveKey(number int64) string { return waveKeyPrefix + bbrrecord.Number(number) }

// Run carries out waves and moves until ctx ends. An instance for which an earlier leader
// may have sent an order is left alone until that order can no longer arrive.
func (controller *Controller) Run(ctx context.Context, maintenanceTime time.Duration) {
	controller.planner = NewPlanner(maintenanceTime)
	controller.drained = make(map[string]bool)
	controller.reports = make(map[bbrwork.Shard]ownerReport)
	controller.storedWaves = make(map[int64]storedWave)
	controller.inFlight = make(map[string]bool)
	controller.intents = intents{claim: controller.Held, store: controller.Store, minInterval: controller.LeaderLease + maxOrderTransit}
	if !controller.loadEarlier(ctx) {
		return
	}
	failing, startedAt := false, time.Now()
	for ctx.Err() == nil {
		err := controller.round(ctx, time.Now())
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			klog.InfoS("Fleet controller health changed", "token", controller.Held.Token, "failing", failing, "reason", bbrlog.ErrorText(err))
		}
		pausedAt := time.Now()
		bbrpause.For(ctx, roundInterval)
		if now := time.Now(); controller.mustHandOver(controller.planTime+now.Sub(pausedAt), startedAt, now) {
			break
		}
	}
	controller.wg.Wait()
	controller.resign()
}

// mustHandOver records how long the last round planned and paused, and reports whether the
// leader has to release its claim, since its rounds have been late. Calls do not count: the
// store and the platform may be slow for all entries.
func (controller *Controller) mustHandOver(ownTime time.Duration, ledSince, now time.Time) bool {
	if controller.HandOver == nil || !controller.lateness.RecordPause(ownTime, roundInterval) || !controller.Confirmed(now) {
		return false
	}
	late := controller.lateness.Reset()
	if !controller.HandOver(ledSince, now) {
		return false
	}
	klog.InfoS("Handing over the fleet leadership, as its rounds are late", "token", controller.Held.Token, "late", late, "led", now.Sub(ledSince).Round(time.Millisecond))
	return true
}

// resign stores the instances that a successor has to wait for, and no others.
func (controller *Controller) resign() {
	var err error
	if controller.Confirmed(time.Now()) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		err = controller.intents.save(ctx, time.Now())
	}
	klog.InfoS("Fleet leadership ended", "token", controller.Held.Token, "error", bbrlog.ErrorText(err))
}

// loadEarlier reads the orders that earlier leaders may have sent and their reservations,
// and retries until it succeeds. It returns false if ctx ends first.
func (controller *Controller) loadEarlier(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := errors.CombineErrors(controller.intents.load(ctx), controller.loadReserved(ctx))
		if err == nil {
			klog.InfoS("Fleet leadership began", "token", controller.Held.Token, "waitsFor", len(controller.intents.inherited), "atMost", controller.intents.minInterval,
				"reserved", len(controller.inheritedReserved))
			return true
		}
		klog.InfoS("Cannot read the orders and reservations of earlier fleet leaders, retrying", "reason", err.Error())
		bbrpause.For(ctx, roundInterval)
	}
	return false
}

// maxOrderTransit is how long an order of an earlier leader may be in flight.
const maxOrderTransit = 300 * time.Millisecond

// round makes one pass: it reads what is new, plans, and sends and stores the result. Its
// writes are concurrent, so that moves are not delayed twice while the store is slow.
func (controller *Controller) round(ctx context.Context, now time.Time) error {
	readErr := controller.read(ctx, now)
	planStart := time.Now()
	controller.mu.Lock()
	if abandoned := controller.planner.abandonStalledMoves(now); len(abandoned) > 0 {
		klog.InfoS("Moves abandoned", "instances", abandoned, "token", controller.Held.Token)
	}
	controller.planner.SetInDoubt(controller.intents.inDoubt(now))
	controller.updateDirectives(now)
	pools := controller.Pools()
	partitions := controller.planner.Balance(controller.requests(pools, now), findSparePool(pools), controller.Registered, now)
	controller.countShortfalls(partitions)
	controller.logPools(partitions, now)
	orders := controller.planner.NextOrders(controller.isDrained, now)
	controller.mu.Unlock()
	controller.planTime = time.Since(planStart)
	var saved, sent, held error
	var writing sync.WaitGroup
	writing.Go(func() { held = controller.storeHeldBytes(ctx, now) })
	writing.Go(func() { saved = controller.save(ctx) })
	writing.Go(func() { sent = controller.recordAndSend(ctx, orders) })
	writing.Wait()
	return errors.CombineErrors(errors.CombineErrors(sent, saved), errors.CombineErrors(readErr, held))
}

// recordAndSend sends the orders once the store has their intents. It does not depend on
// what save stores: orders rest on reservations that an earlier round stored.
func (controller *Controller) recordAndSend(ctx context.Context, orders []Order) error {
	if err := controller.intents.record(ctx, orders, time.Now()); err != nil {
		return err
	}
	// The lease may have run out while the calls above were made.
	if controller.Confirmed(time.Now()) {
		controller.sendOrders(ctx, orders)
	}
	return nil
}

// read concurrently reads waves, instances and reports. What cannot be read keeps its
// last known value, by which the round decides.
func (controller *Controller) read(ctx context.Context, now time.Time) error {
	var waves, instances, reports error
	var reading sync.WaitGroup
	reading.Go(func() { waves = controller.readWaves(ctx, now) })
	reading.Go(func() { instances = controller.listInstances(ctx, now) })
	reading.Go(func() { reports = controller.readReports(ctx, now) })
	reading.Wait()
	return errors.CombineErrors(errors.CombineErrors(waves, instances), reports)
}

// countShortfalls counts the partitions that the round left below their target size.
func (controller *Controller) countShortfalls(partitions []PartitionState) {
	for _, partition := range partitions {
		if partition.Shortfall != ShortfallNone {
			controller.Metrics.CapacityShortfall(string(partition.Shortfall))
		}
	}
}

// poolLogInterval is the time between two logs of the state of the pools.
const poolLogInterval = 2 * time.Second

func (controller *Controller) logPools(partitions []PartitionState, now time.Time) {
	if now.Sub(controller.poolsLoggedAt) < poolLogInterval {
		return
	}
	controller.poolsLoggedAt = now
	for _, partition := range partitions {
		demand := controller.reports[bbrwork.Shard{Service: partition.Pool, Cell: partition.Cell}].demand
		klog.InfoS("Pool", "pool", partition.Pool, "cell", partition.Cell, "token", controller.Held.Token, "size", partition.Size, "want", partition.Target, "shortfall", partition.Shortfall, "up", partition.Up,
			"inWork", partition.Leaving, "askedMilliCPU", demand.MilliCPU, "heldMilliCPU", demand.HeldMilliCPU, "lastingMilliCPU", demand.LongRunningMilliCPU, "keep", demand.MinUpstreams, "spread", demand.SpreadUpstreams, "whole", demand.Exclusive, "occupied", demand.Occupied, "labelled", demand.ExclusiveByLabel, "give", len(demand.Releasable), "needed", len(demand.Needed), "listAge", now.Sub(controller.listedAt).Round(time.Millisecond), "reportsAge", now.Sub(controller.reportsReadAt).Round(time.Millisecond))
	}
}

// listInstances requests the list of instances if the last one is too old.
func (controller *Controller) listInstances(ctx context.Context, now time.Time) error {
	controller.mu.Lock()
	open := controller.planner.HasOpenWork()
	controller.mu.Unlock()
	interval := idleListInterval
	if open {
		interval = listInterval
	}
	if now.Sub(controller.listedAt) < interval {
		return nil
	}
	instances, err := controller.Fleet.List(ctx)
	if err != nil {
		return err
	}
	if err := controller.assignCells(ctx, instances); err != nil {
		return err
	}
	controller.listedAt = now
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.planner.UpdateInstances(instances, now)
	return nil
}

// Pool is a pool of instances.
type Pool struct {
	Name string
	// Spare means that the pool's instances are switched off.
	Spare bool
}

func findSparePool(pools []Pool) string {
	for _, pool := range pools {
		if pool.Spare {
			return pool.Name
		}
	}
	return ""
}

// save stores what changed: the reservations, which owners observe, the progress of
// waves, and their status for operators. Each transaction has the reservations.
func (controller *Controller) save(ctx context.Context) error {
	controller.mu.Lock()
	reserved, progress := controller.wantedReservations(time.Now()), controller.planner.Progress()
	controller.mu.Unlock()
	transaction := controller.reservationsTransaction(reserved)
	stored := make(map[int64]storedWave)
	for _, wave := range progress {
		state := storedWave{done: len(wave.Done), completed: wave.Completed}
		if controller.storedWaves[wave.Wave] == state || len(transaction.Puts) > maxPuts {
			continue
		}
		stored[wave.Wave] = state
		transaction.Puts = append(transaction.Puts,
			bbrkv.Put{Key: WaveKey(wave.Wave), Value: bbrrecord.Encode(WaveRecord{Done: wave.Done, StartTime: wave.StartTime})},
			bbrkv.Put{Key: controller.WaveFormat.StatusKey(wave.Wave), Value: controller.WaveFormat.EncodeStatus(wave.Completed)})
	}
	if len(stored) == 0 && controller.reservedKnown && slices.Equal(reserved, controller.reserved) {
		return nil
	}
	if err := controller.commitReservations(ctx, transaction, reserved); err != nil {
		return err
	}
	for wave, state := range stored {
		controller.storedWaves[wave] = state
		klog.InfoS("Wave progress stored", "wave", wave, "done", state.done, "completed", state.completed, "token", controller.Held.Token)
	}
	return nil
}

// maxPuts leaves space for a wave's two puts in a transaction.
const maxPuts = bbrkv.MaxTransactionSize - 4
