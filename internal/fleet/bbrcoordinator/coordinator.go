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
	tick      = 300 * time.Millisecond
	leaseTTL  = 5 * time.Second
	seekEvery = time.Second
	// listEvery and probeEvery are how often the platform's list is read and
	// the instances are probed; settleEvery, how often the ledger and the
	// waves are brought in line. While an instance reboots, the list is read
	// more often.
	listEvery   = 5 * time.Second
	rebootEvery = time.Second
	probeEvery  = 2 * time.Second
	settleEvery = time.Second
	renewEvery  = leaseTTL / 3
	// collectEvery is how often entries are asked for acknowledgements while
	// nothing waits for them, so that silent ones are noticed.
	collectEvery = time.Second
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

	holding atomic.Bool
	lease   bbrstore.LeaseID
	// last holds when each periodic work was begun.
	last map[string]time.Time
	// asked holds when each reboot that is under way was asked for.
	asked map[string]time.Time
	wg    sync.WaitGroup
}

// HoldsLease reports whether this entry holds the duty.
func (d *Coordinator) HoldsLease() bool { return d.holding.Load() }

// Start takes part in the duty until ctx ends.
func (d *Coordinator) Start(ctx context.Context) {
	d.last = make(map[string]time.Time)
	d.wg.Go(func() { d.run(ctx) })
}

// Wait returns when the duty has been given back.
func (d *Coordinator) Wait() { d.wg.Wait() }

func (d *Coordinator) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !d.hold(ctx) {
			bbrpause.For(ctx, seekEvery/2+rand.N(seekEvery))
			continue
		}
		d.work(ctx)
		bbrpause.For(ctx, tick)
	}
	d.giveBack()
}

// due reports whether the periodic work should be done now.
func (d *Coordinator) due(work string, every time.Duration, now time.Time) bool {
	if now.Sub(d.last[work]) < every {
		return false
	}
	d.last[work] = now
	return true
}

// hold takes or renews the duty.
func (d *Coordinator) hold(ctx context.Context) bool {
	if listed, suspected := d.State.Registered(); !listed || suspected {
		return false
	}
	if d.lease != "" {
		return d.renew(ctx)
	}
	key := bbrwithdrawal.CoordinatorPrefix + d.State.Identity.Zone
	if _, err := d.Store.Get(ctx, key, 0); !errors.Is(err, bbrstore.ErrNotFound) {
		return false
	}
	lease, err := d.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return false
	}
	holder, _ := json.Marshal(d.State.Identity.Name)
	if _, err := d.Store.CompareAndSwap(ctx, key, 0, holder, lease); err != nil {
		_ = d.Store.Revoke(ctx, lease)
		return false
	}
	d.lease = lease
	d.become(true)
	return true
}

func (d *Coordinator) renew(ctx context.Context) bool {
	if !d.due("renew", renewEvery, time.Now()) {
		return true
	}
	err := d.Store.Renew(ctx, d.lease)
	if errors.Is(err, bbrstore.ErrNotFound) {
		d.lease = ""
		d.become(false)
		return false
	}
	return err == nil
}

func (d *Coordinator) become(holding bool) {
	d.holding.Store(holding)
	if holding {
		d.Metrics.Event("dutyTaken")
		klog.InfoS("Holding the maintenance duty", "zone", d.State.Identity.Zone)
		return
	}
	d.Metrics.Event("dutyLost")
	klog.InfoS("Lost the maintenance duty", "zone", d.State.Identity.Zone)
}

func (d *Coordinator) giveBack() {
	if d.lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = d.Store.Revoke(ctx, d.lease)
	d.lease = ""
	d.become(false)
}

// work does one round.
func (d *Coordinator) work(ctx context.Context) {
	snapshot := d.State.Snapshot()
	if d.due("probe", probeEvery, time.Now()) {
		d.Prober.Probe(ctx, &snapshot.View)
	}
	if snapshot.View.AwaitsAcks() || d.due("collect", collectEvery, time.Now()) {
		d.step(ctx, snapshot)
	}
	d.reboot(ctx, time.Now())
	if d.due("settle", settleEvery, time.Now()) {
		if err := d.Withdrawer.Reconcile(ctx, time.Now()); err != nil {
			d.Metrics.Event("settleFailed")
		}
		d.advanceWaves(ctx)
	}
}

// step commits what the present acknowledgements allow.
func (d *Coordinator) step(ctx context.Context, snapshot *bbrentry.Snapshot) {
	observation := d.observe(ctx, snapshot)
	if next, changed := NextView(snapshot.View, observation, time.Now()); changed {
		d.commit(ctx, snapshot, next)
	}
}

func (d *Coordinator) observe(ctx context.Context, snapshot *bbrentry.Snapshot) Observation {
	acks := d.Collector.Collect(ctx, snapshot)
	now := time.Now()
	self := d.State.Identity.Peer
	config := &d.State.Revision().Config
	observation := Observation{
		Self:              self,
		Acks:              acks,
		HeatLimit:         config.ActivePerZone,
		Unreachable:       d.Prober.Unreachable(),
		NewSuspicions:     d.Collector.NewSuspicions(&snapshot.View, now),
		FencesExpired:     d.FenceExpiry.Expired(&snapshot.View, self, acks, now),
		ExpiredDepartures: d.RequestExpiry.Expired(&snapshot.View, config.LongestTimeout(), now),
	}
	if d.due("list", listInterval(&snapshot.View), now) {
		rows, err := d.List.Instances(ctx, d.State.Identity.Zone)
		observation.Instances = rows
		observation.Listed = err == nil
	}
	return observation
}

// listInterval returns how often the platform's list is needed.
func listInterval(view *bbrview.View) time.Duration {
	if len(view.Instances) == 0 {
		return rebootEvery
	}
	for _, instance := range view.Instances {
		if instance.State == bbrview.Rebooting {
			return rebootEvery
		}
	}
	return listEvery
}

// commit writes the next view if nobody wrote another one since snapshot.
func (d *Coordinator) commit(ctx context.Context, snapshot *bbrentry.Snapshot, next bbrview.View) {
	version, err := bbrmember.ViewDocument(d.Store, d.State.Identity.Zone).Save(ctx, next, snapshot.Version, "")
	if err != nil {
		d.Metrics.Event("viewConflict")
		return
	}
	d.report(&snapshot.View, &next)
	d.State.OfferView(next, version, time.Now())
}

// report logs the changes of instances' states.
func (d *Coordinator) report(before, after *bbrview.View) {
	for id, instance := range after.Instances {
		if previous := before.Instances[id]; previous.State != instance.State {
			klog.InfoS("Instance changed state", "instance", id, "from", previous.State, "to", instance.State,
				"pool", instance.Pool, "reason", instance.Reason)
		}
	}
	for peer, entry := range before.Entries {
		if _, ok := after.Entries[peer]; !ok {
			d.Metrics.Event("entryRemoved")
			klog.InfoS("Entry removed from the zone", "entry", entry.Name)
		}
	}
}

// reboot asks for every recorded reboot; the platform performs each once.
func (d *Coordinator) reboot(ctx context.Context, now time.Time) {
	asked := make(map[string]time.Time)
	for id, instance := range d.State.Snapshot().View.Instances {
		if instance.State != bbrview.Rebooting {
			continue
		}
		asked[instance.Operation] = d.asked[instance.Operation]
		if now.Sub(asked[instance.Operation]) < rebootEvery {
			continue
		}
		asked[instance.Operation] = now
		if err := d.List.Reboot(ctx, id, instance.Operation); err != nil {
			d.Metrics.Event("rebootCallFailed")
		}
	}
	d.asked = asked
}
