package bbrcoordinator

import (
	"maps"
	"net/netip"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
)

// FenceExpiry waits until the fences of marked entries have run out. It counts on
// the duty holder's own clock, from the first moment at which this process saw
// the marks acknowledged by everybody else; a new holder counts anew.
type FenceExpiry struct {
	// GracePeriod is longer than any fence lasts, by more than clocks differ in rate.
	GracePeriod time.Duration

	suspicions map[netip.AddrPort]string
	since      time.Time
}

// Expired reports whether the present marks have stood acknowledged for Wait.
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

// RequestExpiry waits until the requests of removed entries have passed their
// deadlines. It counts on the duty holder's own clock, from the moment at which
// this process first saw the removal.
type RequestExpiry struct {
	firstSeen map[string]time.Time
}

// Expired returns the removals that this process has seen for longer than any
// request may take.
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
