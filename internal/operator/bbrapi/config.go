package bbrapi

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrrevision"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmember"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrpermit"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrwithdrawal"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrlanguage"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrstore"
)

const (
	// applyTimeout bounds the wait for a change to be in force at all entries.
	applyTimeout = 5 * time.Second
	pollInterval = 50 * time.Millisecond
	// acknowledgeTimeout bounds the query to one entry.
	acknowledgeTimeout = time.Second
)

func (x *Executor) configDocument() bbrstore.Document[bbrrevision.Config] {
	return bbrstore.Document[bbrrevision.Config]{Store: x.Store, Key: bbrrevision.Key, Applied: bbrrevision.Applied}
}

func (x *Executor) set(ctx context.Context, c *bbrlanguage.Set, request Request) Result {
	change, err := parseChange(c)
	if err != nil {
		return ErrorResult(err)
	}
	return x.applyChange(ctx, change, request)
}

func (x *Executor) assign(ctx context.Context, c *bbrlanguage.Assign, request Request) Result {
	return x.applyChange(ctx, bbrrevision.PoolChange(c.Queue, c.Pool), request)
}

func parseChange(c *bbrlanguage.Set) (bbrrevision.Change, error) {
	if c.Field == "timeout" {
		timeout, err := time.ParseDuration(c.Value)
		if err != nil {
			return bbrrevision.Change{}, bbrcode.Errorf(bbrcode.Syntax, c.Value, "expected a duration such as 30s")
		}
		return bbrrevision.TimeoutChange(c.Name, timeout), nil
	}
	number, err := strconv.Atoi(c.Value)
	if err != nil {
		return bbrrevision.Change{}, bbrcode.Errorf(bbrcode.Syntax, c.Value, "expected a whole number")
	}
	switch c.Field {
	case "budget":
		return bbrrevision.BudgetChange(c.Name, number), nil
	case "quota":
		return bbrrevision.QuotaChange(c.Name, number), nil
	default:
		return bbrrevision.BoundChange(c.Name, number), nil
	}
}

// applyChange changes one field and waits until the change is in force. The value
// that the first attempt read must still be there if the update is retried.
func (x *Executor) applyChange(ctx context.Context, change bbrrevision.Change, request Request) Result {
	var previous *string
	update := func(c *bbrrevision.Config) error {
		if previous == nil {
			value, err := change.Get(c)
			if err != nil {
				return err
			}
			previous = &value
		}
		return change.Apply(c, *previous, request.Operation)
	}
	return x.updateConfig(ctx, update, request)
}

// ReplaceConfig replaces the whole configuration, except for the record of
// operations, and waits until it is in force.
func (x *Executor) ReplaceConfig(ctx context.Context, config bbrrevision.Config, request Request) Result {
	if faults := config.Validate(); len(faults) > 0 {
		return ErrorResult(bbrrevision.Join(faults))
	}
	return x.updateConfig(ctx, func(c *bbrrevision.Config) error {
		operations := c.Operations
		*c = config.Clone()
		c.Operations = operations
		c.Operations.Record(request.Operation)
		return nil
	}, request)
}

func (x *Executor) updateConfig(ctx context.Context, update func(c *bbrrevision.Config) error, request Request) Result {
	if request.DryRun {
		return simulate(ctx, x.configDocument(), update)
	}
	config, revision, err := x.configDocument().Update(ctx, request.Operation, update)
	if err != nil {
		return ErrorResult(err)
	}
	x.State.OfferRevision(&bbrrevision.Revision{Number: revision, Config: config}, time.Now())
	result := x.awaitAcceptance(ctx, revision)
	result.Revision = revision
	return result
}

// awaitAcceptance waits until every registered entry has applied the revision and
// no permit can be granted under an older one. Entries that register meanwhile are
// queried too; those that register later read the configuration after that.
func (x *Executor) awaitAcceptance(ctx context.Context, revision uint64) Result {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	raiseRevision := func(l *bbrpermit.Registry) error { l.RaiseRevision(revision); return nil }
	if _, _, err := bbrwithdrawal.PermitDocument(x.Store).Update(ctx, "", raiseRevision); err != nil {
		return notInForce("the permit registry")
	}
	acceptance := &bbrrevision.Acceptance{Revision: revision}
	missingEntries := "unknown entries: the platform did not return the list of entries"
	for ctx.Err() == nil {
		entries, err := x.registeredEntries(ctx)
		if err != nil {
			break
		}
		missing := acceptance.Missing(incarnationsByPeer(entries))
		if len(missing) == 0 {
			return Done(fmt.Sprintf("in force at %d entries", len(entries)))
		}
		missingEntries = entryNames(entries, missing)
		x.pollEntries(ctx, acceptance, missing)
		time.Sleep(pollInterval)
	}
	return notInForce(missingEntries)
}

func incarnationsByPeer(entries map[netip.AddrPort]bbrview.Entry) map[netip.AddrPort]string {
	byPeer := make(map[netip.AddrPort]string, len(entries))
	for peer, entry := range entries {
		byPeer[peer] = entry.Incarnation
	}
	return byPeer
}

func entryNames(entries map[netip.AddrPort]bbrview.Entry, peers []netip.AddrPort) string {
	names := make([]string, len(peers))
	for i, peer := range peers {
		names[i] = entries[peer].Name
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// pollEntries queries the missing entries concurrently for the revision that they
// have applied.
func (x *Executor) pollEntries(ctx context.Context, acceptance *bbrrevision.Acceptance, missing []netip.AddrPort) {
	var mu sync.Mutex
	var queries sync.WaitGroup
	for _, peer := range missing {
		queries.Go(func() {
			incarnation, revision, ok := x.appliedRevision(ctx, peer)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				acceptance.Confirm(peer, incarnation, revision)
			}
		})
	}
	queries.Wait()
}

func notInForce(entries string) Result {
	return Result{Code: bbrcode.StoredNotInForce, Name: bbrcode.StoredNotInForce.String(), Text: "stored, not yet in force at " + entries}
}

// registeredEntries returns the registered entries of all zones by peer address.
func (x *Executor) registeredEntries(ctx context.Context) (map[netip.AddrPort]bbrview.Entry, error) {
	views, err := x.views(ctx)
	if err != nil {
		return nil, err
	}
	entries := make(map[netip.AddrPort]bbrview.Entry)
	for _, view := range views {
		for peer, entry := range view.Entries {
			entries[peer] = entry
		}
	}
	return entries, nil
}

// views reads the views of all zones from the platform.
func (x *Executor) views(ctx context.Context) ([]bbrview.View, error) {
	keys, err := x.Store.Keys(ctx, bbrview.KeyPrefix)
	if err != nil {
		return nil, err
	}
	views := make([]bbrview.View, 0, len(keys))
	for _, key := range keys {
		view, _, err := bbrmember.ViewDocument(x.Store, strings.TrimPrefix(key, bbrview.KeyPrefix)).Load(ctx)
		if err != nil {
			return nil, err
		}
		views = append(views, view)
	}
	return views, nil
}

func (x *Executor) appliedRevision(ctx context.Context, peer netip.AddrPort) (incarnation string, revision uint64, ok bool) {
	if peer == x.State.Identity.Peer {
		return x.State.Identity.Incarnation, x.State.Revision().Number, true
	}
	ack, revision, err := x.Client.Acknowledge(ctx, peer, acknowledgeTimeout)
	return ack.Incarnation, revision, err == nil
}
