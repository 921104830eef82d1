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
	// listInterval and probeEvery are how often the platform's list is read and
	// the instances are probed; settleEvery, how often the ledger and the
	// waves are brought in line. While an instance reboots, the list is read
	// more often.
	listInterval      = 5 * time.Second
	rebootInterval    = time.Second
	probeInterval     = 2 * time.Second
	reconcileInterval = time.Second
	renewInterval     = leaseTTL / 3
	// collectInterval is how often entries are asked for acknowledgements while
	// nothing waits for them, so that silent ones are noticed.
	collectInterval = time.Second
)

// Coordinator is one entry's part in the maintenance duty of its zone.
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
	// lastRun holds when each periodic work was begun.
	lastRun map[string]time.Time
	// rebootRequested holds when each reboot that is under way was asked for.
	rebootRequested map[string]time.Time
	wg              sync.WaitGroup
}

// HoldsLease reports whether this entry holds the duty.
func (c *Coordinator) HoldsLease() bool { return c.holdsLease.Load() }

// Start takes part in the duty until ctx ends.
func (c *Coordinator) Start(ctx context.Context) {
	c.lastRun = make(map[string]time.Time)
	c.wg.Go(func() { c.run(ctx) })
}

// Wait returns when the duty has been given back.
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

// due reports whether the periodic work should be done now.
func (c *Coordinator) due(task string, interval time.Duration, now time.Time) bool {
	if now.Sub(c.lastRun[task]) < interval {
		return false
	}
	c.lastRun[task] = now
	return true
}

// acquireOrRenew takes or renews the duty.
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

func (c *Coordinator) setHoldsLease(holding bool) {
	c.holdsLease.Store(holding)
	if holding {
		c.Metrics.Event("dutyTaken")
		klog.InfoS("Holding the maintenance duty", "zone", c.State.Identity.Zone)
		return
	}
	c.Metrics.Event("dutyLost")
	klog.InfoS("Lost the maintenance duty", "zone", c.State.Identity.Zone)
}

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

// round does one round.
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

// updateView commits what the present acknowledgements allow.
func (c *Coordinator) updateView(ctx context.Context, snapshot *bbrentry.Snapshot) {
	observation := c.observe(ctx, snapshot)
	if next, changed := NextView(snapshot.View, observation, time.Now()); changed {
		c.commit(ctx, snapshot, next)
	}
}

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

// listIntervalFor returns how often the platform's list is needed.
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

// commit writes the next view if nobody wrote another one since snapshot.
func (c *Coordinator) commit(ctx context.Context, snapshot *bbrentry.Snapshot, next bbrview.View) {
	version, err := bbrmember.ViewDocument(c.Store, c.State.Identity.Zone).Save(ctx, next, snapshot.Version, "")
	if err != nil {
		c.Metrics.Event("viewConflict")
		return
	}
	c.logChanges(&snapshot.View, &next)
	c.State.OfferView(next, version, time.Now())
}

// logChanges logs the changes of instances' states.
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

// requestReboots asks for every recorded reboot; the platform performs each once.
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
