package bbrclaim

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const handoverLease = bbrkv.Lease(7)

// handoverScene is an entry with claims whose calls to the store are served until
// silentFrom.
type handoverScene struct {
	session    *Session
	silentFrom time.Time
	// peersSilentFrom is when the store stops serving the other entries.
	peersSilentFrom time.Time
	revokedAt       time.Time
	// confirmedAtRevocation reports whether the entry still relied on its lease when it
	// asked for the revocation.
	confirmedAtRevocation bool
}

// play runs the entry for some time on a virtual clock.
func (s *handoverScene) play(t *testing.T, length time.Duration, serve func(now time.Time) bool) {
	s.session = &Session{lease: handoverLease}
	h := &Handover{
		Session:    s.session,
		ClaimCount: func() int { return 2 },
		Peers:      func() []netip.AddrPort { return []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")} },
		AskServed: func(_ context.Context, _ netip.AddrPort, now time.Time) (time.Duration, bool) {
			return max(0, now.Sub(s.peersSilentFrom)), true
		},
		AskRevoke: func(_ context.Context, _ netip.AddrPort, lease bbrkv.Lease, now time.Time) bool {
			require.Equal(t, handoverLease, lease)
			s.revokedAt = now
			s.confirmedAtRevocation = s.session.Confirmed(handoverLease, now)
			return true
		},
		Event: func(string) {},
	}
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { h.Run(ctx) })
	for ctx.Err() == nil {
		if now := time.Now(); serve(now) {
			s.session.RecordServed(now)
			s.session.mu.Lock()
			s.session.confirmedAt = now
			s.session.mu.Unlock()
		}
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
}

// TestClaimsAreGivenUpWhereTheStoreServesOthers guards against shards without an owner
// for as long as a lease lasts: an entry that the store turns away alone has its lease
// revoked long before, and no longer relies on it by then.
func TestClaimsAreGivenUpWhereTheStoreServesOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &handoverScene{silentFrom: time.Now().Add(2 * time.Second), peersSilentFrom: time.Now().Add(time.Hour)}
		s.play(t, 5*time.Second, func(now time.Time) bool { return now.Before(s.silentFrom) })
		require.WithinRange(t, s.revokedAt, s.silentFrom.Add(500*time.Millisecond), s.silentFrom.Add(leaseTTL/2))
		require.False(t, s.confirmedAtRevocation)
	})
}

// TestClaimsAreKeptWhileTheStoreServesNobody guards against owners that give up running
// shards although no other entry could take them over.
func TestClaimsAreKeptWhileTheStoreServesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &handoverScene{silentFrom: time.Now().Add(2 * time.Second)}
		s.peersSilentFrom = s.silentFrom
		s.play(t, 8*time.Second, func(now time.Time) bool { return now.Before(s.silentFrom) })
		require.Zero(t, s.revokedAt)
		require.Equal(t, handoverLease, s.session.currentLease())
	})
}

// TestClaimsAreKeptWhileSomeCallsAreServed guards against claims that are given up when
// many answers of the store are lost or slow.
func TestClaimsAreKeptWhileSomeCallsAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &handoverScene{peersSilentFrom: time.Now().Add(time.Hour)}
		start := time.Now()
		s.play(t, 8*time.Second, func(now time.Time) bool { return now.Sub(start)%(600*time.Millisecond) == 0 })
		require.Zero(t, s.revokedAt)
	})
}

// TestPauseIsNotTakenForSilence guards against a process that was paused and gives its
// claims up because it missed the answers of the pause.
func TestPauseIsNotTakenForSilence(t *testing.T) {
	now := time.Now()
	h := &Handover{Session: &Session{lease: handoverLease}, ClaimCount: func() int { return 1 }}
	h.Session.RecordServed(now)
	require.False(t, h.check(now.Add(handoverInterval)))
	now = now.Add(2 * time.Second)
	require.False(t, h.check(now))
	h.Session.RecordServed(now.Add(time.Millisecond))
	require.False(t, h.check(now.Add(handoverInterval)))
}
