package bbrclaim

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const (
	// handoverInterval is the time between two checks whether the store serves this
	// entry.
	handoverInterval = 100 * time.Millisecond
	// silentChecks is the number of checks in a row, without any call that was served in
	// between, after which the entry gives its claims up. Checks are counted instead of
	// time, so that a process that was paused does not take the pause for silence.
	silentChecks = 9
	// maxServedAge is how long ago the store must at most have served another entry for
	// that entry to count as served. It exceeds the interval of renewals.
	maxServedAge = 700 * time.Millisecond
	// maxAskedPeers bounds the entries that are asked at one time.
	maxAskedPeers = 3
)

// HandoverBegun is the event that the claims are given up.
const HandoverBegun = "handover:begun"

// Handover gives up the claims of an entry that the store no longer serves while it
// serves other entries: another entry revokes its lease, so that successors need not wait
// until the lease expires. While the store serves nobody, the claims are kept.
type Handover struct {
	Session *Session
	// ClaimCount returns how many claims the entry holds.
	ClaimCount func() int
	// Peers returns the addresses of the other entries.
	Peers func() []netip.AddrPort
	// AskServed asks the entry at the address how long ago the store last served it. It
	// returns false if there is no answer.
	AskServed func(ctx context.Context, address netip.AddrPort, now time.Time) (age time.Duration, ok bool)
	// AskRevoke asks the entry at the address to revoke a lease, and reports whether that
	// was done.
	AskRevoke func(ctx context.Context, address netip.AddrPort, lease bbrkv.Lease, now time.Time) bool
	// Event counts an event in the metrics.
	Event func(name string)

	// checkedAt is when the last check was, and silent the number of checks since the
	// store last served a call.
	checkedAt time.Time
	silent    int
}

// Run checks until ctx ends.
func (h *Handover) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if h.check(time.Now()) {
			h.handOver(ctx)
		}
		bbrpause.For(ctx, handoverInterval)
	}
}

// check reports whether the entry holds claims and the store has not served it for
// silentChecks.
func (h *Handover) check(now time.Time) bool {
	if h.ClaimCount() == 0 || !h.Session.ServedAt().Before(h.checkedAt) {
		h.silent = 0
	}
	h.checkedAt = now
	h.silent++
	return h.silent > silentChecks
}

// handOver gives the claims up if an entry is found that the store serves.
func (h *Handover) handOver(ctx context.Context) {
	peers := h.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), maxAskedPeers)]
	for i, peer := range peers {
		now := time.Now()
		if age, ok := h.AskServed(ctx, peer, now); !ok || age > maxServedAge {
			continue
		}
		lease := h.Session.GiveUp()
		if lease == 0 {
			return
		}
		klog.InfoS("Gave up all claims, as the store serves other entries only", "lease", lease, "claims", h.ClaimCount(), "servedAt", h.Session.ServedAt(), "peer", peer)
		h.Event(HandoverBegun)
		h.revoke(ctx, lease, peers[i:])
		return
	}
	h.Event("handover:noPeerServed")
}

// revoke asks the entries one after another to revoke the lease, until one has done it.
// If none does, the lease expires.
func (h *Handover) revoke(ctx context.Context, lease bbrkv.Lease, peers []netip.AddrPort) {
	for _, peer := range peers {
		if h.AskRevoke(ctx, peer, lease, time.Now()) {
			klog.InfoS("Lease revoked by another entry", "lease", lease, "peer", peer)
			return
		}
	}
	klog.InfoS("No entry revoked the lease, so that it has to expire", "lease", lease)
}
