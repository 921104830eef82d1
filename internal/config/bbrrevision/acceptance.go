package bbrrevision

import "net/netip"

// Acceptance collects confirmations to decide when all entries apply a revision
// that was written. An entry that registers later reads the configuration after
// it registers, so the revision is accepted if every listed entry confirmed it
// before the list was read.
type Acceptance struct {
	Revision uint64
	// confirmed maps the address of an entry to the incarnation that applies the
	// revision.
	confirmed map[netip.AddrPort]string
}

// Confirm records that an incarnation of an entry applies a revision.
func (a *Acceptance) Confirm(peer netip.AddrPort, incarnation string, revision uint64) {
	if revision < a.Revision {
		return
	}
	if a.confirmed == nil {
		a.confirmed = make(map[netip.AddrPort]string)
	}
	a.confirmed[peer] = incarnation
}

// Missing returns the entries of the listing, which maps them to their
// incarnations, that have not confirmed the revision. The revision is accepted if
// there are none.
func (a *Acceptance) Missing(listing map[netip.AddrPort]string) []netip.AddrPort {
	var missing []netip.AddrPort
	for peer, incarnation := range listing {
		if a.confirmed[peer] != incarnation {
			missing = append(missing, peer)
		}
	}
	return missing
}
