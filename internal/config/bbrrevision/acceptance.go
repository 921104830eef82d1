package bbrrevision

import "net/netip"

// Acceptance decides when a revision that was written is in force everywhere.
// An entry that registers later reads the configuration after it registered,
// so the revision is accepted when every entry of a listing had confirmed it
// before the listing was read.
type Acceptance struct {
	Revision uint64
	// confirmed maps entries to the incarnation that obeys the revision.
	confirmed map[netip.AddrPort]string
}

// Confirm records that a process obeys a revision.
func (a *Acceptance) Confirm(peer netip.AddrPort, incarnation string, revision uint64) {
	if revision < a.Revision {
		return
	}
	if a.confirmed == nil {
		a.confirmed = make(map[netip.AddrPort]string)
	}
	a.confirmed[peer] = incarnation
}

// Missing returns the entries of a listing, given with their incarnations, that
// have not confirmed. The revision is accepted when there are none.
func (a *Acceptance) Missing(listing map[netip.AddrPort]string) []netip.AddrPort {
	var missing []netip.AddrPort
	for peer, incarnation := range listing {
		if a.confirmed[peer] != incarnation {
			missing = append(missing, peer)
		}
	}
	return missing
}
