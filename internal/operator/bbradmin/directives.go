package bbradmin

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrapi"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrlanguage"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// target is an instance that an operator wants to take out of its pool.
type target struct {
	bbrmachine.Instance
	instances []bbrmachine.Instance
	// minInstances is how many instances the pool's long-running work needs,
	// according to the last reports of its owners.
	minInstances int
}

func (x *Executor) target(ctx context.Context, id string) (*target, error) {
	instances, err := x.Fleet.List(ctx)
	if err != nil {
		return nil, unavailableError(err)
	}
	instance, err := findInstance(instances, id)
	if err != nil {
		return nil, err
	}
	reports, err := x.reports(ctx, bbrrecord.ReportPrefixOf(instance.Pool))
	if err != nil {
		return nil, unavailableError(err)
	}
	t := &target{Instance: instance, instances: instances}
	for _, report := range reports {
		t.minInstances += report.Demand.MinUpstreams
	}
	return t, nil
}

// checkBudget returns an error if the pool needs the instance for its long-running
// work.
func (t *target) checkBudget(directives bbrmachine.Directives) error {
	remaining := 0
	for _, instance := range t.instances {
		directive, exists := directives[instance.ID]
		drained := exists && directive.Drained()
		if instance.Pool == t.Pool && instance.ID != t.ID && instance.Status == bbrmachine.StatusUp && !drained {
			remaining++
		}
	}
	if remaining < t.minInstances {
		return bbrcode.Errorf(bbrcode.BudgetExhausted, t.Pool, "%d instances would remain, and its long-running work needs %d", remaining, t.minInstances)
	}
	return nil
}

// drain takes an instance out of service.
func (x *Executor) drain(ctx context.Context, c *bbrlanguage.Target, dryRun bool, now time.Time) (bbrapi.Result, error) {
	t, err := x.target(ctx, c.Instance)
	if err != nil {
		return bbrapi.Result{}, err
	}
	return x.change(ctx, dryRun, c.Instance+" is being drained, and stays drained until it is resumed; why instance reports when nothing runs there", func(directives bbrmachine.Directives) error {
		if directive, exists := directives[c.Instance]; exists && directive.Drained() {
			return nil
		}
		if err := t.checkBudget(directives); err != nil {
			return err
		}
		directives[c.Instance] = bbrmachine.Directive{Reason: c.Reason, Since: now}
		return nil
	})
}

// move pins an instance to a pool.
func (x *Executor) move(ctx context.Context, c *bbrlanguage.Move, dryRun bool, now time.Time) (bbrapi.Result, error) {
	config := x.Config()
	if config == nil {
		return bbrapi.Result{}, wrongState("no configuration is known yet")
	}
	if _, known := config.Services[c.Pool]; !known {
		return bbrapi.Result{}, bbrcode.Errorf(bbrcode.UnknownName, c.Pool, "the pools are %v", slices.Sorted(maps.Keys(config.Services)))
	}
	t, err := x.target(ctx, c.Instance)
	if err != nil {
		return bbrapi.Result{}, err
	}
	return x.change(ctx, dryRun, c.Instance+" moves to pool "+c.Pool+" and stays there until it is resumed", func(directives bbrmachine.Directives) error {
		if t.Pool != c.Pool {
			if err := t.checkBudget(directives); err != nil {
				return err
			}
		}
		directives[c.Instance] = bbrmachine.Directive{Pool: c.Pool, Reason: c.Reason, Since: now}
		return nil
	})
}

// resume removes the directive on an instance.
func (x *Executor) resume(ctx context.Context, id string, dryRun bool) (bbrapi.Result, error) {
	return x.change(ctx, dryRun, id+" is no longer drained or pinned to a pool", func(directives bbrmachine.Directives) error {
		if _, exists := directives[id]; !exists {
			return bbrcode.Errorf(bbrcode.WrongState, id, "the instance is neither drained nor pinned to a pool")
		}
		delete(directives, id)
		return nil
	})
}

// change reads the directives, applies a change and stores them, unless they were
// changed by somebody else in between.
func (x *Executor) change(ctx context.Context, dryRun bool, text string, apply func(directives bbrmachine.Directives) error) (bbrapi.Result, error) {
	directives, revision, err := x.directives(ctx)
	if err != nil {
		return bbrapi.Result{}, unavailableError(err)
	}
	before := maps.Clone(directives)
	if err := apply(directives); err != nil {
		return bbrapi.Result{}, err
	}
	if dryRun {
		result := bbrapi.Done(text)
		result.Code, result.Name = bbrcode.DryRun, bbrcode.DryRun.String()
		return result, nil
	}
	if maps.Equal(before, directives) {
		return bbrapi.Done(text), nil
	}
	committed, err := x.Store.Commit(ctx, bbrkv.Transaction{
		Conditions: []bbrkv.Condition{{Key: bbrclaim.DirectivesKey, Revision: revision}},
		Puts:       []bbrkv.Put{{Key: bbrclaim.DirectivesKey, Value: bbrrecord.Encode(directives)}},
	})
	if err != nil {
		return bbrapi.Result{}, writeError(err)
	}
	klog.InfoS("Directives stored", "revision", committed, "directives", len(directives), "result", text)
	return bbrapi.Done(text), nil
}

// unavailableError returns the coded error for a failed read.
func unavailableError(err error) error {
	return bbrcode.Errorf(bbrcode.PlatformUnavailable, "store", "%v", err)
}

// writeError returns the coded error for a failed write. Only a conflict or a
// refusal by the store shows that nothing was written.
func writeError(err error) error {
	var conflict *bbrkv.Conflict
	switch {
	case errors.As(err, &conflict):
		return bbrcode.Errorf(bbrcode.Conflict, "directives", "another operator changed the directives at the same time; try again")
	case errors.Is(err, bbrkv.ErrRefused):
		return unavailableError(err)
	default:
		return bbrcode.Errorf(bbrcode.WriteUnknown, "store", "%v; it is safe to repeat the command", err)
	}
}

func findInstance(instances []bbrmachine.Instance, id string) (bbrmachine.Instance, error) {
	index := slices.IndexFunc(instances, func(instance bbrmachine.Instance) bool { return instance.ID == id })
	if index < 0 {
		return bbrmachine.Instance{}, bbrcode.Errorf(bbrcode.UnknownInstance, id, "the platform does not list the instance")
	}
	return instances[index], nil
}

// describeDirective describes the directive on an instance; it is empty for none.
func describeDirective(directives bbrmachine.Directives, id string) string {
	directive, exists := directives[id]
	if !exists {
		return ""
	}
	text := "drained"
	if !directive.Drained() {
		text = "pinned to " + directive.Pool
	}
	if directive.Reason != "" {
		text += fmt.Sprintf(" for %q", directive.Reason)
	}
	return text
}

// directives reads the directives on instances, and the revision of the key that
// holds them.
func (x *Executor) directives(ctx context.Context) (bbrmachine.Directives, bbrkv.Revision, error) {
	item, err := getItem(ctx, x.Store, bbrclaim.DirectivesKey)
	if err != nil {
		return nil, 0, err
	}
	directives, err := bbrmachine.ParseDirectives(item.Value)
	return directives, item.Revision, errors.Wrap(err, bbrclaim.DirectivesKey)
}

// drainedBy returns the service whose owner reports that nothing runs on an upstream
// any more; it is empty for none.
func (x *Executor) drainedBy(ctx context.Context, upstream string) (string, error) {
	reports, err := x.reports(ctx, bbrrecord.ReportPrefix)
	if err != nil {
		return "", err
	}
	for _, report := range reports {
		if slices.Contains(report.Drained, upstream) {
			return report.shard.Service, nil
		}
	}
	return "", nil
}
