package bbrapi

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrrevision"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmember"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrpermit"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrwithdrawal"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrlanguage"
	"github.com/bluebellridge/bluebellridge/internal/peer/bbrpeerproto"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrstore"
)

const (
	// inForceWithin is how long a change is waited for.
	inForceWithin = 5 * time.Second
	askAgain      = 50 * time.Millisecond
)

func (x *Executor) document() bbrstore.Document[bbrrevision.Config] {
	return bbrstore.Document[bbrrevision.Config]{Store: x.Store, Key: bbrrevision.Key, Applied: bbrrevision.Applied}
}

func (x *Executor) set(ctx context.Context, c *bbrlanguage.Set, request Request) Result {
	change, err := changeOf(c)
	if err != nil {
		return refused(err)
	}
	return x.apply(ctx, change, request)
}

func (x *Executor) assign(ctx context.Context, c *bbrlanguage.Assign, request Request) Result {
	return x.apply(ctx, bbrrevision.Assign(c.Queue, c.Pool), request)
}

func changeOf(c *bbrlanguage.Set) (bbrrevision.Change, error) {
	if c.Field == "timeout" {
		timeout, err := time.ParseDuration(c.Value)
		if err != nil {
			return bbrrevision.Change{}, bbrcode.Errorf(bbrcode.Syntax, c.Value, "expected a duration such as 30s")
		}
		return bbrrevision.Timeout(c.Name, timeout), nil
	}
	number, err := strconv.Atoi(c.Value)
	if err != nil {
		return bbrrevision.Change{}, bbrcode.Errorf(bbrcode.Syntax, c.Value, "expected a whole number")
	}
	switch c.Field {
	case "budget":
		return bbrrevision.Budget(c.Name, number), nil
	case "quota":
		return bbrrevision.Quota(c.Name, number), nil
	default:
		return bbrrevision.Bound(c.Name, number), nil
	}
}

// apply makes a change of one field and waits until it is in force.
func (x *Executor) apply(ctx context.Context, change bbrrevision.Change, request Request) Result {
	var seen *string
	update := func(c *bbrrevision.Config) error {
		if seen == nil {
			value, err := change.Get(c)
			if err != nil {
				return err
			}
			seen = &value
		}
		return change.Apply(c, *seen, request.Operation)
	}
	return x.updateConfig(ctx, update, request)
}

// Replace makes config the whole configuration.
func (x *Executor) Replace(ctx context.Context, config bbrrevision.Config, request Request) Result {
	if faults := config.Validate(); len(faults) > 0 {
		return refused(bbrrevision.Join(faults))
	}
	return x.updateConfig(ctx, func(c *bbrrevision.Config) error {
		operations := c.Operations
		*c = config.Clone()
		c.Operations = operations
		c.Record(request.Operation)
		return nil
	}, request)
}

func (x *Executor) updateConfig(ctx context.Context, update func(c *bbrrevision.Config) error, request Request) Result {
	if request.DryRun {
		config, _, err := x.document().Load(ctx)
		if err == nil {
			err = update(&config)
		}
		if err != nil {
			return refused(err)
		}
		return dryRun()
	}
	config, number, err := x.document().Update(ctx, request.Operation, update)
	if err != nil {
		return refused(err)
	}
	x.State.OfferRevision(&bbrrevision.Revision{Number: number, Config: config}, time.Now())
	result := x.awaitForce(ctx, number)
	result.Revision = number
	return result
}

// awaitForce waits until every registered entry obeys the revision, and no
// permit is given under an older one. Entries that register meanwhile are
// asked too; later ones read the configuration after they have registered.
func (x *Executor) awaitForce(ctx context.Context, revision uint64) Result {
	ctx, cancel := context.WithTimeout(ctx, inForceWithin)
	defer cancel()
	raise := func(l *bbrpermit.Ledger) error { l.Raise(revision); return nil }
	if _, _, err := bbrwithdrawal.Ledger(x.Store).Update(ctx, "", raise); err != nil {
		return notInForce("the ledger of permits")
	}
	confirmed := make(map[netip.AddrPort]string)
	for {
		entries, err := x.registered(ctx)
		if err != nil {
			return notInForce("the list of entries, which the platform does not give")
		}
		missing := x.missing(ctx, entries, confirmed, revision)
		if len(missing) == 0 && sameEntries(confirmed, entries) {
			if again, err := x.registered(ctx); err == nil && sameEntries(confirmed, again) {
				return done(fmt.Sprintf("in force at %d entries", len(again)))
			}
		}
		if ctx.Err() != nil {
			return notInForce(strings.Join(missing, ", "))
		}
		time.Sleep(askAgain)
	}
}

func notInForce(where string) Result {
	return Result{Code: bbrcode.StoredNotInForce, Name: bbrcode.StoredNotInForce.String(), Text: "stored, not yet in force at " + where}
}

// registered returns the entries of all zones by address.
func (x *Executor) registered(ctx context.Context) (map[netip.AddrPort]bbrview.Entry, error) {
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
		view, _, err := bbrmember.Document(x.Store, strings.TrimPrefix(key, bbrview.KeyPrefix)).Load(ctx)
		if err != nil {
			return nil, err
		}
		views = append(views, view)
	}
	return views, nil
}

// missing asks the entries that have not confirmed the revision yet, and
// returns the names of those that still have not.
func (x *Executor) missing(ctx context.Context, entries map[netip.AddrPort]bbrview.Entry, confirmed map[netip.AddrPort]string, revision uint64) []string {
	var names []string
	for peer, entry := range entries {
		if confirmed[peer] == entry.Incarnation {
			continue
		}
		if incarnation, ok := x.obeys(ctx, peer, revision); ok && incarnation == entry.Incarnation {
			confirmed[peer] = incarnation
			continue
		}
		names = append(names, entry.Name)
	}
	return names
}

func (x *Executor) obeys(ctx context.Context, peer netip.AddrPort, revision uint64) (string, bool) {
	if peer == x.State.Identity.Peer {
		return x.State.Identity.Incarnation, x.State.Revision().Number >= revision
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	answer, err := x.Client.Peer(ctx, peer).Acknowledge(ctx, &bbrpeerproto.AcknowledgeRequest{})
	return answer.GetIncarnation(), err == nil && answer.GetRevision() >= revision
}

func sameEntries(confirmed map[netip.AddrPort]string, entries map[netip.AddrPort]bbrview.Entry) bool {
	for peer, entry := range entries {
		if confirmed[peer] != entry.Incarnation {
			return false
		}
	}
	return true
}
