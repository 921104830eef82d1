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

	marks map[netip.AddrPort]string
	since time.Time
}

// Expired reports whether the present marks have stood acknowledged for Wait.
func (p *FenceExpiry) Expired(view *bbrview.View, self netip.AddrPort, acks bbrview.Acks, now time.Time) bool {
	marks := make(map[netip.AddrPort]string)
	for _, peer := range view.Suspects() {
		marks[peer] = view.Entries[peer].SuspicionID
	}
	if len(marks) == 0 || !view.MayRemoveSuspects(self, acks) {
		p.marks = nil
		return false
	}
	if !maps.Equal(marks, p.marks) {
		p.marks = marks
		p.since = now
		return false
	}
	return now.Sub(p.since) >= p.GracePeriod
}

// RequestExpiry waits until the requests of removed entries have passed their
// deadlines. It counts on the duty holder's own clock, from the moment at which
// this process first saw the removal.
type RequestExpiry struct {
	seen map[string]time.Time
}

// Expired returns the removals that this process has seen for longer than any
// request may take.
func (h *RequestExpiry) Expired(view *bbrview.View, longest time.Duration, now time.Time) []string {
	seen := make(map[string]time.Time)
	var over []string
	for _, departed := range view.Departed {
		since, ok := h.seen[departed.SuspicionID]
		if !ok {
			since = now
		}
		seen[departed.SuspicionID] = since
		if now.Sub(since) > longest {
			over = append(over, departed.SuspicionID)
		}
	}
	h.seen = seen
	return over
}
