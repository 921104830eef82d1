package bbrapi

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrwithdrawal"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrlanguage"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrroute"
)

func (x *Executor) why(ctx context.Context, c *bbrlanguage.Why) Result {
	if c.Kind == "queue" {
		return x.whyQueue(c.Name)
	}
	return x.whyInstance(ctx, c.Name)
}

func (x *Executor) whyInstance(ctx context.Context, id string) Result {
	views, note := x.latestViews(ctx)
	for _, view := range views {
		instance, ok := view.Instances[id]
		if !ok {
			continue
		}
		result := Done(note)
		result.Columns = []string{"what", "is"}
		result.Rows = append(describeInstance(&view, instance), x.blockers(ctx, &view, instance)...)
		return result
	}
	return ErrorResult(bbrcode.Errorf(bbrcode.UnknownInstance, id, "no zone known to this entry lists it"))
}

func describeInstance(view *bbrview.View, i bbrview.Instance) [][]string {
	rows := [][]string{
		{"state", fmt.Sprintf("%s since %s", i.State, formatTime(i.Since))},
		{"pool", fmt.Sprintf("%s in zone %s, rack %s", i.Pool, view.Zone, i.Rack)},
	}
	if i.Plan != "" {
		rows = append(rows, []string{"plan", strings.TrimSpace(string(i.Plan) + " " + i.Target)})
	}
	if i.Reason != "" {
		rows = append(rows, []string{"reason", i.Reason})
	}
	if i.Operation != "" {
		rows = append(rows, []string{"operation", i.Operation})
	}
	return rows
}

// blockers lists what a withdrawn instance waits for, and the permit that it holds.
func (x *Executor) blockers(ctx context.Context, view *bbrview.View, i bbrview.Instance) [][]string {
	var rows [][]string
	if i.State == bbrview.Draining || i.State == bbrview.Lost {
		for peer, entry := range view.Entries {
			ack, err := x.acknowledge(ctx, peer)
			switch {
			case err != nil:
				rows = append(rows, []string{"waits for", fmt.Sprintf("entry %s, which does not answer (%d frozen)", entry.Name, bbrcode.Frozen)})
			case ack.InFlight[i.ID] > 0:
				rows = append(rows, []string{"waits for", fmt.Sprintf("%d requests in flight from entry %s", ack.InFlight[i.ID], entry.Name)})
			}
		}
	}
	registry, _, err := bbrwithdrawal.PermitDocument(x.Store).Load(ctx)
	if permit, ok := registry.Permits[i.ID]; err == nil && ok {
		rows = append(rows, []string{"permit", "held since " + formatTime(permit.Since)})
	}
	return rows
}

func (x *Executor) acknowledge(ctx context.Context, peer netip.AddrPort) (bbrview.Ack, error) {
	if peer == x.State.Identity.Peer {
		return x.State.Acknowledge(), nil
	}
	ack, _, err := x.Client.Acknowledge(ctx, peer, acknowledgeTimeout)
	return ack, err
}

func (x *Executor) whyQueue(name string) Result {
	queue, ok := x.State.Table().Queues[name]
	if !ok {
		return ErrorResult(bbrcode.Errorf(bbrcode.UnknownName, name, "no queue has this name"))
	}
	pool := queue.Pool
	result := Done("as seen by entry " + x.State.Identity.Name)
	result.Columns = []string{"what", "is"}
	result.Rows = [][]string{
		{"pool", pool.Name},
		{"waiting", fmt.Sprintf("%d of at most %d", queue.State.Waiting(), queue.Config.Bound)},
		{"slots", fmt.Sprintf("%d free of %d", pool.FreeSlots(), pool.Slots())},
		{"run time", queue.State.RunTimes.Mean().String()},
		{"may send", strconv.FormatBool(x.State.MaySend(time.Now()))},
	}
	result.Rows = append(result.Rows, ejectedTargets(pool)...)
	return result
}

func ejectedTargets(pool *bbrroute.Pool) [][]string {
	var rows [][]string
	for _, target := range pool.Targets {
		if target.Health.Ejected(time.Now()) {
			rows = append(rows, []string{"ejected", target.ID + ", which failed several times in a row"})
		}
	}
	return rows
}
