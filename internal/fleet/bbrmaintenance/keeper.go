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
	waveRead, listRead time.Time
	// told is when the last lines about the pools were written.
	told time.Time
	// cleared has the lives that their owners reported as cleared.
	cleared map[string]bool
	// demands are by shard, as their owners last reported them; reportsRead is when the
	// reports were last read.
	demands     map[bbrwork.Shard]reported
	reportsRead time.Time
	// unreadable has the revisions of the reports that cannot be read.
	unreadable map[string]bbrkv.Revision
	// divided is the newest division that was stored.
	divided *bbrcell.Cells
	// reserved are the reservations that this holder stored. lifted means that they
	// replaced those of earlier holders, whose orders cannot arrive any more.
	reserved []string
	lifted   bool
	stored   map[int64]waveState
	mu       sync.Mutex
	ordering map[string]bool
	intents  intents
	wg       sync.WaitGroup
}

const (
	keepEvery = 120 * time.Millisecond
	// waveEvery is between two reads of the waves.
	waveEvery = 700 * time.Millisecond
	// listEvery is between two lists of the instances while a wave is open, and
	// listIdle otherwise.
	listEvery = 400 * time.Millisecond
	listIdle  = 5 * time.Second
)

// WaveRecord is the stored progress of a wave.
type WaveRecord struct {
	Done      []string  `json:"done"`
	StartTime time.Time `json:"began"`
}

// waveState is what was last stored of a wave. Instances that are done stay so.
type waveState struct {
	done      int
	completed bool
}

const wavePrefix = "bbr/duty/wave/"

// WaveKey returns the key of a wave's stored progress.
func WaveKey(number int64) string { return wavePrefix + bbrrecord.Number(number) }

// Run keeps until ctx ends. An instance that an earlier holder may have ordered
// waits until that order cannot arrive any more.
func (k *Controller) Run(ctx context.Context, away time.Duration) {
	k.planner = NewPlanner(away)
	k.cleared = make(map[string]bool)
	k.demands = make(map[bbrwork.Shard]reported)
	k.stored = make(map[int64]waveState)
	k.ordering = make(map[string]bool)
	k.intents = intents{held: k.Held, store: k.Store, apart: k.LeaderLease + orderSlack}
	if !k.loadIntents(ctx) {
		return
	}
	failing := false
	for ctx.Err() == nil {
		err := k.round(ctx, time.Now())
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			klog.InfoS("Fleet duty changed", "token", k.Held.Token, "failing", failing, "reason", bbrlog.Reason(err))
		}
		bbrpause.For(ctx, keepEvery)
	}
	k.wg.Wait()
	k.resign()
}

// resign leaves no more to a successor than it has to wait for.
func (k *Controller) resign() {
	var err error
	if k.Confirmed(time.Now()) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		err = k.intents.save(ctx, time.Now())
	}
	klog.InfoS("Fleet duty ended", "token", k.Held.Token, "error", bbrlog.Reason(err))
}

// loadIntents tries until it knows what earlier holders may have ordered.
func (k *Controller) loadIntents(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := k.intents.load(ctx)
		if err == nil {
			klog.InfoS("Fleet duty begins", "token", k.Held.Token, "waitsFor", len(k.intents.inherited), "atMost", k.intents.apart)
			return true
		}
		klog.InfoS("Fleet duty cannot begin yet", "reason", err.Error())
		bbrpause.For(ctx, keepEvery)
	}
	return false
}

// orderSlack is how long an order of an earlier holder may be on its way.
const orderSlack = 300 * time.Millisecond

func (k *Controller) round(ctx context.Context, now time.Time) error {
	unread := k.read(ctx, now)
	k.mu.Lock()
	if given := k.planner.giveUp(now); len(given) > 0 {
		klog.InfoS("Moves given up", "instances", given, "token", k.Held.Token)
	}
	k.planner.SetInDoubt(k.intents.unsure(now))
	k.learnDirectives(now)
	pools := k.Pools()
	k.tell(k.planner.Balance(k.needs(pools, now), spareOf(pools), k.Registered, now), now)
	orders := k.planner.NextOrders(k.isCleared, now)
	k.mu.Unlock()
	if err := k.intents.record(ctx, orders, time.Now()); err != nil {
		return err
	}
	// The calls above may have taken long.
	if k.Confirmed(time.Now()) {
		k.send(ctx, orders)
	}
	return errors.CombineErrors(k.save(ctx), unread)
}

// read learns what is new, all at once. What cannot be read now stays as it was:
// a round decides by what is known.
func (k *Controller) read(ctx context.Context, now time.Time) error {
	var waves, instances, reports error
	var reading sync.WaitGroup
	reading.Go(func() { waves = k.readWaves(ctx, now) })
	reading.Go(func() { instances = k.list(ctx, now) })
	reading.Go(func() { reports = k.readReports(ctx, now) })
	reading.Wait()
	return errors.CombineErrors(errors.CombineErrors(waves, instances), reports)
}

// tellEvery is between two lines about the pools.
const tellEvery = 2 * time.Second

func (k *Controller) tell(parts []PartitionState, now time.Time) {
	if now.Sub(k.told) < tellEvery {
		return
	}
	k.told = now
	for _, part := range parts {
		asked := k.demands[bbrwork.Shard{Service: part.Pool, Cell: part.Cell}].demand
		klog.InfoS("Pool", "pool", part.Pool, "cell", part.Cell, "token", k.Held.Token, "size", part.Size, "want", part.Target, "up", part.Up,
			"inWork", part.Leaving, "askedMilliCPU", asked.MilliCPU, "lastingMilliCPU", asked.LongRunningMilliCPU, "keep", asked.MinUpstreams, "whole", asked.Exclusive, "occupied", asked.Occupied, "labelled", asked.ExclusiveByLabel, "give", len(asked.Releasable), "listAge", now.Sub(k.listRead).Round(time.Millisecond), "reportsAge", now.Sub(k.reportsRead).Round(time.Millisecond))
	}
}

// list asks for the instances.
func (k *Controller) list(ctx context.Context, now time.Time) error {
	k.mu.Lock()
	busy := k.planner.HasOpenWork()
	k.mu.Unlock()
	pause := listIdle
	if busy {
		pause = listEvery
	}
	if now.Sub(k.listRead) < pause {
		return nil
	}
	instances, err := k.Fleet.List(ctx)
	if err != nil {
		return err
	}
	if err := k.divide(ctx, instances); err != nil {
		return err
	}
	k.listRead = now
	k.mu.Lock()
	defer k.mu.Unlock()
	k.planner.UpdateInstances(instances, now)
	return nil
}

// Pool is a pool of instances.
type Pool struct {
	Name string
	// Spare means that the pool's instances are off.
	Spare bool
}

func spareOf(pools []Pool) string {
	for _, pool := range pools {
		if pool.Spare {
			return pool.Name
		}
	}
	return ""
}

// save stores what changed: the reservations, which owners follow, the progress
// of waves and the operators' answers.
func (k *Controller) save(ctx context.Context) error {
	k.mu.Lock()
	reserved, progress := k.planner.Reserved(time.Now()), k.planner.Progress()
	k.mu.Unlock()
	transaction := bbrkv.Transaction{Conditions: []bbrkv.Condition{k.Held.Condition()}}
	lift := !k.lifted && time.Now().After(k.intents.until)
	if lift || !slices.Equal(reserved, k.reserved) {
		transaction.Puts = append(transaction.Puts, bbrkv.Put{Key: bbrclaim.ReservedKey, Value: bbrrecord.Encode(reserved)})
	}
	stored := make(map[int64]waveState)
	for _, wave := range progress {
		state := waveState{done: len(wave.Done), completed: wave.Completed}
		if k.stored[wave.Wave] == state || len(transaction.Puts) > maxPuts {
			continue
		}
		stored[wave.Wave] = state
		transaction.Puts = append(transaction.Puts,
			bbrkv.Put{Key: WaveKey(wave.Wave), Value: bbrrecord.Encode(WaveRecord{Done: wave.Done, StartTime: wave.StartTime})},
			bbrkv.Put{Key: k.WaveFormat.StatusKey(wave.Wave), Value: k.WaveFormat.EncodeStatus(wave.Completed)})
	}
	if len(transaction.Puts) == 0 {
		return nil
	}
	if _, err := k.Store.Commit(ctx, transaction); err != nil {
		return err
	}
	k.reserved, k.lifted = reserved, k.lifted || lift
	// A report on an instance that is left alone for a while says nothing of later.
	maps.DeleteFunc(k.cleared, func(life string, _ bool) bool { return !slices.Contains(reserved, life) })
	for wave, state := range stored {
		k.stored[wave] = state
		klog.InfoS("Wave stored", "wave", wave, "done", state.done, "completed", state.completed, "token", k.Held.Token)
	}
	return nil
}

// maxPuts leaves room for a wave's two puts in a transaction.
const maxPuts = bbrkv.MaxTransactionSize - 4
