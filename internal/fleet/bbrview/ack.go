package bbrview

import "net/netip"

// Ack is one entry's acknowledgement of a view.
type Ack struct {
	Incarnation string
	// Version is the newest view that the entry obeys.
	Version uint64
	// InFlight counts the entry's requests in flight on instances that it may not
	// use any more.
	InFlight map[string]int
	// ExcessInFlight is the number of requests in flight above the entry's share of
	// instances that it may use.
	ExcessInFlight int
}

// Acks are acknowledgements that were collected for one version of a view.
type Acks struct {
	// Version is the version of the view that the collector read, and that
	// its next swap expects.
	Version uint64
	Entries map[netip.AddrPort]Ack
}

// acknowledged reports whether the registered incarnation obeys the collector's
// version.
func (a Acks) acknowledged(v *View, peer netip.AddrPort) bool {
	ack, ok := a.Entries[peer]
	return ok && ack.Version >= a.Version && ack.Incarnation == v.Entries[peer].Incarnation
}

// NoneInFlight reports whether every registered entry has acknowledged the view with
// nothing in flight on the instance. Departed entries acknowledge nothing; what
// they sent may run until their shares are released.
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

// AwaitsAcks reports whether anything in the view waits for acknowledgements.
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

// othersWithinShare reports whether every other entry works within the share that is
// left when the newcomer has its own.
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
