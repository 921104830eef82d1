package bbrwithdrawal

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrrevision"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrentry"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmember"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrpermit"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrstore"
)

// CoordinatorPrefix is the prefix of the platform's keys under which the current
// coordinator of each zone is stored.
const CoordinatorPrefix = "duties/"

const (
	// permitValidity is how long after acquiring a permit the restriction may still
	// be written. It is shorter than unusedPermitTimeout by more than the clocks of
	// two hosts differ.
	permitValidity = 10 * time.Second
	// unusedPermitTimeout is the age at which a permit whose restriction was never
	// written is released.
	unusedPermitTimeout = time.Minute
)

// Withdrawer takes instances of its zone out of service.
type Withdrawer struct {
	State *bbrentry.State
	Store *bbrstore.Store

	// registry is the permit registry as Reconcile last read it, and registryVersion
	// its version. Only Reconcile uses them.
	registry        bbrpermit.Registry
	registryVersion uint64
}

// PermitDocument returns the permit registry as a document of the platform.
func PermitDocument(store *bbrstore.Store) bbrstore.Document[bbrpermit.Registry] {
	return bbrstore.Document[bbrpermit.Registry]{Store: store, Key: bbrpermit.Key, Applied: bbrpermit.Applied}
}

// Rules returns the rules for permits under the configuration in force.
func (w *Withdrawer) Rules(ctx context.Context, registry *bbrpermit.Registry) (bbrpermit.Rules, error) {
	return RulesFor(ctx, w.Store, w.State.Revision(), registry)
}

// RulesFor returns the rules for permits under the given configuration. Zones
// without a coordinator are listed in UncoordinatedZones.
func RulesFor(ctx context.Context, store *bbrstore.Store, revision *bbrrevision.Revision, registry *bbrpermit.Registry) (bbrpermit.Rules, error) {
	rules := bbrpermit.Rules{Revision: revision}
	coordinators, err := store.Keys(ctx, CoordinatorPrefix)
	if err != nil {
		return rules, err
	}
	for zone := range registry.Zones {
		if !slices.Contains(coordinators, CoordinatorPrefix+zone) {
			rules.UncoordinatedZones = append(rules.UncoordinatedZones, zone)
		}
	}
	return rules, nil
}

// Withdraw acquires a permit and begins to drain the instance. It is idempotent
// for an operation ID. If the view refuses the withdrawal, the permit is released.
func (w *Withdrawer) Withdraw(ctx context.Context, withdrawal bbrview.Withdrawal) error {
	acquiredAt := time.Now()
	if err := w.acquire(ctx, withdrawal, acquiredAt); err != nil {
		return err
	}
	document := bbrmember.ViewDocument(w.Store, w.State.Identity.Zone)
	view, version, err := document.Update(ctx, withdrawal.Operation, func(v *bbrview.View) error {
		if time.Since(acquiredAt) > permitValidity {
			return bbrcode.Errorf(bbrcode.Conflict, withdrawal.Instance, "the permit expired before the drain was written; try again")
		}
		return v.Withdraw(withdrawal, time.Now())
	})
	if refusal := new(bbrcode.Error); errors.As(err, &refusal) {
		_ = w.release(ctx, []bbrpermit.Permit{{Instance: withdrawal.Instance, Operation: withdrawal.Operation}})
	}
	if err == nil {
		w.State.OfferView(view, version, time.Now())
	}
	return err
}

// acquire acquires the permit of a withdrawal, unless the view would refuse the
// withdrawal.
func (w *Withdrawer) acquire(ctx context.Context, withdrawal bbrview.Withdrawal, now time.Time) error {
	permit, err := w.permitFor(ctx, withdrawal, now)
	if err != nil {
		return err
	}
	_, _, err = PermitDocument(w.Store).Update(ctx, withdrawal.Operation, func(registry *bbrpermit.Registry) error {
		rules, err := w.Rules(ctx, registry)
		if err != nil {
			return err
		}
		return registry.Acquire(rules, permit)
	})
	return err
}

// permitFor returns the permit that the withdrawal needs, or the error with which
// the view would refuse it.
func (w *Withdrawer) permitFor(ctx context.Context, withdrawal bbrview.Withdrawal, now time.Time) (bbrpermit.Permit, error) {
	zone := w.State.Identity.Zone
	view, _, err := bbrmember.ViewDocument(w.Store, zone).Load(ctx)
	if err != nil {
		return bbrpermit.Permit{}, err
	}
	instance := view.Instances[withdrawal.Instance]
	trialView := view.Clone()
	if err := trialView.Withdraw(withdrawal, now); err != nil && instance.Operation != withdrawal.Operation {
		return bbrpermit.Permit{}, err
	}
	return bbrpermit.Permit{
		Instance: withdrawal.Instance, Zone: zone, Pool: instance.Pool, Operation: withdrawal.Operation, Since: now,
	}, nil
}

// Check returns the error with which a withdrawal would be refused now, or nil. It
// changes nothing.
func (w *Withdrawer) Check(ctx context.Context, withdrawal bbrview.Withdrawal) error {
	permit, err := w.permitFor(ctx, withdrawal, time.Now())
	if err != nil {
		return err
	}
	registry, _, err := PermitDocument(w.Store).Load(ctx)
	if err != nil {
		return err
	}
	rules, err := w.Rules(ctx, &registry)
	if err != nil {
		return err
	}
	return registry.Acquire(rules, permit)
}

// release removes the permits from the permit registry.
func (w *Withdrawer) release(ctx context.Context, permits []bbrpermit.Permit) error {
	_, _, err := PermitDocument(w.Store).Update(ctx, "", func(registry *bbrpermit.Registry) error {
		for _, permit := range permits {
			registry.Release(permit.Instance, permit.Operation)
		}
		return nil
	})
	return err
}

// Reconcile updates the permit registry from the zone's view: it stores the zone's
// report, and releases the permits of instances that serve again or were never
// withdrawn.
func (w *Withdrawer) Reconcile(ctx context.Context, now time.Time) error {
	zone := w.State.Identity.Zone
	if err := w.refreshRegistry(ctx); err != nil {
		return err
	}
	snapshot := w.State.Snapshot()
	finished, unused := releasable(w.registry, zone, &snapshot.View, now)
	if len(unused) > 0 {
		if err := w.voidWithdrawals(ctx, unused); err != nil {
			return err
		}
		finished = append(finished, unused...)
	}
	report := ReportOf(&snapshot.View)
	if len(finished) == 0 && w.registry.HasReport(zone, report) {
		return nil
	}
	_, _, err := PermitDocument(w.Store).Update(ctx, "", func(registry *bbrpermit.Registry) error {
		for _, permit := range finished {
			registry.Release(permit.Instance, permit.Operation)
		}
		registry.SetReport(zone, report)
		return nil
	})
	return err
}

// refreshRegistry reads the permit registry if it has changed.
func (w *Withdrawer) refreshRegistry(ctx context.Context) error {
	value, err := w.Store.Get(ctx, bbrpermit.Key, w.registryVersion)
	if errors.Is(err, bbrstore.ErrUnchanged) || errors.Is(err, bbrstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var registry bbrpermit.Registry
	if err := json.Unmarshal(value.Data, &registry); err != nil {
		return err
	}
	w.registry, w.registryVersion = registry, value.Version
	return nil
}

// releasable returns the zone's permits that are no longer needed: finished are
// those whose instance serves again or is gone, and unused are those whose
// restriction was not written within unusedPermitTimeout.
func releasable(registry bbrpermit.Registry, zone string, view *bbrview.View, now time.Time) (finished, unused []bbrpermit.Permit) {
	for _, permit := range registry.Permits {
		instance, listed := view.Instances[permit.Instance]
		switch {
		case permit.Zone != zone || instance.Operation == permit.Operation:
		case bbrview.Applied(view, permit.Operation) && (!listed || instance.State == bbrview.Serving):
			finished = append(finished, permit)
		case now.Sub(permit.Since) > unusedPermitTimeout:
			unused = append(unused, permit)
		}
	}
	return finished, unused
}

// voidWithdrawals records in the view that the withdrawals of unused permits are to
// be refused, so that the permits can be released safely.
func (w *Withdrawer) voidWithdrawals(ctx context.Context, unused []bbrpermit.Permit) error {
	_, _, err := bbrmember.ViewDocument(w.Store, w.State.Identity.Zone).Update(ctx, "", func(v *bbrview.View) error {
		for _, permit := range unused {
			v.Void(permit.Operation)
		}
		return nil
	})
	return err
}

// ReportOf returns the zone's report for the permit registry: the number of
// instances of each pool, and the pools of the instances that are not serving.
func ReportOf(view *bbrview.View) bbrpermit.ZoneReport {
	report := bbrpermit.ZoneReport{InstanceCounts: make(map[string]int), Unavailable: make(map[string]string)}
	for id, instance := range view.Instances {
		report.InstanceCounts[instance.Pool]++
		if instance.State != bbrview.Serving {
			report.Unavailable[id] = instance.Pool
		}
	}
	return report
}
