package bbrcoordinator

import (
	"maps"
	"net/netip"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
)

// FenceExpiry determines when the fences of the suspected entries have expired. It
// uses the coordinator's own clock and counts from when this process first saw the
// suspicions acknowledged by all other active entries; a new coordinator starts
// again from zero.
type FenceExpiry struct {
	// GracePeriod is longer than a fence lasts, with a margin for clocks that run at
	// different rates.
	GracePeriod time.Duration

	// suspicions are the acknowledged suspicion IDs of the suspected entries, and
	// since is when this process first saw exactly these.
	suspicions map[netip.AddrPort]string
	since      time.Time
}

// Expired reports whether the present suspicions have been acknowledged for
// GracePeriod.
func (expiry *FenceExpiry) Expired(view *bbrview.View, self netip.AddrPort, acks bbrview.Acks, now time.Time) bool {
	suspicions := make(map[netip.AddrPort]string)
	for _, peer := range view.Suspects() {
		suspicions[peer] = view.Entries[peer].SuspicionID
	}
	if len(suspicions) == 0 || !view.MayRemoveSuspects(self, acks) {
		expiry.suspicions = nil
		return false
	}
	if !maps.Equal(suspicions, expiry.suspicions) {
		expiry.suspicions = suspicions
		expiry.since = now
		return false
	}
	return now.Sub(expiry.since) >= expiry.GracePeriod
}

// RequestExpiry determines when the requests of departed entries have passed their
// deadlines. It uses the coordinator's own clock and counts from when this process
// first saw the departure.
type RequestExpiry struct {
	// firstSeen is when this process first saw each departed entry, by suspicion ID.
	firstSeen map[string]time.Time
}

// Expired returns the suspicion IDs of the departed entries that this process has
// seen as departed for longer than maxTimeout, the longest time that a request may
// take.
func (expiry *RequestExpiry) Expired(view *bbrview.View, maxTimeout time.Duration, now time.Time) []string {
	firstSeen := make(map[string]time.Time)
	var expired []string
	for _, departed := range view.Departed {
		since, ok := expiry.firstSeen[departed.SuspicionID]
		if !ok {
			since = now
		}
		firstSeen[departed.SuspicionID] = since
		if now.Sub(since) > maxTimeout {
			expired = append(expired, departed.SuspicionID)
		}
	}
	expiry.firstSeen = firstSeen
	return expired
}
