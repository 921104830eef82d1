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

func (d *Executor) list(ctx context.Context, kind string, now time.Time) (*table, error) {
	switch kind {
	case "jobs":
		return d.jobs(ctx, now)
	case "waves":
		return d.waves(ctx, now)
	case "instances":
		return d.instances(ctx)
	case "services":
		return d.services(ctx, now)
	case "entries":
		return d.entries(), nil
	case "queues":
		return d.queues(), nil
	default:
		return nil, notHere(kind + " are not kept on the platform's fleet")
	}
}

// jobs lists what is stored and has not ended.
func (d *Executor) jobs(ctx context.Context, now time.Time) (*table, error) {
	t := &table{columns: []string{"job", "queue", "service", "age", "steps", "units", "lasting"}}
	items, _, err := d.Store.ReadAll(ctx, bbrrecord.JobPrefix)
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
		t.add(job.ID, job.Queue, job.Service, age(job.Accepted, now), strconv.Itoa(len(job.Steps)), strconv.Itoa(units*job.Occurrences()), strconv.FormatBool(job.LongRunning()))
	}
	return t, nil
}

func age(since, now time.Time) string { return now.Sub(since).Round(time.Millisecond).String() }

// waves lists what operators asked for with what the holder of the fleet duty
// stored of it.
func (d *Executor) waves(ctx context.Context, now time.Time) (*table, error) {
	t := &table{columns: []string{"wave", "instances", "done", "cap", "within", "age"}}
	items, _, err := d.Store.ReadAll(ctx, d.WavePrefix)
	if err != nil {
		return nil, err
	}
	for _, item := range items {
		wave, err := d.DecodeWave(item.Value)
		if err != nil {
			return nil, errors.Wrap(err, item.Key)
		}
		done, since := "0", "not begun"
		progress, err := d.waveProgress(ctx, wave.Number)
		if err != nil {
			return nil, err
		}
		if progress != nil {
			done, since = strconv.Itoa(len(progress.Done)), age(progress.StartTime, now)
		}
		t.add(strconv.FormatInt(wave.Number, 10), strconv.Itoa(len(wave.Instances)), done, strconv.Itoa(wave.MaxAway), wave.TimeLimit.String(), since)
	}
	return t, nil
}

// waveProgress returns what is stored of a wave, or nil before it has begun.
func (d *Executor) waveProgress(ctx context.Context, wave int64) (*bbrmaintenance.WaveRecord, error) {
	return read[bbrmaintenance.WaveRecord](ctx, d.Store, bbrmaintenance.WaveKey(wave))
}

func (d *Executor) instances(ctx context.Context) (*table, error) {
	t := &table{columns: []string{"instance", "pool", "status", "zone", "upstream", "reserved", "operators"}}
	instances, err := d.Fleet.List(ctx)
	if err != nil {
		return nil, err
	}
	directives, _, err := d.directives(ctx)
	if err != nil {
		return nil, err
	}
	reserved, err := d.reserved(ctx)
	if err != nil {
		return nil, err
	}
	for _, instance := range instances {
		t.add(instance.ID, instance.Pool, statusName(instance.Status), instance.Zone, instance.Upstream, strconv.FormatBool(reserved[instance.Upstream]), describeDirective(directives, instance.ID))
	}
	return t, nil
}

// reserved reads the upstreams that planned work takes.
func (d *Executor) reserved(ctx context.Context) (map[string]bool, error) {
	item, err := find(ctx, d.Store, bbrclaim.ReservedKey)
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

// report is what the owner of a shard told last.
type report struct {
	bbrrecord.Report
	shard bbrwork.Shard
}

// reports reads what the owners told whose keys begin with the prefix.
func (d *Executor) reports(ctx context.Context, prefix string) ([]report, error) {
	items, _, err := d.Store.ReadAll(ctx, prefix)
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

// services lists the owners with their last reports.
func (d *Executor) services(ctx context.Context, now time.Time) (*table, error) {
	t := &table{columns: []string{"service", "cell", "owner", "token", "waiting", "demandMilliCPU", "keep", "reportAge"}}
	reports, err := d.reports(ctx, bbrrecord.ReportPrefix)
	if err != nil {
		return nil, err
	}
	for _, report := range reports {
		owner, token := "none", ""
		if claim, ok := d.Directory.Owner(report.shard.String()); ok {
			owner, token = claim.Entry, strconv.FormatInt(int64(claim.Revision), 10)
		}
		waiting := 0
		for _, count := range report.Waiting {
			waiting += count
		}
		t.add(report.shard.Service, strconv.Itoa(report.shard.Cell), owner, token, strconv.Itoa(waiting), strconv.Itoa(report.Demand.MilliCPU), strconv.Itoa(report.Demand.MinUpstreams), age(report.At, now))
	}
	if claim, ok := d.Directory.Owner(bbrclaim.LeadershipName); ok {
		t.add(bbrclaim.LeadershipName, "", claim.Entry, strconv.FormatInt(int64(claim.Revision), 10), "", "", "", "")
	}
	return t, nil
}

func (d *Executor) entries() *table {
	t := &table{columns: []string{"entry"}}
	for _, name := range d.Directory.Entries() {
		t.add(name)
	}
	return t
}

func (d *Executor) queues() *table {
	t := &table{columns: []string{"queue", "service", "host", "prefix", "priority", "attempts", "objective"}}
	config := d.Config()
	if config == nil {
		return t
	}
	for _, name := range slices.Sorted(maps.Keys(config.Queues)) {
		q := config.Queues[name]
		t.add(name, q.Service, q.Host, q.Prefix, strconv.Itoa(q.Priority), strconv.Itoa(q.Attempts), fmt.Sprintf("%g x work + %v", q.Stretch, q.Objective))
	}
	return t
}
