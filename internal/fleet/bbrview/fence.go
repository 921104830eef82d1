package bbrview

import (
	"net/netip"
	"slices"
	"time"
)

// Fence determines until when a sender may send. It uses only the sender's own
// clock: a confirmation counts from the time at which the sender requested it. The
// zero value has no confirmations.
type Fence struct {
	// Timeout is how long a confirmation is valid.
	Timeout time.Duration

	platformConfirmedAt time.Time
	peerConfirmedAt     map[netip.AddrPort]time.Time
}

// ConfirmedByPlatform records that a read of the platform that began at
// requestedAt showed the sender registered and not suspected.
func (f *Fence) ConfirmedByPlatform(requestedAt time.Time) {
	if requestedAt.After(f.platformConfirmedAt) {
		f.platformConfirmedAt = requestedAt
	}
}

// ConfirmedByPeer records that a peer confirmed the registration in answer to a
// request sent at requestedAt.
func (f *Fence) ConfirmedByPeer(peer netip.AddrPort, requestedAt time.Time) {
	if f.peerConfirmedAt == nil {
		f.peerConfirmedAt = make(map[netip.AddrPort]time.Time)
	}
	if requestedAt.After(f.peerConfirmedAt[peer]) {
		f.peerConfirmedAt[peer] = requestedAt
	}
}

// SendDeadline returns the time until which self may send under the view. The zero
// time means that it may not send, unless the second result is true: then there is
// no deadline, which is so for the only entry of a zone.
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

// quorumConfirmedAt returns the latest time at which a quorum, including self, had
// confirmed the sender, or the zero time if none has.
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
