package bbrview

import "net/netip"

// Ack is one entry's acknowledgement of a view.
type Ack struct {
	Incarnation string
	// Version is the version of the newest view that the entry obeys.
	Version uint64
	// InFlight counts, by instance ID, the entry's requests in flight on instances
	// that it may no longer use.
	InFlight map[string]int
	// ExcessInFlight is the number of requests in flight beyond the entry's shares
	// of the instances that it may use.
	ExcessInFlight int
}

// Acks contains the acknowledgements collected for one version of a view.
type Acks struct {
	// Version is the version of the view that the collector read, and the one
	// that its next compare-and-swap expects.
	Version uint64
	Entries map[netip.AddrPort]Ack
}

// acknowledged reports whether the registered incarnation of the peer obeys the
// collector's version or a newer one.
func (a Acks) acknowledged(v *View, peer netip.AddrPort) bool {
	ack, ok := a.Entries[peer]
	return ok && ack.Version >= a.Version && ack.Incarnation == v.Entries[peer].Incarnation
}

// NoneInFlight reports whether every registered entry has acknowledged the view
// with nothing in flight on the instance. It is false while there are departed
// entries: they acknowledge nothing, and their requests may still run until their
// shares are released.
func (a Acks) NoneInFlight(v *View, instance string) bool {
	if len(v.Departed) > 0 {
		return false
	}
	for peer := range v.Entries {
		if !a.acknowledged(v, peer) || a.Entries[peer].InFlight[instance] > 0 {
			return false
		}
	}
	return true
}

// AwaitsAcks reports whether a transition of the view waits for acknowledgements.
func (v *View) AwaitsAcks() bool {
	for _, entry := range v.Entries {
		if !entry.Active || entry.Suspected() {
			return true
		}
	}
	for _, instance := range v.Instances {
		if instance.State != Serving && instance.State != Rebooting && !(instance.State == Drained && instance.Plan == Hold) {
			return true
		}
	}
	return len(v.Departed) > 0
}

// othersWithinShare reports whether every other active entry has acknowledged the
// view, in which its shares already leave room for those of the newcomer, with no
// requests in flight beyond them.
func (a Acks) othersWithinShare(v *View, newcomer netip.AddrPort) bool {
	for peer, entry := range v.Entries {
		if peer == newcomer || !entry.Active {
			continue
		}
		if !a.acknowledged(v, peer) || a.Entries[peer].ExcessInFlight > 0 {
			return false
		}
	}
	return true
}
