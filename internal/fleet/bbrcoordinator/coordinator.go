package bbrcoordinator

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrentry"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmember"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrwithdrawal"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrlist"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrstore"
)

const (
	roundInterval   = 300 * time.Millisecond
	leaseTTL        = 5 * time.Second
	acquireInterval = time.Second
	// listInterval is how often the platform's list is read. While an instance
	// reboots or none is known, it is read every rebootInterval.
	listInterval   = 5 * time.Second
	rebootInterval = time.Second
	probeInterval  = 2 * time.Second
	// reconcileInterval is how often the permit registry and the waves are updated.
	reconcileInterval = time.Second
	renewInterval     = leaseTTL / 3
	// collectInterval is how often acknowledgements are collected while no
	// transition waits for them, so that entries that do not answer are noticed.
	collectInterval = time.Second
)

// Coordinator competes for the coordinator lease of its entry's zone and
// coordinates the zone while it holds the lease.
type Coordinator struct {
	State         *bbrentry.State
	Store         *bbrstore.Store
	List          *bbrlist.List
	Collector     *Collector
	Prober        *Prober
	FenceExpiry   *FenceExpiry
	RequestExpiry *RequestExpiry
	Withdrawer    *bbrwithdrawal.Withdrawer
	Metrics       *bbrmetric.Set

	holdsLease atomic.Bool
	lease      bbrstore.LeaseID
	// lastRun is when each periodic task was last started.
	lastRun map[string]time.Time
	// rebootRequested is when each reboot in progress was last requested, by
	// operation ID.
	rebootRequested map[string]time.Time
	wg              sync.WaitGroup
}

// HoldsLease reports whether this entry holds the zone's coordinator lease.
func (c *Coordinator) HoldsLease() bool { return c.holdsLease.Load() }

// Start starts the coordinator, which runs until ctx ends.
func (c *Coordinator) Start(ctx context.Context) {
	c.lastRun = make(map[string]time.Time)
	c.wg.Go(func() { c.run(ctx) })
}

// Wait returns once the coordinator has stopped and revoked its lease.
func (c *Coordinator) Wait() { c.wg.Wait() }

func (c *Coordinator) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.acquireOrRenew(ctx) {
			bbrpause.For(ctx, acquireInterval/2+rand.N(acquireInterval))
			continue
		}
		c.round(ctx)
		bbrpause.For(ctx, roundInterval)
	}
	c.revoke()
}

// due reports whether the periodic task is to run now, and if so records its start.
func (c *Coordinator) due(task string, interval time.Duration, now time.Time) bool {
	if now.Sub(c.lastRun[task]) < interval {
		return false
	}
	c.lastRun[task] = now
	return true
}

// acquireOrRenew acquires or renews the lease, and reports whether this entry may
// coordinate the zone now. An entry that is not registered, or suspected, may not.
func (c *Coordinator) acquireOrRenew(ctx context.Context) bool {
	if listed, suspected := c.State.Registered(); !listed || suspected {
		return false
	}
	if c.lease != "" {
		return c.renew(ctx)
	}
	key := bbrwithdrawal.CoordinatorPrefix + c.State.Identity.Zone
	if _, err := c.Store.Get(ctx, key, 0); !errors.Is(err, bbrstore.ErrNotFound) {
		return false
	}
	lease, err := c.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return false
	}
	holder, _ := json.Marshal(c.State.Identity.Name)
	if _, err := c.Store.CompareAndSwap(ctx, key, 0, holder, lease); err != nil {
		_ = c.Store.Revoke(ctx, lease)
		return false
	}
	c.lease = lease
	c.setHoldsLease(true)
	return true
}

// renew renews the lease if that is due. It reports false if the store did not
// answer; the lease counts as lost only once the store no longer has it.
func (c *Coordinator) renew(ctx context.Context) bool {
	if !c.due("renew", renewInterval, time.Now()) {
		return true
	}
	err := c.Store.Renew(ctx, c.lease)
	if errors.Is(err, bbrstore.ErrNotFound) {
		c.lease = ""
		c.setHoldsLease(false)
		return false
	}
	return err == nil
}

// setHoldsLease records and logs that the entry acquired the lease or no longer has it.
func (c *Coordinator) setHoldsLease(holds bool) {
	c.holdsLease.Store(holds)
	if holds {
		c.Metrics.Event("dutyTaken")
		klog.InfoS("Acquired the zone coordinator lease", "zone", c.State.Identity.Zone)
		return
	}
	c.Metrics.Event("dutyLost")
	klog.InfoS("Zone coordinator lease ended", "zone", c.State.Identity.Zone)
}

// revoke gives up the lease, so that another entry can acquire it at once.
func (c *Coordinator) revoke() {
	if c.lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.Store.Revoke(ctx, c.lease)
	c.lease = ""
	c.setHoldsLease(false)
}

// round runs the tasks that are due.
func (c *Coordinator) round(ctx context.Context) {
	snapshot := c.State.Snapshot()
	if c.due("probe", probeInterval, time.Now()) {
		c.Prober.Probe(ctx, &snapshot.View)
	}
	if snapshot.View.AwaitsAcks() || c.due("collect", collectInterval, time.Now()) {
		c.updateView(ctx, snapshot)
	}
	c.requestReboots(ctx, time.Now())
	if c.due("settle", reconcileInterval, time.Now()) {
		if err := c.Withdrawer.Reconcile(ctx, time.Now()); err != nil {
			c.Metrics.Event("settleFailed")
		}
		c.advanceWaves(ctx)
	}
}

// updateView commits the transitions that the collected acknowledgements allow.
func (c *Coordinator) updateView(ctx context.Context, snapshot *bbrentry.Snapshot) {
	observation := c.observe(ctx, snapshot)
	if next, changed := NextView(snapshot.View, observation, time.Now()); changed {
		c.commit(ctx, snapshot, next)
	}
}

// observe collects the input of NextView.
func (c *Coordinator) observe(ctx context.Context, snapshot *bbrentry.Snapshot) Observation {
	acks := c.Collector.Collect(ctx, snapshot)
	now := time.Now()
	self := c.State.Identity.Peer
	config := &c.State.Revision().Config
	observation := Observation{
		Self:              self,
		Acks:              acks,
		HeatLimit:         config.ActivePerZone,
		Unreachable:       c.Prober.Unreachable(),
		NewSuspicions:     c.Collector.NewSuspicions(&snapshot.View, now),
		FencesExpired:     c.FenceExpiry.Expired(&snapshot.View, self, acks, now),
		ExpiredDepartures: c.RequestExpiry.Expired(&snapshot.View, config.LongestTimeout(), now),
	}
	if c.due("list", listIntervalFor(&snapshot.View), now) {
		instances, err := c.List.Instances(ctx, c.State.Identity.Zone)
		observation.Instances = instances
		observation.Listed = err == nil
	}
	return observation
}

// listIntervalFor returns how often the platform's list is to be read.
func listIntervalFor(view *bbrview.View) time.Duration {
	if len(view.Instances) == 0 {
		return rebootInterval
	}
	for _, instance := range view.Instances {
		if instance.State == bbrview.Rebooting {
			return rebootInterval
		}
	}
	return listInterval
}

// commit writes the next view unless another one was written since snapshot.
func (c *Coordinator) commit(ctx context.Context, snapshot *bbrentry.Snapshot, next bbrview.View) {
	version, err := bbrmember.ViewDocument(c.Store, c.State.Identity.Zone).Save(ctx, next, snapshot.Version, "")
	if err != nil {
		c.Metrics.Event("viewConflict")
		return
	}
	c.logChanges(&snapshot.View, &next)
	c.State.OfferView(next, version, time.Now())
}

// logChanges logs changed states of instances and removed entries.
func (c *Coordinator) logChanges(before, after *bbrview.View) {
	for id, instance := range after.Instances {
		if previous := before.Instances[id]; previous.State != instance.State {
			klog.InfoS("Instance changed state", "instance", id, "from", previous.State, "to", instance.State,
				"pool", instance.Pool, "reason", instance.Reason)
		}
	}
	for peer, entry := range before.Entries {
		if _, ok := after.Entries[peer]; !ok {
			c.Metrics.Event("entryRemoved")
			klog.InfoS("Entry removed from the zone", "entry", entry.Name)
		}
	}
}

// requestReboots requests every recorded reboot from the platform, again every
// rebootInterval until it is done. The platform performs each operation only once.
func (c *Coordinator) requestReboots(ctx context.Context, now time.Time) {
	requested := make(map[string]time.Time)
	for id, instance := range c.State.Snapshot().View.Instances {
		if instance.State != bbrview.Rebooting {
			continue
		}
		requested[instance.Operation] = c.rebootRequested[instance.Operation]
		if now.Sub(requested[instance.Operation]) < rebootInterval {
			continue
		}
		requested[instance.Operation] = now
		if err := c.List.Reboot(ctx, id, instance.Operation); err != nil {
			c.Metrics.Event("rebootCallFailed")
		}
	}
	c.rebootRequested = requested
}
