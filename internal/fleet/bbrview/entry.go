package bbrview

import (
	"net/netip"
	"slices"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
)

// Entry is a registered entry daemon.
type Entry struct {
	Name string `json:"name"`
	// Incarnation is new at each start of a process.
	Incarnation string         `json:"incarnation"`
	Operators   netip.AddrPort `json:"operators"`
	// Active entries own a share of every slot and may confirm others. The
	// flag is set only at a version at which each other registered entry has
	// acknowledged a view that lists this one.
	Active bool `json:"active"`
	// SuspicionID is the unique ID of the mark that the entry does not answer,
	// or empty. A marked entry is no longer confirmed by anybody; when it sees
	// the mark itself, it stops sending and registers anew.
	SuspicionID string `json:"suspicion,omitempty"`
}

// Suspected reports whether the entry is marked.
func (e Entry) Suspected() bool { return e.SuspicionID != "" }

// Departed is an entry that was removed.
type Departed struct {
	Name string `json:"name"`
	// SuspicionID is the unique ID of the mark that led to the removal.
	SuspicionID string `json:"removal"`
}

// Register lists an entry under its peer address.
//
// A process that has bound the address proves that the one that was listed
// there is dead, so the record is replaced and the share is inherited. A first
// entry is active at once; any other becomes active by Activate.
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

// Unregister removes an entry that has nothing in flight and will send
// nothing more. Another incarnation is left alone.
func (v *View) Unregister(peer netip.AddrPort, incarnation string) {
	if v.Entries[peer].Incarnation == incarnation {
		delete(v.Entries, peer)
	}
}

// Activate gives the listed but inactive entries their share. The version that
// acks were collected at must be the one that the swap expects.
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

// Suspect marks an entry that does not answer. It returns false where the entry
// is unknown or marked already.
func (v *View) Suspect(peer netip.AddrPort, suspicionID string) bool {
	entry, ok := v.Entries[peer]
	if !ok || entry.Suspected() {
		return false
	}
	entry.SuspicionID = suspicionID
	v.Entries[peer] = entry
	return true
}

// Suspects returns the marked entries.
func (v *View) Suspects() []netip.AddrPort {
	var peers []netip.AddrPort
	for peer, entry := range v.Entries {
		if entry.Suspected() {
			peers = append(peers, peer)
		}
	}
	return peers
}

// MayRemoveSuspects reports whether the marked entries can be removed after
// their fences have run out: every active entry that is not marked has
// acknowledged the marks, so nobody outside confirms the marked ones, and they
// are too few to confirm each other.
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

// RemoveSuspects removes the marked entries. The caller has waited until their
// fences have run out since MayRemoveSuspects was first true. Requests that
// they sent before may still run, so their shares are not given to others yet.
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

// ReleaseShares gives the shares of departed entries to the others. The caller
// has waited until every request of theirs has passed its deadline.
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

// ForceRemove removes an entry on an operator's word.
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

// Quorum returns how many entries, the sender among them, have to confirm a
// sender of this view that cannot read the platform. One entry alone confirms
// itself: nobody else can be active without its acknowledgement.
func (v *View) Quorum() int {
	return len(v.Entries)/2 + 1
}

// MayConfirm reports whether self may confirm the peer's registration to it.
func (v *View) MayConfirm(self, peer netip.AddrPort, incarnation string) bool {
	own, other := v.Entries[self], v.Entries[peer]
	return own.Active && !own.Suspected() &&
		other.Incarnation == incarnation && incarnation != "" && !other.Suspected()
}
