package bbrserve

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmaintenance"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrregistry"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrintake"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrowner"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrsweeper"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/peer/bbrinquiry"
	"github.com/bluebellridge/bluebellridge/platform/bbrwire"
)

// owners runs the owners of the shards that this entry has claimed, and queries
// those at other entries.
type owners struct {
	daemon *daemon
	client *bbrorder.Client
	fleet  *bbrmachine.Fleet
	advise bbrowner.AdviseFunc

	mu sync.Mutex
	// services contains every service that may have jobs: those of any configuration
	// that has been in force since the process started, and those that have open jobs
	// of rerouted queues as their owners have stored it.
	services map[string]bool
	// running contains the owners that run at this entry, by shard; the value is
	// nil after the owner has ended.
	running map[bbrwork.Shard]*bbrowner.Owner
	// rooms has the rooms of shards at this and other entries.
	rooms bbrcell.RoomDirectory
	// startSlots bounds the starts in flight.
	startSlots *bbrowner.StartSlots
	// hintSlots contains an element for each hint in flight.
	hintSlots chan struct{}
	// waits has the waits that owners reported for new jobs.
	waits bbrintake.WaitCache
	// heldMemory bounds what the owners at this entry hold of their jobs.
	heldMemory bbrscheduler.HeldMemory
	// backlogs bounds the backlogs of the shards.
	backlogs bbrintake.Backlogs
}

func newOwners(d *daemon) *owners {
	httpClient := bbrwire.NewClient(maxConnsPerUpstream, d.metrics.BodyBytes)
	return &owners{
		daemon:    d,
		client:    bbrwire.NewOrderClient(httpClient),
		fleet:     bbrwire.NewFleet(httpClient, d.settings.Platform.Instances),
		advise:    bbrwire.NewAdvice(httpClient, d.settings.Platform.Advice),
		services:  make(map[string]bool),
		running:   make(map[bbrwork.Shard]*bbrowner.Owner),
		hintSlots: make(chan struct{}, maxHintsInFlight),

		startSlots: bbrowner.NewStartSlots(maxStartsInFlight),
	}
}

// claimNames returns the names that need an owner: each cell's shard of each
// service, and the fleet leadership.
func (o *owners) claimNames() []string {
	config := o.daemon.config.Config()
	if config == nil {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addServices(config)
	for _, service := range o.daemon.directory.ServicesOfReroutedQueues() {
		o.services[service] = true
	}
	cells := o.daemon.directory.Cells().Count()
	names := []string{bbrclaim.LeadershipName}
	for service := range o.services {
		for cell := range cells {
			names = append(names, bbrwork.Shard{Service: service, Cell: cell}.String())
		}
	}
	return names
}

// shardCount returns the number of shards that may have jobs.
func (o *owners) shardCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.services) * o.daemon.directory.Cells().Count()
}

// addServices adds the services that may have jobs: those to which a queue is
// routed, and those that are not spare, since queues may have been routed to them
// before.
func (o *owners) addServices(config *bbrwork.Config) {
	for _, queue := range config.Queues {
		o.services[queue.Service] = true
	}
	for name, service := range config.Services {
		if !service.Spare {
			o.services[name] = true
		}
	}
}

// hasOwner reports whether a service has an owner that places work on its
// upstreams.
func (o *owners) hasOwner(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.services[service]
}

const (
	// maxRunLease bounds the run lease in the settings. The run lease and the
	// claim's lease together bridge an outage of the store; the run lease also
	// bounds how long the work units of a lost upstream wait.
	maxRunLease = 4500 * time.Millisecond
	// startTimeout bounds how long an order to start a run may be in flight.
	startTimeout = 1500 * time.Millisecond
	// maxStartsInFlight bounds the starts in flight of an entry. With specs of 2 KB, that many
	// take a quarter of a second on a link of 2 Mbit/s.
	maxStartsInFlight = 32
)

func (o *owners) runOwner(ctx context.Context, held bbrclaim.HeldClaim) {
	if held.Name == bbrclaim.LeadershipName {
		o.leadFleet(ctx, held)
		return
	}
	d := o.daemon
	defer d.claimer.Release(held)
	shard, err := bbrwork.ParseShard(held.Name)
	if err != nil {
		klog.ErrorS(err, "Claim name is not a valid shard", "claim", held.Name)
		return
	}
	owner := o.newOwner(held, shard)
	o.setRunning(shard, owner)
	owner.Run(ctx)
	o.clearRunning(shard, owner)
}

// newOwner returns the owner of a shard, which does not run yet.
func (o *owners) newOwner(held bbrclaim.HeldClaim, shard bbrwork.Shard) *bbrowner.Owner {
	d, jobs := o.daemon, o.daemon.settings.Jobs
	owner := &bbrowner.Owner{
		Held:             held,
		Shard:            shard,
		Store:            d.store,
		Client:           o.client,
		Advise:           o.advise,
		ListIncarnations: o.listIncarnations,
		Metrics:          d.metrics,
		Timing: bbrscheduler.Timing{
			RunLease:         min(maxRunLease, jobs.RunLease),
			MaxRunLease:      jobs.RunLease,
			StartTimeout:     startTimeout,
			Handover:         bbrclaim.ConfirmationTTL,
			StopTimeout:      jobs.StopTimeout,
			RecoveryTime:     jobs.RecoveryTime,
			RemoteDataFactor: jobs.RemoteDataFactor,
		},
		Confirmed:  func(now time.Time) bool { return d.session.Confirmed(held.Lease, now) },
		Config:     d.config.Config,
		Registered: o.registeredUpstreams,
		Reserved:   d.reservations.Reserved,
		ConfigKey:  bbrwire.ConfigKey,
		ShardCount: o.shardCount,
		StartSlots: o.startSlots,

		PublishRoom:         jobs.BalanceByCapacity,
		FairShares:          jobs.FairShares,
		ReserveCapacity:     jobs.Reservations,
		SeparateInterfering: jobs.SeparateInterfering,

		Cells:          d.directory.Cells,
		ReroutedQueues: d.directory.ReroutedQueues,
		HeldMemory:     &o.heldMemory,
		NotifyOwner:    o.notifyOwner,
	}
	owner.HandOverOverdue = func(ownedSince, now time.Time) bool {
		return d.claimer.Relief.HandOverOverdue(held.Name, ownedSince, now)
	}
	owner.HandOverUnloaded = func(idle time.Duration, ownedSince, now time.Time) bool {
		return d.claimer.Relief.HandOverUnloaded(held.Name, idle, ownedSince, now)
	}
	if jobs.BalanceByCapacity {
		owner.HandOver = func(ownedSince, now time.Time) bool { return d.claimer.Relief.HandOver(held.Name, ownedSince, now) }
	}
	return owner
}

// registeredUpstreams returns the registered upstreams of a shard and their
// version, or no upstreams if the version is the known one.
func (o *owners) registeredUpstreams(shard bbrwork.Shard, known bbrregistry.Version) ([]bbrwork.Upstream, bbrregistry.Version) {
	return o.daemon.registry.UpstreamsOf(shard, o.daemon.directory.Cells(), known)
}

func (o *owners) setRunning(shard bbrwork.Shard, owner *bbrowner.Owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running[shard] = owner
}

// clearRunning forgets the owner of a shard, unless a later one runs already.
func (o *owners) clearRunning(shard bbrwork.Shard, owner *bbrowner.Owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.running[shard] == owner {
		delete(o.running, shard)
	}
}

// localState returns the state of a job if this entry owns its shard.
func (o *owners) localState(shard bbrwork.Shard, job string) (bbrwork.State, bool) {
	owner := o.runningOwner(shard)
	if owner == nil {
		return "", false
	}
	return owner.State(job, time.Now())
}

// localExplanation returns the explanation of a job's state if this entry owns its
// shard.
func (o *owners) localExplanation(shard bbrwork.Shard, job string) (bbrscheduler.Explanation, bool) {
	owner := o.runningOwner(shard)
	if owner == nil {
		return bbrscheduler.Explanation{}, false
	}
	return owner.Explain(job, time.Now())
}

// oldestUnloaded returns the age of the oldest claim of a shard that is not loaded; 0 if
// there is none.
func (o *owners) oldestUnloaded(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	oldest := time.Duration(0)
	for _, owner := range o.running {
		if age, unloaded := owner.UnloadedFor(now); unloaded {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

func (o *owners) runningOwner(shard bbrwork.Shard) *bbrowner.Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.running[shard]
}

// queryState returns the state of a job from the shard's owner, at this or another
// entry.
func (o *owners) queryState(ctx context.Context, shard bbrwork.Shard, job string, now time.Time) (bbrwork.State, bool) {
	if state, known := o.localState(shard, job); known {
		return state, true
	}
	address, ok := o.remoteAddress(shard)
	if !ok {
		return "", false
	}
	return o.daemon.queries.State(ctx, address, shard, job, now)
}

// remoteAddress returns the address for queries to the shard's owner if it runs at
// another entry.
func (o *owners) remoteAddress(shard bbrwork.Shard) (netip.AddrPort, bool) {
	address, ok := o.daemon.directory.OwnerAddress(shard.String())
	return address, ok && address != o.daemon.settings.Listen.Peers
}

// queryExplanation returns the explanation of a job's state from the shard's owner,
// at this or another entry.
func (o *owners) queryExplanation(ctx context.Context, shard bbrwork.Shard, job string, now time.Time) (bbrscheduler.Explanation, bool) {
	if explanation, known := o.localExplanation(shard, job); known {
		return explanation, true
	}
	address, ok := o.remoteAddress(shard)
	if !ok {
		return bbrscheduler.Explanation{}, false
	}
	return o.daemon.queries.Explain(ctx, address, shard, job, now)
}

// localPlacement returns where a job would start if this entry owns its shard.
func (o *owners) localPlacement(job *bbrwork.Job) (bbrscheduler.Placement, bool) {
	owner := o.runningOwner(job.Shard())
	if owner == nil {
		return bbrscheduler.Placement{}, false
	}
	return owner.Place(job, time.Now())
}

// queryPlacement returns where a job would start from the shard's owner, at this or
// another entry.
func (o *owners) queryPlacement(ctx context.Context, job *bbrwork.Job, now time.Time) (bbrscheduler.Placement, error) {
	if placement, known := o.localPlacement(job); known {
		return placement, nil
	}
	address, ok := o.remoteAddress(job.Shard())
	if !ok {
		return bbrscheduler.Placement{}, bbrinquiry.ErrNotOwner
	}
	return o.daemon.queries.Place(ctx, address, job, now)
}

// listIncarnations returns the incarnations that the platform lists, with whether their
// instances are not down.
func (o *owners) listIncarnations(ctx context.Context) (map[string]bool, error) {
	instances, err := o.fleet.List(ctx)
	if err != nil {
		return nil, err
	}
	incarnations := make(map[string]bool, len(instances))
	for _, instance := range instances {
		if instance.Upstream != "" {
			incarnations[instance.Upstream] = instance.Status != bbrmachine.StatusDown
		}
	}
	return incarnations, nil
}

// pools returns the pools of the configuration in force, sorted by name.
func (o *owners) pools() []bbrmaintenance.Pool {
	config := o.daemon.config.Config()
	if config == nil {
		return nil
	}
	var pools []bbrmaintenance.Pool
	for _, name := range slices.Sorted(maps.Keys(config.Services)) {
		pools = append(pools, bbrmaintenance.Pool{Name: name, Spare: config.Services[name].Spare})
	}
	return pools
}

// leadFleet runs the maintenance controller and the sweeper while this entry is the
// fleet leader.
func (o *owners) leadFleet(ctx context.Context, held bbrclaim.HeldClaim) {
	d := o.daemon
	controller := o.newController(held)
	sweeper := &bbrsweeper.Sweeper{Store: d.store, Condition: held.Condition(), Retention: d.settings.Jobs.EndedJobRetention}
	sweeperCtx, cancelSweeper := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { sweeper.Run(sweeperCtx) })
	controller.Run(ctx, d.settings.Jobs.MaintenanceDuration)
	cancelSweeper()
	wg.Wait()
	d.claimer.Release(held)
}

// newController returns the controller of a fleet leader, which does not run yet.
func (o *owners) newController(held bbrclaim.HeldClaim) *bbrmaintenance.Controller {
	d := o.daemon
	return &bbrmaintenance.Controller{
		Held:  held,
		Entry: d.settings.Entry,
		Store: d.store,
		Fleet: o.fleet,
		WaveFormat: bbrmaintenance.WaveFormat{
			Prefix:       bbrwire.WavePrefix,
			Decode:       bbrwire.DecodeWave,
			StatusKey:    bbrwire.WaveStatusKey,
			EncodeStatus: bbrwire.EncodeWaveStatus,
		},
		Metrics:       d.metrics,
		Confirmed:     func(now time.Time) bool { return d.session.Confirmed(held.Lease, now) },
		Pools:         o.pools,
		Registered:    d.registry.Has,
		HasOwner:      o.hasOwner,
		Directives:    d.directory.Directives,
		EntryMilliCPU: d.directory.MilliCPUAtRank,
		LeaderLease:   d.settings.Jobs.LeadershipLease,
		HandOver:      func(ledSince, now time.Time) bool { return d.claimer.Relief.HandOver(held.Name, ledSince, now) },
	}
}
