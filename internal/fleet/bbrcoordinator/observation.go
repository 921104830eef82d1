package bbrcoordinator

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrlist"
)

// Observation is what the duty knows besides the view.
type Observation struct {
	Self netip.AddrPort
	Acks bbrview.Acks
	// Listed is true where Rows were read; they may be seconds old.
	Listed    bool
	Instances []bbrlist.Instance
	// HeatLimit caps the active instances of the zone; 0 means no cap.
	HeatLimit int
	// Unreachable are the instances that several probes in a row did not reach.
	Unreachable map[string]bool
	// NewSuspicions maps entries that have not answered for long to a new unique ID
	// for the mark.
	NewSuspicions map[netip.AddrPort]string
	// FencesExpired is true where the present marks have stood, acknowledged, for
	// longer than any fence lasts.
	FencesExpired bool
	// ExpiredDepartures are the removals whose requests have all passed their
	// deadlines.
	ExpiredDepartures []string
}

// NextView returns the view that follows, and whether it differs. It commits
// nothing that the acknowledgements do not allow.
func NextView(present bbrview.View, o Observation, now time.Time) (bbrview.View, bool) {
	view := present.Clone()
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
		changed = advance(&view, id, o, now) || changed
	}
	if o.Listed {
		changed = compare(&view, o, now) || changed
	}
	return view, changed
}

// advance moves one instance on where its acknowledgements allow.
func advance(view *bbrview.View, id string, o Observation, now time.Time) bool {
	changed := view.CommitDrained(id, o.Acks, now)
	changed = view.BeginReboot(id, now) || changed
	if o.Unreachable[id] {
		changed = view.MarkLost(id, "probes do not reach it", now) || changed
	}
	return changed
}

// compare brings the view in line with the platform's list.
func compare(view *bbrview.View, o Observation, now time.Time) bool {
	changed := false
	listed := make(map[string]bool, len(o.Instances))
	for _, row := range o.Instances {
		listed[row.ID] = true
		changed = compareRow(view, row, o, now) || changed
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

func compareRow(view *bbrview.View, row bbrlist.Instance, o Observation, now time.Time) bool {
	present, known := view.Instances[row.ID]
	switch {
	case !known:
		return row.State == bbrlist.StateLive && view.Adopt(row, o.HeatLimit, now)
	case present.State == bbrview.Rebooting:
		return view.FinishReboot(row, now)
	case present.State == bbrview.Lost:
		return row.State == bbrlist.StateLive && !o.Unreachable[row.ID] && view.RestoreLost(row, o.HeatLimit, now)
	case present.State == bbrview.Serving && row.State == bbrlist.StateLive && row.Address != present.Address:
		return view.MarkLost(row.ID, "the platform gave it another address", now)
	case present.State == bbrview.Serving && row.State == bbrlist.StateLeaving:
		leaving := bbrview.Withdrawal{Instance: row.ID, Plan: bbrview.Hold, Reason: "the platform says that it is leaving"}
		return view.Withdraw(leaving, now) == nil
	default:
		return false
	}
}
