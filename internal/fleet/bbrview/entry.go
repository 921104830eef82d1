package bbrview

import (
	"net/netip"
	"slices"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
)

// Entry is the registration of an entry daemon.
type Entry struct {
	Name string `json:"name"`
	// Incarnation is a unique ID of the process.
	Incarnation string         `json:"incarnation"`
	Operators   netip.AddrPort `json:"operators"`
	// Active entries own a share of every instance's slots and may confirm
	// others. The flag is set only at a version at which every other active entry
	// has acknowledged a view that lists this one, and works within its reduced
	// shares.
	Active bool `json:"active"`
	// SuspicionID is the unique ID of the suspicion that the entry has failed, or
	// empty. No entry confirms a suspected one. A suspected entry that reads this
	// stops sending and registers anew.
	SuspicionID string `json:"suspicion,omitempty"`
}

// Suspected reports whether the entry is suspected to have failed.
func (e Entry) Suspected() bool { return e.SuspicionID != "" }

// Departed is an entry that was removed because it was suspected.
type Departed struct {
	Name string `json:"name"`
	// SuspicionID is the unique ID of the suspicion that led to the removal.
	SuspicionID string `json:"removal"`
}

// Register adds an entry under its peer address.
//
// A process that has bound the address proves that the one listed there before
// has terminated, so the entry replaces its record and inherits its shares. The
// first entry of a zone is active at once; any other becomes active by Activate.
func (v *View) Register(peer netip.AddrPort, entry Entry) {
	if v.Entries == nil {
		v.Entries = make(map[netip.AddrPort]Entry)
	}
	previous, replaced := v.Entries[peer]
	entry.Active = len(v.Entries) == 0 || (replaced && previous.Active)
	entry.SuspicionID = ""
	v.Entries[peer] = entry
	delete(v.Departed, peer)
}

// Unregister removes an entry that has nothing in flight and will send nothing
// more. It has no effect if another incarnation is registered.
func (v *View) Unregister(peer netip.AddrPort, incarnation string) {
	if v.Entries[peer].Incarnation == incarnation {
		delete(v.Entries, peer)
	}
}

// Activate makes those inactive entries active whose shares the other entries
// have freed. It reports whether the view changed. The acks must have been
// collected for the version that the compare-and-swap expects.
func (v *View) Activate(acks Acks) bool {
	changed := false
	for peer, entry := range v.Entries {
		if entry.Active || !acks.othersWithinShare(v, peer) {
			continue
		}
		entry.Active = true
		v.Entries[peer] = entry
		changed = true
	}
	return changed
}

// Suspect marks an entry that does not answer as suspected. It returns false if
// the entry is unknown or already suspected.
func (v *View) Suspect(peer netip.AddrPort, suspicionID string) bool {
	entry, ok := v.Entries[peer]
	if !ok || entry.Suspected() {
		return false
	}
	entry.SuspicionID = suspicionID
	v.Entries[peer] = entry
	return true
}

// Suspects returns the peer addresses of the suspected entries.
func (v *View) Suspects() []netip.AddrPort {
	var peers []netip.AddrPort
	for peer, entry := range v.Entries {
		if entry.Suspected() {
			peers = append(peers, peer)
		}
	}
	return peers
}

// MayRemoveSuspects reports whether the suspected entries may be removed once
// their fences have expired: every active entry that is not suspected has
// acknowledged the suspicions, so that none of them confirms a suspected one, and
// the suspected ones are too few to confirm each other.
func (v *View) MayRemoveSuspects(self netip.AddrPort, acks Acks) bool {
	own := v.Entries[self]
	if !own.Active || own.Suspected() {
		return false
	}
	active, suspected := 0, 0
	for peer, entry := range v.Entries {
		switch {
		case entry.Suspected() && entry.Active:
			active++
			suspected++
		case entry.Suspected():
		case entry.Active:
			active++
			if !acks.acknowledged(v, peer) {
				return false
			}
		}
	}
	return suspected <= active/2
}

// RemoveSuspects removes the suspected entries. The caller must have waited until
// their fences have expired, counted from when MayRemoveSuspects was first true.
// Requests that they sent before may still run, so an active one becomes a
// departed entry that keeps its shares for now.
func (v *View) RemoveSuspects() {
	for _, peer := range v.Suspects() {
		if v.Departed == nil {
			v.Departed = make(map[netip.AddrPort]Departed)
		}
		entry := v.Entries[peer]
		if entry.Active {
			v.Departed[peer] = Departed{Name: entry.Name, SuspicionID: entry.SuspicionID}
		}
		delete(v.Entries, peer)
	}
}

// ReleaseShares gives the shares of the departed entries with the suspicion IDs to
// the others, and reports whether the view changed. The caller must have waited
// until every request that these entries sent has passed its deadline.
func (v *View) ReleaseShares(suspicionIDs []string) bool {
	changed := false
	for peer, departed := range v.Departed {
		if slices.Contains(suspicionIDs, departed.SuspicionID) {
			delete(v.Departed, peer)
			changed = true
		}
	}
	return changed
}

// ForceRemove removes a registered or departed entry that an operator has declared
// to have terminated.
func (v *View) ForceRemove(name string) error {
	for peer, entry := range v.Entries {
		if entry.Name == name {
			delete(v.Entries, peer)
			return nil
		}
	}
	for peer, departed := range v.Departed {
		if departed.Name == name {
			delete(v.Departed, peer)
			return nil
		}
	}
	return bbrcode.Errorf(bbrcode.UnknownName, name, "no entry of zone %s has this name", v.Zone)
}

// Quorum returns how many entries, including the sender, have to confirm a sender
// that cannot read the platform. The only entry of a view confirms itself: no other
// entry can become active without its acknowledgement.
func (v *View) Quorum() int {
	return len(v.Entries)/2 + 1
}

// MayConfirm reports whether self may confirm the peer's registration.
func (v *View) MayConfirm(self, peer netip.AddrPort, incarnation string) bool {
	own, other := v.Entries[self], v.Entries[peer]
	return own.Active && !own.Suspected() &&
		other.Incarnation == incarnation && incarnation != "" && !other.Suspected()
}
