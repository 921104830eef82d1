package bbrapi

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrwave"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrwithdrawal"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrlanguage"
)

// table is the output of a show command.
type table struct {
	columns []string
	rows    [][]string
	// note states which revision the rows show or how they may be out of date.
	note string
}

func (x *Executor) show(ctx context.Context, c *bbrlanguage.Show) Result {
	t, err := x.list(ctx, c.Kind)
	if err != nil {
		return ErrorResult(err)
	}
	rows, err := c.Select(t.columns, t.rows)
	if err != nil {
		return ErrorResult(err)
	}
	result := Done(t.note)
	result.Columns, result.Rows = t.columns, rows
	return result
}

func (x *Executor) list(ctx context.Context, kind string) (table, error) {
	switch kind {
	case "instances":
		return x.instances(ctx), nil
	case "entries":
		return x.entries(ctx), nil
	case "waves":
		return x.waves(ctx)
	case "permits":
		return x.permits(ctx)
	default:
		return x.listConfig(kind), nil
	}
}

// latestViews returns the views of all zones: those on the platform, or, if it does
// not answer, the last ones that this entry received, with a note that says so.
func (x *Executor) latestViews(ctx context.Context) ([]bbrview.View, string) {
	views, err := x.views(ctx)
	if err == nil {
		return views, ""
	}
	views = []bbrview.View{x.State.Snapshot().View}
	for _, zone := range x.State.OtherZones() {
		views = append(views, zone.View)
	}
	return views, "the platform does not answer; other zones are shown as last received by this entry"
}

func (x *Executor) instances(ctx context.Context) table {
	t := table{columns: []string{"instance", "zone", "rack", "pool", "state", "plan", "since", "reason"}}
	views, note := x.latestViews(ctx)
	t.note = note
	for _, view := range views {
		for id, i := range view.Instances {
			plan := string(i.Plan)
			if i.Target != "" {
				plan += " to " + i.Target
			}
			t.rows = append(t.rows, []string{id, view.Zone, i.Rack, i.Pool, string(i.State), plan, formatTime(i.Since), i.Reason})
		}
	}
	return t
}

func formatTime(at time.Time) string { return at.UTC().Format(time.RFC3339) }

func (x *Executor) entries(ctx context.Context) table {
	t := table{columns: []string{"entry", "zone", "peer", "active", "suspected"}}
	views, note := x.latestViews(ctx)
	t.note = note
	for _, view := range views {
		for peer, e := range view.Entries {
			t.rows = append(t.rows, []string{e.Name, view.Zone, peer.String(), strconv.FormatBool(e.Active), strconv.FormatBool(e.Suspected())})
		}
	}
	return t
}

func (x *Executor) waves(ctx context.Context) (table, error) {
	t := table{columns: []string{"wave", "pool", "status", "pending", "started", "finished", "failed", "since", "reason"}}
	keys, err := x.Store.Keys(ctx, bbrwave.KeyPrefix)
	if err != nil {
		return t, err
	}
	for _, key := range keys {
		var w bbrwave.Wave
		value, err := x.Store.Get(ctx, key, 0)
		if err == nil {
			err = json.Unmarshal(value.Data, &w)
		}
		if err != nil {
			return t, err
		}
		row := []string{w.Name, cmp.Or(w.Pool, "all"), string(w.Status)}
		for _, phase := range []bbrwave.Phase{bbrwave.Pending, bbrwave.Started, bbrwave.Finished, bbrwave.Failed} {
			row = append(row, strconv.Itoa(w.Count(phase)))
		}
		t.rows = append(t.rows, append(row, formatTime(w.Since), w.Reason))
	}
	return t, nil
}

func (x *Executor) permits(ctx context.Context) (table, error) {
	t := table{columns: []string{"instance", "zone", "pool", "kind", "since", "operation"}}
	registry, _, err := bbrwithdrawal.PermitDocument(x.Store).Load(ctx)
	if err != nil {
		return t, err
	}
	for id, p := range registry.Permits {
		t.rows = append(t.rows, []string{id, p.Zone, p.Pool, "planned", formatTime(p.Since), p.Operation})
	}
	for zone, report := range registry.Zones {
		for id, pool := range report.Unavailable {
			if _, planned := registry.Permits[id]; !planned {
				t.rows = append(t.rows, []string{id, zone, pool, "unplanned", "", ""})
			}
		}
	}
	return t, nil
}

// listConfig lists the items of one kind in the configuration.
func (x *Executor) listConfig(kind string) table {
	revision := x.State.Revision()
	config := revision.Config
	t := table{note: fmt.Sprintf("revision %d", revision.Number)}
	switch kind {
	case "pools":
		t.columns = []string{"pool", "urgentReserve", "slotsHere", "freeHere"}
		for _, name := range slices.Sorted(maps.Keys(config.Pools)) {
			slots, free := 0, 0
			if pool := x.State.Table().Pools[name]; pool != nil {
				slots, free = pool.Slots(), pool.FreeSlots()
			}
			t.rows = append(t.rows, []string{name, strconv.Itoa(config.Pools[name].UrgentReserve), strconv.Itoa(slots), strconv.Itoa(free)})
		}
	case "queues":
		t.columns = []string{"queue", "service", "pool", "bound", "timeout", "idempotent"}
		for name, q := range config.Queues {
			t.rows = append(t.rows, []string{name, q.Service, q.Pool, strconv.Itoa(q.Bound), q.Timeout.String(), cmp.Or(q.Idempotent, "by method")})
		}
	case "services":
		t.columns = []string{"service", "budget"}
		for name, s := range config.Services {
			t.rows = append(t.rows, []string{name, strconv.Itoa(s.Budget)})
		}
	case "teams":
		t.columns = []string{"team", "quota"}
		for name, team := range config.Teams {
			t.rows = append(t.rows, []string{name, strconv.Itoa(team.Quota)})
		}
	}
	return t
}
