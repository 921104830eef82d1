package bbrcoordinator

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrlist"
)

// Observation is the input of NextView besides the view.
type Observation struct {
	Self netip.AddrPort
	Acks bbrview.Acks
	// Listed is true if Instances were read from the platform; they may be seconds
	// old.
	Listed    bool
	Instances []bbrlist.Instance
	// HeatLimit is the maximum number of active instances of the zone; 0 means no
	// limit.
	HeatLimit int
	// Unreachable are the instances that several consecutive probes did not reach.
	Unreachable map[string]bool
	// NewSuspicions maps entries that have not answered for too long to the unique
	// ID of a new suspicion.
	NewSuspicions map[netip.AddrPort]string
	// FencesExpired is true if the present suspicions have been acknowledged for
	// longer than any fence lasts.
	FencesExpired bool
	// ExpiredDepartures are the suspicion IDs of the departed entries whose requests
	// have all passed their deadlines.
	ExpiredDepartures []string
}

// NextView returns the view that follows from the observation, and whether it
// differs from the current one. It contains only permissions that the
// acknowledgements allow.
func NextView(current bbrview.View, o Observation, now time.Time) (bbrview.View, bool) {
	view := current.Clone()
	changed := view.Activate(o.Acks)
	for peer, suspicion := range o.NewSuspicions {
		changed = view.Suspect(peer, suspicion) || changed
	}
	if o.FencesExpired && len(view.Suspects()) > 0 && view.MayRemoveSuspects(o.Self, o.Acks) {
		view.RemoveSuspects()
		changed = true
	}
	changed = view.ReleaseShares(o.ExpiredDepartures) || changed
	for _, id := range slices.Sorted(maps.Keys(view.Instances)) {
		changed = advanceInstance(&view, id, o, now) || changed
	}
	if o.Listed {
		changed = applyListing(&view, o, now) || changed
	}
	return view, changed
}

// advanceInstance applies the transitions of one instance that the
// acknowledgements and probes call for, and reports whether the view changed.
func advanceInstance(view *bbrview.View, id string, o Observation, now time.Time) bool {
	changed := view.CommitDrained(id, o.Acks, now)
	changed = view.BeginReboot(id, now) || changed
	if o.Unreachable[id] {
		changed = view.MarkLost(id, "probes do not reach it", now) || changed
	}
	return changed
}

// applyListing updates the view to the platform's list, and reports whether the
// view changed.
func applyListing(view *bbrview.View, o Observation, now time.Time) bool {
	changed := false
	listed := make(map[string]bool, len(o.Instances))
	for _, instance := range o.Instances {
		listed[instance.ID] = true
		changed = applyListed(view, instance, o, now) || changed
	}
	for _, id := range slices.Sorted(maps.Keys(view.Instances)) {
		if listed[id] {
			continue
		}
		changed = view.MarkLost(id, "the platform no longer lists it", now) || changed
		changed = view.RemoveLost(id, o.Acks) || changed
	}
	return changed
}

// applyListed updates the view to one instance of the platform's list, and reports
// whether the view changed.
func applyListed(view *bbrview.View, instance bbrlist.Instance, o Observation, now time.Time) bool {
	current, inView := view.Instances[instance.ID]
	switch {
	case !inView:
		return instance.State == bbrlist.StateLive && view.Adopt(instance, o.HeatLimit, now)
	case current.State == bbrview.Rebooting:
		return view.FinishReboot(instance, now)
	case current.State == bbrview.Lost:
		return instance.State == bbrlist.StateLive && !o.Unreachable[instance.ID] && view.RestoreLost(instance, o.HeatLimit, now)
	case current.State == bbrview.Serving && instance.State == bbrlist.StateLive && instance.Address != current.Address:
		return view.MarkLost(instance.ID, "the platform gave it another address", now)
	case current.State == bbrview.Serving && instance.State == bbrlist.StateLeaving:
		leaving := bbrview.Withdrawal{Instance: instance.ID, Plan: bbrview.Hold, Reason: "the platform says that it is leaving"}
		return view.Withdraw(leaving, now) == nil
	default:
		return false
	}
}
