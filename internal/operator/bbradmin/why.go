package bbradmin

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmaintenance"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrapi"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrlanguage"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

func (x *Executor) why(ctx context.Context, c *bbrlanguage.Why, now time.Time) (bbrapi.Result, error) {
	switch c.Kind {
	case "job":
		return x.whyJob(ctx, c.Name, now)
	case "instance":
		return x.whyInstance(ctx, c.Name)
	default:
		return bbrapi.Result{}, wrongState("expected why job ID or why instance NAME")
	}
}

// whyJob explains a job from what is stored and from what its owner decided.
func (x *Executor) whyJob(ctx context.Context, id string, now time.Time) (bbrapi.Result, error) {
	t := &table{columns: []string{"what", "is"}}
	status, err := getRecord[bbrrecord.Status](ctx, x.Store, bbrrecord.StatusKey(id))
	if err != nil {
		return bbrapi.Result{}, err
	}
	if status == nil {
		return bbrapi.Result{}, bbrcode.Errorf(bbrcode.UnknownName, id, "no such job is stored: it was never accepted, or it ended long ago")
	}
	if !status.IsJob() {
		t.add("state", fmt.Sprintf("no job; the ID was cancelled at %s before one was stored", status.At.UTC().Format(time.RFC3339Nano)))
		return t.result(), nil
	}
	if status.State != "" {
		t.add("state", fmt.Sprintf("%s, stored at %s", status.State, status.At.UTC().Format(time.RFC3339Nano)))
		t.add("queue", status.Queue)
		return t.result(), nil
	}
	t.add("accepted", fmt.Sprintf("%s, %s ago", status.At.UTC().Format(time.RFC3339Nano), elapsed(status.At, now)))
	t.add("queue", status.Queue+" of service "+status.Service)
	x.addOwner(ctx, t, id, status.Shard(), now)
	return t.result(), nil
}

func (x *Executor) addOwner(ctx context.Context, t *table, id string, shard bbrwork.Shard, now time.Time) {
	t.add("shard", shard.String())
	claim, owned := x.Directory.Owner(shard.String())
	if !owned {
		t.add("owner", "none; no entry has claimed the shard yet")
		return
	}
	t.add("owner", fmt.Sprintf("%s, token %d", claim.Entry, claim.Revision))
	explanation, known := x.Explain(ctx, shard, id, now)
	if !known {
		t.add("decision", "the owner does not know the job yet, or does not answer")
		return
	}
	t.add("state", string(explanation.State))
	t.add("objective", fmt.Sprintf("%s, in %s", explanation.Objective.UTC().Format(time.RFC3339Nano), elapsed(now, explanation.Objective)))
	if explanation.Upstreams.Total > 0 {
		t.add("upstreams", describeUpstreams(explanation.Upstreams))
	}
	for _, step := range explanation.Steps {
		name := fmt.Sprintf("step %d.%d", step.Occurrence, step.Step)
		t.add(name, describeStep(step))
		if step.Reason != "" {
			t.add(name+" waits", x.describeWait(step, shard, now))
		}
	}
}

func describeStep(step bbrscheduler.StepExplanation) string {
	text := fmt.Sprintf("%d of %d done, %d running", step.Done, step.Units, step.Running)
	if len(step.Upstreams) > 0 {
		text += fmt.Sprintf(" on %v", slices.Compact(slices.Sorted(slices.Values(step.Upstreams))))
	}
	if step.Failures > 0 {
		text += fmt.Sprintf(", failed %d times", step.Failures)
	}
	if step.WaitDetail != "" {
		text += "; waits: " + step.WaitDetail
	}
	return text
}

// getItem returns the item of the key, with revision 0 if there is none.
func getItem(ctx context.Context, store *bbrkv.Store, key string) (bbrkv.Item, error) {
	item, err := store.Get(ctx, key)
	if errors.Is(err, bbrkv.ErrNotFound) {
		return bbrkv.Item{Key: key}, nil
	}
	return item, err
}

// getRecord returns the record that is stored under the key, or nil if there is none.
func getRecord[T any](ctx context.Context, store *bbrkv.Store, key string) (*T, error) {
	item, err := getItem(ctx, store, key)
	if err != nil || item.Revision == 0 {
		return nil, err
	}
	record := new(T)
	return record, errors.Wrap(json.Unmarshal(item.Value, record), key)
}

// whyInstance explains the state of an instance: its directive, its reservation and
// the waves that include it.
func (x *Executor) whyInstance(ctx context.Context, id string) (bbrapi.Result, error) {
	instances, err := x.Fleet.List(ctx)
	if err != nil {
		return bbrapi.Result{}, err
	}
	instance, err := findInstance(instances, id)
	if err != nil {
		return bbrapi.Result{}, err
	}
	t := &table{columns: []string{"what", "is"}}
	t.add("status", statusName(instance.Status)+" in pool "+instance.Pool+", zone "+instance.Zone)
	t.add("upstream", instance.Upstream)
	for _, add := range []func(ctx context.Context, t *table, instance bbrmachine.Instance) error{x.addDirective, x.addReserved, x.addWaves} {
		if err := add(ctx, t, instance); err != nil {
			return bbrapi.Result{}, err
		}
	}
	return t.result(), nil
}

func (x *Executor) addDirective(ctx context.Context, t *table, instance bbrmachine.Instance) error {
	directives, _, err := x.directives(ctx)
	if text := describeDirective(directives, instance.ID); text != "" {
		t.add("operators", text+" since "+directives[instance.ID].Since.UTC().Format(time.RFC3339))
	}
	return err
}

func (x *Executor) addReserved(ctx context.Context, t *table, instance bbrmachine.Instance) error {
	reserved, err := x.reserved(ctx)
	if err != nil || !reserved[instance.Upstream] {
		return err
	}
	service, err := x.drainedBy(ctx, instance.Upstream)
	if err != nil {
		return err
	}
	text := "takes no new work; no owner has reported yet that nothing runs there"
	if service != "" {
		text = "takes no new work, and nothing runs there any more, as reported by the owner of " + service
	}
	t.add("reserved", text)
	return nil
}

func (x *Executor) addWaves(ctx context.Context, t *table, instance bbrmachine.Instance) error {
	id := instance.ID
	items, _, err := x.Store.ReadAll(ctx, x.WavePrefix)
	if err != nil {
		return err
	}
	for _, item := range items {
		wave, err := x.DecodeWave(item.Value)
		if err != nil || !slices.Contains(wave.Instances, id) {
			continue
		}
		progress, err := x.waveProgress(ctx, wave.Number)
		if err != nil {
			return err
		}
		if progress == nil {
			progress = &bbrmaintenance.WaveRecord{}
		}
		state := "maintenance pending"
		if slices.Contains(progress.Done, id) {
			state = "maintenance done"
		}
		t.add(fmt.Sprintf("wave %d", wave.Number), fmt.Sprintf("%s; %d of %d instances done, at most %d at a time", state, len(progress.Done), len(wave.Instances), wave.MaxAway))
	}
	return nil
}
