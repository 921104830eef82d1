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

// target is an instance that operators want to take from its pool.
type target struct {
	bbrmachine.Instance
	all []bbrmachine.Instance
	// keep is how many instances the pool's lasting work needs, by its owners'
	// last reports.
	keep int
}

func (d *Executor) target(ctx context.Context, id string) (*target, error) {
	instances, err := d.Fleet.List(ctx)
	if err != nil {
		return nil, unavailable(err)
	}
	instance, err := listed(instances, id)
	if err != nil {
		return nil, err
	}
	reports, err := d.reports(ctx, bbrrecord.ReportPrefixOf(instance.Pool))
	if err != nil {
		return nil, unavailable(err)
	}
	t := &target{Instance: instance, all: instances}
	for _, report := range reports {
		t.keep += report.Demand.MinUpstreams
	}
	return t, nil
}

// spend returns an error where the pool cannot do without the instance.
func (t *target) spend(directives bbrmachine.Directives) error {
	left := 0
	for _, other := range t.all {
		directive, asked := directives[other.ID]
		drained := asked && directive.Drained()
		if other.Pool == t.Pool && other.ID != t.ID && other.Status == bbrmachine.StatusUp && !drained {
			left++
		}
	}
	if left < t.keep {
		return bbrcode.Errorf(bbrcode.BudgetExhausted, t.Pool, "%d instances would be left, and its lasting work needs %d", left, t.keep)
	}
	return nil
}

// drain takes an instance out of service.
func (d *Executor) drain(ctx context.Context, c *bbrlanguage.Target, dryRun bool, now time.Time) (bbrapi.Result, error) {
	t, err := d.target(ctx, c.Instance)
	if err != nil {
		return bbrapi.Result{}, err
	}
	return d.change(ctx, dryRun, c.Instance+" is drained until it is resumed; why instance tells when nothing runs there", func(directives bbrmachine.Directives) error {
		if directive, asked := directives[c.Instance]; asked && directive.Drained() {
			return nil
		}
		if err := t.spend(directives); err != nil {
			return err
		}
		directives[c.Instance] = bbrmachine.Directive{Reason: c.Reason, Since: now}
		return nil
	})
}

// move pins an instance to a pool.
func (d *Executor) move(ctx context.Context, c *bbrlanguage.Move, dryRun bool, now time.Time) (bbrapi.Result, error) {
	config := d.Config()
	if config == nil {
		return bbrapi.Result{}, notHere("no configuration is known yet")
	}
	if _, known := config.Services[c.Pool]; !known {
		return bbrapi.Result{}, bbrcode.Errorf(bbrcode.UnknownName, c.Pool, "the pools are %v", slices.Sorted(maps.Keys(config.Services)))
	}
	t, err := d.target(ctx, c.Instance)
	if err != nil {
		return bbrapi.Result{}, err
	}
	return d.change(ctx, dryRun, c.Instance+" goes to "+c.Pool+" and stays there until it is resumed", func(directives bbrmachine.Directives) error {
		if t.Pool != c.Pool {
			if err := t.spend(directives); err != nil {
				return err
			}
		}
		directives[c.Instance] = bbrmachine.Directive{Pool: c.Pool, Reason: c.Reason, Since: now}
		return nil
	})
}

// resume ends what operators asked of an instance.
func (d *Executor) resume(ctx context.Context, id string, dryRun bool) (bbrapi.Result, error) {
	return d.change(ctx, dryRun, id+" serves as the demand asks for it", func(directives bbrmachine.Directives) error {
		if _, asked := directives[id]; !asked {
			return bbrcode.Errorf(bbrcode.WrongState, id, "operators ask nothing of it")
		}
		delete(directives, id)
		return nil
	})
}

// change reads the directives, changes them and stores them if nobody else has
// meanwhile.
func (d *Executor) change(ctx context.Context, dryRun bool, text string, apply func(directives bbrmachine.Directives) error) (bbrapi.Result, error) {
	directives, revision, err := d.directives(ctx)
	if err != nil {
		return bbrapi.Result{}, unavailable(err)
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
	stored, err := d.Store.Commit(ctx, bbrkv.Transaction{
		Conditions: []bbrkv.Condition{{Key: bbrclaim.DirectivesKey, Revision: revision}},
		Puts:       []bbrkv.Put{{Key: bbrclaim.DirectivesKey, Value: bbrrecord.Encode(directives)}},
	})
	if err != nil {
		return bbrapi.Result{}, unstored(err)
	}
	klog.InfoS("Directives stored", "revision", stored, "directives", len(directives), "result", text)
	return bbrapi.Done(text), nil
}

// unavailable gives an error of a read its code.
func unavailable(err error) error {
	return bbrcode.Errorf(bbrcode.PlatformUnavailable, "store", "%v", err)
}

// unstored gives an error of a write its code: whether it was made is known only
// where the store says so.
func unstored(err error) error {
	var conflict *bbrkv.Conflict
	switch {
	case errors.As(err, &conflict):
		return bbrcode.Errorf(bbrcode.Conflict, "directives", "another operator has just changed them; try again")
	case errors.Is(err, bbrkv.ErrRefused):
		return unavailable(err)
	default:
		return bbrcode.Errorf(bbrcode.WriteUnknown, "store", "%v; the same command again does no harm", err)
	}
}

func listed(instances []bbrmachine.Instance, id string) (bbrmachine.Instance, error) {
	at := slices.IndexFunc(instances, func(instance bbrmachine.Instance) bool { return instance.ID == id })
	if at < 0 {
		return bbrmachine.Instance{}, bbrcode.Errorf(bbrcode.UnknownInstance, id, "the platform does not list it")
	}
	return instances[at], nil
}

// describeDirective tells what operators ask of an instance; empty for nothing.
func describeDirective(directives bbrmachine.Directives, id string) string {
	directive, asked := directives[id]
	if !asked {
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

// directives reads what operators ask of instances, and as of which revision.
func (d *Executor) directives(ctx context.Context) (bbrmachine.Directives, bbrkv.Revision, error) {
	item, err := find(ctx, d.Store, bbrclaim.DirectivesKey)
	if err != nil {
		return nil, 0, err
	}
	directives, err := bbrmachine.ParseDirectives(item.Value)
	return directives, item.Revision, errors.Wrap(err, bbrclaim.DirectivesKey)
}

// clearedBy returns the service whose owner reports that nothing runs on an
// upstream; empty for none.
func (d *Executor) clearedBy(ctx context.Context, upstream string) (string, error) {
	reports, err := d.reports(ctx, bbrrecord.ReportPrefix)
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
