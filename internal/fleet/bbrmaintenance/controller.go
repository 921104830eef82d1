package bbrmaintenance

import (
	"context"
	"maps"
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

// WaveFormat is how waves are written and answered in the store.
type WaveFormat struct {
	Prefix       string
	Decode       func(value []byte) (bbrmachine.Wave, error)
	StatusKey    func(wave int64) string
	EncodeStatus func(completed bool) []byte
}

// Controller carries out the fleet duty while the entry holds it.
type Controller struct {
	Held       bbrclaim.HeldClaim
	Entry      string
	Store      *bbrkv.Store
	Fleet      *bbrmachine.Fleet
	WaveFormat WaveFormat
	Metrics    *bbrmetric.Set
	// Confirmed tells whether the claim's lease still stands for certain.
	Confirmed func(now time.Time) bool
	// Pools returns the pools of instances by the configuration in force.
	Pools func() []Pool
	// Registered tells whether the store lists a life of an upstream.
	Registered func(life string) bool
	// HasOwner tells whether a pool's instances have an owner that puts work on
	// them.
	HasOwner func(pool string) bool
	// Directives returns what operators ask of instances.
	Directives func() bbrmachine.Directives
	// EntryMilliCPU returns the processor time of the entry that comes at the place
	// among the strongest, in thousandths of a core.
	EntryMilliCPU func(place int) int
	// LeaderLease is the least time between the orders of two holders.
	LeaderLease time.Duration

	planner *Planner
	// directives are those that the planner was told last.
	directives bbrmachine.Directives
	// waveRead, listRead are when these were last asked for.
	wavesReadAt, listedAt time.Time
	// poolsLoggedAt is when the last lines about the pools were written.
	poolsLoggedAt time.Time
	// drained has the lives that their owners reported as cleared.
	drained map[string]bool
	// reports are by shard, as their owners last reported them; reportsRead is when the
	// reports were last read.
	reports       map[bbrwork.Shard]ownerReport
	reportsReadAt time.Time
	// unreadableRevisions has the revisions of the reports that cannot be read.
	unreadableRevisions map[string]bbrkv.Revision
	// cells is the newest division that was stored.
	cells *bbrcell.Cells
	// reserved are the reservations that this holder stored. lifted means that they
	// replaced those of earlier holders, whose orders cannot arrive any more.
	reserved             []string
	reservationsReplaced bool
	storedWaves          map[int64]storedWave
	mu                   sync.Mutex
	inFlight             map[string]bool
	intents              intents
	wg                   sync.WaitGroup
}

const (
	roundInterval = 120 * time.Millisecond
	// waveReadInterval is between two reads of the waves.
	waveReadInterval = 700 * time.Millisecond
	// listInterval is between two lists of the instances while a wave is open, and
	// listIdle otherwise.
	listInterval     = 400 * time.Millisecond
	idleListInterval = 5 * time.Second
)

// WaveRecord is the stored progress of a wave.
type WaveRecord struct {
	Done      []string  `json:"done"`
	StartTime time.Time `json:"began"`
}

// storedWave is what was last stored of a wave. Instances that are done stay so.
type storedWave struct {
	done      int
	completed bool
}

const waveKeyPrefix = "bbr/duty/wave/"

// WaveKey returns the key of a wave's stored progress.
func WaveKey(number int64) string { return waveKeyPrefix + bbrrecord.Number(number) }

// Run keeps until ctx ends. An instance that an earlier holder may have ordered
// waits until that order cannot arrive any more.
func (controller *Controller) Run(ctx context.Context, maintenanceTime time.Duration) {
	controller.planner = NewPlanner(maintenanceTime)
	controller.drained = make(map[string]bool)
	controller.reports = make(map[bbrwork.Shard]ownerReport)
	controller.storedWaves = make(map[int64]storedWave)
	controller.inFlight = make(map[string]bool)
	controller.intents = intents{claim: controller.Held, store: controller.Store, minInterval: controller.LeaderLease + maxOrderTransit}
	if !controller.loadIntents(ctx) {
		return
	}
	failing := false
	for ctx.Err() == nil {
		err := controller.round(ctx, time.Now())
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			klog.InfoS("Fleet duty changed", "token", controller.Held.Token, "failing", failing, "reason", bbrlog.Reason(err))
		}
		bbrpause.For(ctx, roundInterval)
	}
	controller.wg.Wait()
	controller.resign()
}

// resign leaves no more to a successor than it has to wait for.
func (controller *Controller) resign() {
	var err error
	if controller.Confirmed(time.Now()) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		err = controller.intents.save(ctx, time.Now())
	}
	klog.InfoS("Fleet duty ended", "token", controller.Held.Token, "error", bbrlog.Reason(err))
}

// loadIntents tries until it knows what earlier holders may have ordered.
func (controller *Controller) loadIntents(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := controller.intents.load(ctx)
		if err == nil {
			klog.InfoS("Fleet duty begins", "token", controller.Held.Token, "waitsFor", len(controller.intents.inherited), "atMost", controller.intents.minInterval)
			return true
		}
		klog.InfoS("Fleet duty cannot begin yet", "reason", err.Error())
		bbrpause.For(ctx, roundInterval)
	}
	return false
}

// maxOrderTransit is how long an order of an earlier holder may be on its way.
const maxOrderTransit = 300 * time.Millisecond

func (controller *Controller) round(ctx context.Context, now time.Time) error {
	readErr := controller.read(ctx, now)
	controller.mu.Lock()
	if abandoned := controller.planner.abandonStalledMoves(now); len(abandoned) > 0 {
		klog.InfoS("Moves given up", "instances", abandoned, "token", controller.Held.Token)
	}
	controller.planner.SetInDoubt(controller.intents.inDoubt(now))
	controller.updateDirectives(now)
	pools := controller.Pools()
	controller.logPools(controller.planner.Balance(controller.requests(pools, now), findSparePool(pools), controller.Registered, now), now)
	orders := controller.planner.NextOrders(controller.isDrained, now)
	controller.mu.Unlock()
	if err := controller.intents.record(ctx, orders, time.Now()); err != nil {
		return err
	}
	// The calls above may have taken long.
	if controller.Confirmed(time.Now()) {
		controller.sendOrders(ctx, orders)
	}
	return errors.CombineErrors(controller.save(ctx), readErr)
}

// read learns what is new, all at once. What cannot be read now stays as it was:
// a round decides by what is known.
func (controller *Controller) read(ctx context.Context, now time.Time) error {
	var waves, instances, reports error
	var reading sync.WaitGroup
	reading.Go(func() { waves = controller.readWaves(ctx, now) })
	reading.Go(func() { instances = controller.listInstances(ctx, now) })
	reading.Go(func() { reports = controller.readReports(ctx, now) })
	reading.Wait()
	return errors.CombineErrors(errors.CombineErrors(waves, instances), reports)
}

// poolLogInterval is between two lines about the pools.
const poolLogInterval = 2 * time.Second

func (controller *Controller) logPools(partitions []PartitionState, now time.Time) {
	if now.Sub(controller.poolsLoggedAt) < poolLogInterval {
		return
	}
	controller.poolsLoggedAt = now
	for _, partition := range partitions {
		demand := controller.reports[bbrwork.Shard{Service: partition.Pool, Cell: partition.Cell}].demand
		klog.InfoS("Pool", "pool", partition.Pool, "cell", partition.Cell, "token", controller.Held.Token, "size", partition.Size, "want", partition.Target, "up", partition.Up,
			"inWork", partition.Leaving, "askedMilliCPU", demand.MilliCPU, "lastingMilliCPU", demand.LongRunningMilliCPU, "keep", demand.MinUpstreams, "whole", demand.Exclusive, "occupied", demand.Occupied, "labelled", demand.ExclusiveByLabel, "give", len(demand.Releasable), "listAge", now.Sub(controller.listedAt).Round(time.Millisecond), "reportsAge", now.Sub(controller.reportsReadAt).Round(time.Millisecond))
	}
}

// listInstances asks for the instances.
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
	// Spare means that the pool's instances are off.
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

// save stores what changed: the reservations, which owners follow, the progress
// of waves and the operators' answers.
func (controller *Controller) save(ctx context.Context) error {
	controller.mu.Lock()
	reserved, progress := controller.planner.Reserved(time.Now()), controller.planner.Progress()
	controller.mu.Unlock()
	transaction := bbrkv.Transaction{Conditions: []bbrkv.Condition{controller.Held.Condition()}}
	replaceReservations := !controller.reservationsReplaced && time.Now().After(controller.intents.inheritedUntil)
	if replaceReservations || !slices.Equal(reserved, controller.reserved) {
		transaction.Puts = append(transaction.Puts, bbrkv.Put{Key: bbrclaim.ReservedKey, Value: bbrrecord.Encode(reserved)})
	}
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
	if len(transaction.Puts) == 0 {
		return nil
	}
	if _, err := controller.Store.Commit(ctx, transaction); err != nil {
		return err
	}
	controller.reserved, controller.reservationsReplaced = reserved, controller.reservationsReplaced || replaceReservations
	// A report on an instance that is left alone for a while says nothing of later.
	maps.DeleteFunc(controller.drained, func(upstream string, _ bool) bool { return !slices.Contains(reserved, upstream) })
	for wave, state := range stored {
		controller.storedWaves[wave] = state
		klog.InfoS("Wave stored", "wave", wave, "done", state.done, "completed", state.completed, "token", controller.Held.Token)
	}
	return nil
}

// maxPuts leaves room for a wave's two puts in a transaction.
const maxPuts = bbrkv.MaxTransactionSize - 4
