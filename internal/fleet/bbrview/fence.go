package bbrview

import (
	"net/netip"
	"slices"
	"time"
)

// Fence tells a sender until when it may send. It keeps only times of the
// sender's own clock: for each confirmation the time at which the sender asked
// for it. The zero value confirms nothing.
type Fence struct {
	// Timeout is how long a confirmation lasts.
	Timeout time.Duration

	platformConfirmedAt time.Time
	peerConfirmedAt     map[netip.AddrPort]time.Time
}

// ConfirmedByPlatform records that a read of the platform that began at asked
// showed the sender registered and not suspected.
func (f *Fence) ConfirmedByPlatform(requestedAt time.Time) {
	if requestedAt.After(f.platformConfirmedAt) {
		f.platformConfirmedAt = requestedAt
	}
}

// ConfirmedByPeer records a peer's confirmation of a question sent at asked.
func (f *Fence) ConfirmedByPeer(peer netip.AddrPort, requestedAt time.Time) {
	if f.peerConfirmedAt == nil {
		f.peerConfirmedAt = make(map[netip.AddrPort]time.Time)
	}
	if requestedAt.After(f.peerConfirmedAt[peer]) {
		f.peerConfirmedAt[peer] = requestedAt
	}
}

// SendDeadline returns the time until which self may send under the view. The zero
// time means not at all. The second result is true where no clock bounds it,
// which is so for the only entry of a zone.
func (f *Fence) SendDeadline(v *View, self netip.AddrPort, incarnation string) (time.Time, bool) {
	own := v.Entries[self]
	if own.Incarnation != incarnation || own.Suspected() {
		return time.Time{}, false
	}
	if v.Quorum() == 1 {
		return time.Time{}, true
	}
	latest := f.platformConfirmedAt
	if quorum := f.quorumConfirmedAt(v, self); quorum.After(latest) {
		latest = quorum
	}
	if latest.IsZero() {
		return latest, false
	}
	return latest.Add(f.Timeout), false
}

// quorumConfirmedAt returns the newest time at which a quorum, self included, had
// confirmed the sender.
func (f *Fence) quorumConfirmedAt(v *View, self netip.AddrPort) time.Time {
	var times []time.Time
	for peer, entry := range v.Entries {
		if peer != self && entry.Active && !entry.Suspected() {
			times = append(times, f.peerConfirmedAt[peer])
		}
	}
	needed := v.Quorum() - 1
	if len(times) < needed {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[needed-1]
}
