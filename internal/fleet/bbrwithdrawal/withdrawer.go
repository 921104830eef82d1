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

// CoordinatorPrefix is where the platform keeps the holders of maintenance duties.
const CoordinatorPrefix = "duties/"

const (
	// permitValidity is how long after taking a permit the restriction may still
	// be written. It is shorter than unusedAfter by more than clocks differ.
	permitValidity = 10 * time.Second
	// unusedPermitTimeout is when a permit without a restriction is taken back.
	unusedPermitTimeout = time.Minute
)

// Withdrawer takes instances of its zone out of service.
type Withdrawer struct {
	State *bbrentry.State
	Store *bbrstore.Store

	// registry is the ledger that Reconcile last read, and settledVersion its
	// version; only Reconcile uses them.
	registry        bbrpermit.Ledger
	registryVersion uint64
}

// PermitDocument returns the ledger as a document of the platform.
func PermitDocument(store *bbrstore.Store) bbrstore.Document[bbrpermit.Ledger] {
	return bbrstore.Document[bbrpermit.Ledger]{Store: store, Key: bbrpermit.Key, Applied: bbrpermit.Applied}
}

// Rules returns what permits are judged by now.
func (w *Withdrawer) Rules(ctx context.Context, registry *bbrpermit.Ledger) (bbrpermit.Rules, error) {
	return RulesFor(ctx, w.Store, w.State.Revision(), registry)
}

// RulesFor returns what permits are judged by under the configuration.
func RulesFor(ctx context.Context, store *bbrstore.Store, revision *bbrrevision.Revision, registry *bbrpermit.Ledger) (bbrpermit.Rules, error) {
	rules := bbrpermit.Rules{Revision: revision}
	coordinators, err := store.Keys(ctx, CoordinatorPrefix)
	if err != nil {
		return rules, err
	}
	for zone := range registry.Zones {
		if !slices.Contains(coordinators, CoordinatorPrefix+zone) {
			rules.Dark = append(rules.Dark, zone)
		}
	}
	return rules, nil
}

// Withdraw takes a permit and begins to drain the instance. Repeating an
// operation has no further effect.
func (w *Withdrawer) Withdraw(ctx context.Context, withdrawal bbrview.Withdrawal) error {
	acquiredAt := time.Now()
	if err := w.acquire(ctx, withdrawal, acquiredAt); err != nil {
		return err
	}
	document := bbrmember.ViewDocument(w.Store, w.State.Identity.Zone)
	view, version, err := document.Update(ctx, withdrawal.Operation, func(v *bbrview.View) error {
		if time.Since(acquiredAt) > permitValidity {
			return bbrcode.Errorf(bbrcode.Conflict, withdrawal.Instance, "the permit is too old by now; try again")
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

// acquire takes the permit of a withdrawal, unless the view refuses it anyway.
func (w *Withdrawer) acquire(ctx context.Context, withdrawal bbrview.Withdrawal, now time.Time) error {
	permit, err := w.permitFor(ctx, withdrawal, now)
	if err != nil {
		return err
	}
	_, _, err = PermitDocument(w.Store).Update(ctx, withdrawal.Operation, func(registry *bbrpermit.Ledger) error {
		rules, err := w.Rules(ctx, registry)
		if err != nil {
			return err
		}
		return registry.Acquire(rules, permit)
	})
	return err
}

// permitFor returns the permit that the withdrawal needs, or the view's
// refusal.
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

// Check returns the refusal that a withdrawal would meet now, and changes
// nothing.
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

func (w *Withdrawer) release(ctx context.Context, permits []bbrpermit.Permit) error {
	_, _, err := PermitDocument(w.Store).Update(ctx, "", func(registry *bbrpermit.Ledger) error {
		for _, permit := range permits {
			registry.Release(permit.Instance, permit.Operation)
		}
		return nil
	})
	return err
}

// Reconcile brings the ledger in line with the zone's view: it stores the zone's
// report and gives back the permits of instances that serve again.
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
	if len(finished) == 0 && w.registry.Reported(zone, report) {
		return nil
	}
	_, _, err := PermitDocument(w.Store).Update(ctx, "", func(registry *bbrpermit.Ledger) error {
		for _, permit := range finished {
			registry.Release(permit.Instance, permit.Operation)
		}
		registry.Submit(zone, report)
		return nil
	})
	return err
}

// refreshRegistry reads the ledger if it has changed.
func (w *Withdrawer) refreshRegistry(ctx context.Context) error {
	value, err := w.Store.Get(ctx, bbrpermit.Key, w.registryVersion)
	if errors.Is(err, bbrstore.ErrUnchanged) || errors.Is(err, bbrstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var registry bbrpermit.Ledger
	if err := json.Unmarshal(value.Data, &registry); err != nil {
		return err
	}
	w.registry, w.registryVersion = registry, value.Version
	return nil
}

// releasable returns the zone's permits that have done their work and those that
// were never used.
func releasable(registry bbrpermit.Ledger, zone string, view *bbrview.View, now time.Time) (finished, unused []bbrpermit.Permit) {
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

// voidWithdrawals makes the restrictions that unused permits were for be refused.
func (w *Withdrawer) voidWithdrawals(ctx context.Context, unused []bbrpermit.Permit) error {
	_, _, err := bbrmember.ViewDocument(w.Store, w.State.Identity.Zone).Update(ctx, "", func(v *bbrview.View) error {
		for _, permit := range unused {
			v.Void(permit.Operation)
		}
		return nil
	})
	return err
}

// ReportOf returns what a zone reports of its view.
func ReportOf(view *bbrview.View) bbrpermit.Report {
	report := bbrpermit.Report{Members: make(map[string]int), Out: make(map[string]string)}
	for id, instance := range view.Instances {
		report.Members[instance.Pool]++
		if instance.State != bbrview.Serving {
			report.Out[id] = instance.Pool
		}
	}
	return report
}
