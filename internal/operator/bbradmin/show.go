package bbradmin

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmaintenance"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

func (x *Executor) list(ctx context.Context, kind string, now time.Time) (*table, error) {
	switch kind {
	case "jobs":
		return x.jobs(ctx, now)
	case "waves":
		return x.waves(ctx, now)
	case "instances":
		return x.instances(ctx)
	case "services":
		return x.services(ctx, now)
	case "entries":
		return x.entries(), nil
	case "queues":
		return x.queues(), nil
	case "organisations":
		return x.organisations(ctx)
	case "interference":
		return x.interference(ctx, now)
	default:
		return nil, wrongState(kind + " do not exist on the platform's fleet")
	}
}

// jobs lists the stored jobs that have not ended.
func (x *Executor) jobs(ctx context.Context, now time.Time) (*table, error) {
	t := &table{columns: []string{"job", "queue", "service", "age", "steps", "units", "lasting"}}
	items, _, err := x.Store.ReadAll(ctx, bbrrecord.JobPrefix)
	if err != nil {
		return nil, err
	}
	for _, item := range items {
		var job bbrwork.Job
		if err := json.Unmarshal(item.Value, &job); err != nil {
			return nil, errors.Wrap(err, item.Key)
		}
		units := 0
		for i := range job.Steps {
			units += job.Steps[i].Count
		}
		t.add(job.ID, job.Queue, job.Service, elapsed(job.Accepted, now), strconv.Itoa(len(job.Steps)), strconv.Itoa(units*job.Occurrences()), strconv.FormatBool(job.LongRunning()))
	}
	return t, nil
}

func elapsed(since, now time.Time) string { return now.Sub(since).Round(time.Millisecond).String() }

// waves lists the waves that operators requested, with the progress that the fleet
// leader has stored.
func (x *Executor) waves(ctx context.Context, now time.Time) (*table, error) {
	t := &table{columns: []string{"wave", "instances", "done", "cap", "within", "age"}}
	items, _, err := x.Store.ReadAll(ctx, x.WavePrefix)
	if err != nil {
		return nil, err
	}
	for _, item := range items {
		wave, err := x.DecodeWave(item.Value)
		if err != nil {
			return nil, errors.Wrap(err, item.Key)
		}
		done, since := "0", "not started"
		progress, err := x.waveProgress(ctx, wave.Number)
		if err != nil {
			return nil, err
		}
		if progress != nil {
			done, since = strconv.Itoa(len(progress.Done)), elapsed(progress.StartTime, now)
		}
		t.add(strconv.FormatInt(wave.Number, 10), strconv.Itoa(len(wave.Instances)), done, strconv.Itoa(wave.MaxAway), wave.TimeLimit.String(), since)
	}
	return t, nil
}

// waveProgress returns the stored progress of a wave, or nil before it has started.
func (x *Executor) waveProgress(ctx context.Context, wave int64) (*bbrmaintenance.WaveRecord, error) {
	return getRecord[bbrmaintenance.WaveRecord](ctx, x.Store, bbrmaintenance.WaveKey(wave))
}

func (x *Executor) instances(ctx context.Context) (*table, error) {
	t := &table{columns: []string{"instance", "pool", "status", "zone", "upstream", "reserved", "operators"}}
	instances, err := x.Fleet.List(ctx)
	if err != nil {
		return nil, err
	}
	directives, _, err := x.directives(ctx)
	if err != nil {
		return nil, err
	}
	reserved, err := x.reserved(ctx)
	if err != nil {
		return nil, err
	}
	for _, instance := range instances {
		t.add(instance.ID, instance.Pool, statusName(instance.Status), instance.Zone, instance.Upstream, strconv.FormatBool(reserved[instance.Upstream]), describeDirective(directives, instance.ID))
	}
	return t, nil
}

// reserved reads the upstreams that are reserved for planned moves and maintenance.
func (x *Executor) reserved(ctx context.Context) (map[string]bool, error) {
	item, err := getItem(ctx, x.Store, bbrclaim.ReservedKey)
	if err != nil {
		return nil, err
	}
	return bbrclaim.ParseReserved(item)
}

func statusName(status bbrmachine.Status) string {
	switch status {
	case bbrmachine.StatusUp:
		return "up"
	case bbrmachine.StatusMoving:
		return "moving"
	case bbrmachine.StatusMaintained:
		return "maintained"
	case bbrmachine.StatusDown:
		return "down"
	default:
		return "unknown"
	}
}

// report is the last report of the owner of a shard.
type report struct {
	bbrrecord.Report
	shard bbrwork.Shard
}

// reports reads the owners' reports whose keys begin with the prefix.
func (x *Executor) reports(ctx context.Context, prefix string) ([]report, error) {
	items, _, err := x.Store.ReadAll(ctx, prefix)
	if err != nil {
		return nil, err
	}
	reports := make([]report, len(items))
	for i, item := range items {
		if err := json.Unmarshal(item.Value, &reports[i].Report); err != nil {
			return nil, errors.Wrap(err, item.Key)
		}
		reports[i].shard, err = bbrwork.ParseShard(strings.TrimPrefix(item.Key, bbrrecord.ReportPrefix))
		if err != nil {
			return nil, errors.Wrap(err, item.Key)
		}
	}
	return reports, nil
}

// services lists the owners of all shards with their last reports, and the fleet
// leader.
func (x *Executor) services(ctx context.Context, now time.Time) (*table, error) {
	t := &table{columns: []string{"service", "cell", "owner", "token", "waiting", "demandMilliCPU", "keep", "reportAge"}}
	reports, err := x.reports(ctx, bbrrecord.ReportPrefix)
	if err != nil {
		return nil, err
	}
	for _, report := range reports {
		owner, token := "none", ""
		if claim, ok := x.Directory.Owner(report.shard.String()); ok {
			owner, token = claim.Entry, strconv.FormatInt(int64(claim.Revision), 10)
		}
		waiting := 0
		for _, count := range report.Waiting {
			waiting += count
		}
		t.add(report.shard.Service, strconv.Itoa(report.shard.Cell), owner, token, strconv.Itoa(waiting), strconv.Itoa(report.Demand.MilliCPU), strconv.Itoa(report.Demand.MinUpstreams), elapsed(report.At, now))
	}
	if claim, ok := x.Directory.Owner(bbrclaim.LeadershipName); ok {
		t.add(bbrclaim.LeadershipName, "", claim.Entry, strconv.FormatInt(int64(claim.Revision), 10), "", "", "", "")
	}
	return t, nil
}

func (x *Executor) entries() *table {
	t := &table{columns: []string{"entry"}}
	for _, name := range x.Directory.Entries() {
		t.add(name)
	}
	return t
}

func (x *Executor) queues() *table {
	t := &table{columns: []string{"queue", "service", "host", "prefix", "priority", "attempts", "objective"}}
	config := x.Config()
	if config == nil {
		return t
	}
	for _, name := range slices.Sorted(maps.Keys(config.Queues)) {
		q := config.Queues[name]
		t.add(name, q.Service, q.Host, q.Prefix, strconv.Itoa(q.Priority), strconv.Itoa(q.Attempts), fmt.Sprintf("%g x work + %v", q.Stretch, q.Objective))
	}
	return t
}
