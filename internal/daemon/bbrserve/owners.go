package bbrserve

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmaintenance"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrregistry"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrowner"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrsweeper"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/platform/bbrwire"
)

// owners makes the owners of the services that this entry claims.
type owners struct {
	service *service
	orders  *bbrorder.Client
	fleet   *bbrmachine.Fleet
	advise  bbrowner.AdviseFunc
	// used has every service that could have jobs by a configuration that was in
	// force since the entry began: jobs from then may be left.
	mu   sync.Mutex
	used map[string]bool
	// running has the owners that run here, by shard; nil after their end.
	running map[bbrwork.Shard]*bbrowner.Owner
	// hints has a place for each hint that is on its way.
	hints chan struct{}
}

func newOwners(s *service) *owners {
	client := bbrwire.NewClient(connectionsPerUpstream, s.metrics.BodyBytes)
	return &owners{
		service: s,
		orders:  bbrwire.NewOrderClient(client),
		fleet:   bbrwire.NewFleet(client, s.settings.Platform.Instances),
		advise:  bbrwire.NewAdvice(client, s.settings.Platform.Advice),
		used:    make(map[string]bool),
		running: make(map[bbrwork.Shard]*bbrowner.Owner),
		hints:   make(chan struct{}, maxHints),
	}
}

// names returns what needs an owner: each cell's shard of each service, and the
// fleet duty.
func (o *owners) names() []string {
	config := o.service.config.Config()
	if config == nil {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.use(config)
	cells := o.service.claims.Cells().Count()
	names := []string{bbrclaim.LeadershipName}
	for service := range o.used {
		for cell := range cells {
			names = append(names, bbrwork.Shard{Service: service, Cell: cell}.String())
		}
	}
	return names
}

// use notes the services that may have jobs: those to which queues are sent, and
// the others whose instances are on, since queues may have been sent there before.
func (o *owners) use(config *bbrwork.Config) {
	for _, queue := range config.Queues {
		o.used[queue.Service] = true
	}
	for name, service := range config.Services {
		if !service.Spare {
			o.used[name] = true
		}
	}
}

// owned tells whether a service has an owner that puts work on its upstreams.
func (o *owners) owned(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.used[service]
}

// Lengths of an owner's work.
const (
	// hold is how far ahead leases are set. It bridges an outage of the store
	// together with the claim's own, and bounds how long a lost upstream's work
	// units wait.
	hold = 4500 * time.Millisecond
	// startWithin bounds the time for which a start may be on its way.
	startWithin = 1500 * time.Millisecond
)

func (o *owners) own(ctx context.Context, held bbrclaim.HeldClaim) {
	if held.Name == bbrclaim.LeadershipName {
		o.keep(ctx, held)
		return
	}
	s := o.service
	defer s.claimer.Release(held)
	shard, err := bbrwork.ParseShard(held.Name)
	if err != nil {
		klog.ErrorS(err, "Claim names no shard", "claim", held.Name)
		return
	}
	jobs := s.settings.Jobs
	owner := &bbrowner.Owner{
		Held:             held,
		Shard:            shard,
		Store:            s.store,
		Client:           o.orders,
		Advise:           o.advise,
		ListIncarnations: o.lives,
		Metrics:          s.metrics,
		Timing: bbrscheduler.Timing{
			RunLease:         min(hold, jobs.RunLease),
			StartTimeout:     startWithin,
			Handover:         bbrclaim.ConfirmationTTL,
			StopTimeout:      jobs.StopTimeout,
			RecoveryTime:     jobs.RecoveryTime,
			RemoteDataFactor: jobs.RemoteDataFactor,
		},
		Confirmed:  func(now time.Time) bool { return s.session.Confirmed(held.Lease, now) },
		Config:     s.config.Config,
		Registered: o.registered,
		Reserved:   s.reservations.Reserved,
	}
	o.setRunning(shard, owner)
	owner.Run(ctx)
	o.setRunning(shard, nil)
}

// registered returns the registered upstreams of a shard.
func (o *owners) registered(shard bbrwork.Shard, known bbrregistry.Version) ([]bbrwork.Upstream, bbrregistry.Version) {
	return o.service.registry.UpstreamsOf(shard, o.service.claims.Cells(), known)
}

func (o *owners) setRunning(shard bbrwork.Shard, owner *bbrowner.Owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running[shard] = owner
}

// state returns the state of a job of a shard that this entry owns.
func (o *owners) state(shard bbrwork.Shard, job string) (bbrwork.State, bool) {
	owner := o.runningOwner(shard)
	if owner == nil {
		return "", false
	}
	return owner.State(job, time.Now())
}

// explain returns why a job of a shard that this entry owns is where it is.
func (o *owners) explain(shard bbrwork.Shard, job string) (bbrscheduler.Explanation, bool) {
	owner := o.runningOwner(shard)
	if owner == nil {
		return bbrscheduler.Explanation{}, false
	}
	return owner.Explain(job, time.Now())
}

func (o *owners) runningOwner(shard bbrwork.Shard) *bbrowner.Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.running[shard]
}

// ask returns the state of a job from the shard's owner, which may be this
// entry.
func (o *owners) ask(ctx context.Context, shard bbrwork.Shard, job string, now time.Time) (bbrwork.State, bool) {
	if state, known := o.state(shard, job); known {
		return state, true
	}
	address, ok := o.elsewhere(shard)
	if !ok {
		return "", false
	}
	return o.service.questions.State(ctx, address, shard, job, now)
}

// elsewhere returns where the shard's owner can be asked, if it is at another
// entry.
func (o *owners) elsewhere(shard bbrwork.Shard) (netip.AddrPort, bool) {
	address, ok := o.service.claims.OwnerAddress(shard.String())
	return address, ok && address != o.service.settings.Listen.Peers
}

// askWhy returns why a job is where it is, from the shard's owner.
func (o *owners) askWhy(ctx context.Context, shard bbrwork.Shard, job string, now time.Time) (bbrscheduler.Explanation, bool) {
	if explanation, known := o.explain(shard, job); known {
		return explanation, true
	}
	address, ok := o.elsewhere(shard)
	if !ok {
		return bbrscheduler.Explanation{}, false
	}
	return o.service.questions.Explain(ctx, address, shard, job, now)
}

// lives returns the lives of the instances that are not down.
func (o *owners) lives(ctx context.Context) (map[string]bool, error) {
	instances, err := o.fleet.List(ctx)
	if err != nil {
		return nil, err
	}
	lives := make(map[string]bool, len(instances))
	for _, instance := range instances {
		if instance.Status != bbrmachine.StatusDown {
			lives[instance.Upstream] = true
		}
	}
	return lives, nil
}

// pools returns the pools by the configuration in force.
func (o *owners) pools() []bbrmaintenance.Pool {
	config := o.service.config.Config()
	if config == nil {
		return nil
	}
	var pools []bbrmaintenance.Pool
	for _, name := range slices.Sorted(maps.Keys(config.Services)) {
		pools = append(pools, bbrmaintenance.Pool{Name: name, Spare: config.Services[name].Spare})
	}
	return pools
}

// keep carries out the fleet duty.
func (o *owners) keep(ctx context.Context, held bbrclaim.HeldClaim) {
	s := o.service
	keeper := &bbrmaintenance.Controller{
		Held:  held,
		Entry: s.settings.Entry,
		Store: s.store,
		Fleet: o.fleet,
		WaveFormat: bbrmaintenance.WaveFormat{
			Prefix:       bbrwire.WavePrefix,
			Decode:       bbrwire.DecodeWave,
			StatusKey:    bbrwire.WaveStatusKey,
			EncodeStatus: bbrwire.EncodeWaveStatus,
		},
		Metrics:       s.metrics,
		Confirmed:     func(now time.Time) bool { return s.session.Confirmed(held.Lease, now) },
		Pools:         o.pools,
		Registered:    s.registry.Has,
		HasOwner:      o.owned,
		Directives:    s.claims.Directives,
		EntryMilliCPU: s.claims.MilliCPUAtRank,
		LeaderLease:   s.settings.Jobs.LeadershipLease,
	}
	sweeper := &bbrsweeper.Sweeper{Store: s.store, Condition: held.Condition(), Retention: s.settings.Jobs.EndedJobRetention}
	sweeping, end := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { sweeper.Run(sweeping) })
	keeper.Run(ctx, s.settings.Jobs.MaintenanceDuration)
	end()
	wg.Wait()
	s.claimer.Release(held)
}
