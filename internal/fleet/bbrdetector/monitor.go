package bbrdetector

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const (
	// secondPingDelay is the pause between a failed ping and the second one, while
	// the peers are queried. An owner that is short of processor time for a moment
	// answers one of the two.
	secondPingDelay = 200 * time.Millisecond
	// minWatchTime is how long an owner must have been watched before it is
	// suspected. A new owner is busy reading its shards.
	minWatchTime = 2 * time.Second
	// revokeAttempts is how often the detector tries to revoke the lease of an
	// unreachable owner before the peers are queried anew.
	revokeAttempts = 4
	// revokeRetryDelay is the pause between two of these attempts.
	revokeRetryDelay = 200 * time.Millisecond
	// queryInterval is the minimum time between two queries of the peers about one
	// owner.
	queryInterval = time.Second
	// peersPerZone is the maximum number of peers of a zone that are queried.
	peersPerZone = 2
)

// monitor pings one owner and keeps what is known from the pings. The detector's
// mutex guards the fields that change.
type monitor struct {
	detector *Detector
	bbrclaim.Owner
	watchedSince time.Time
	// estimator estimates the owner's ping timeout.
	estimator timeoutEstimator
	// everReached is set by the first answer. An owner that has never answered may
	// be unreachable from here by its network setup, and is not suspected.
	everReached bool
	// pinging is set while a ping, or the query that follows it, is in flight.
	pinging bool
	// queriedAt is when the peers were last queried about the owner.
	queriedAt time.Time
	// logged is set once an unconfirmed suspicion was logged, until the owner
	// answers again.
	logged bool
	// revoked is set once the lease was revoked.
	revoked bool
}

// run pings the owner once. If the ping fails and the owner is unreachable by
// majority, it revokes the owner's lease.
func (m *monitor) run(ctx context.Context, now time.Time) {
	d := m.detector
	timeout := m.timeout()
	err := d.Ping(ctx, m.PeerAddress, timeout, now)
	if err == nil {
		m.observe(time.Since(now))
	}
	revoked := false
	if err != nil && ctx.Err() == nil && m.beginQuery(now, err) {
		d.Event("reach:doubted")
		revoked = m.revokeIfUnreachable(ctx, err, timeout)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	m.everReached = m.everReached || err == nil
	m.logged = m.logged && err != nil
	m.revoked = m.revoked || revoked
	m.pinging = false
}

func (m *monitor) timeout() time.Duration {
	m.detector.mu.Lock()
	defer m.detector.mu.Unlock()
	return m.estimator.timeout()
}

func (m *monitor) observe(roundTrip time.Duration) {
	m.detector.mu.Lock()
	defer m.detector.mu.Unlock()
	m.estimator.observe(roundTrip)
}

// beginQuery reports whether the peers should be queried about the owner now, and
// if so records the time. A recent successor is suspected only if its address
// refuses connections: its predecessor may have been silent because of the load,
// and then the owners would lose their leases one after the other.
func (m *monitor) beginQuery(now time.Time, cause error) bool {
	m.detector.mu.Lock()
	defer m.detector.mu.Unlock()
	if m.RecentSuccessor && !connectionRefused(cause) {
		return false
	}
	if !m.everReached || m.revoked || now.Sub(m.watchedSince) < minWatchTime || now.Sub(m.queriedAt) < queryInterval {
		return false
	}
	m.queriedAt = now
	return true
}

// revokeIfUnreachable queries the peers and revokes the owner's lease if it is
// unreachable by majority. It reports whether the lease was revoked.
func (m *monitor) revokeIfUnreachable(ctx context.Context, cause error, timeout time.Duration) bool {
	d := m.detector
	reports := m.gather(ctx, timeout)
	if !UnreachableByMajority(reports) {
		if m.recordUnconfirmed(slices.Contains(reports, Reachable)) {
			klog.InfoS("Owner suspected, not confirmed by a majority", "entry", m.Entry, "zone", m.Zone, "lease", m.Lease, "within", timeout, "reason", cause.Error(), "opinions", join(reports))
		}
		return false
	}
	err := m.revokeLease(ctx)
	if err != nil {
		klog.InfoS("Owner unreachable, failed to revoke its lease", "entry", m.Entry, "zone", m.Zone, "lease", m.Lease, "opinions", join(reports), "error", err.Error())
		return false
	}
	klog.InfoS("Owner unreachable, lease revoked", "entry", m.Entry, "zone", m.Zone, "lease", m.Lease, "within", timeout, "reason", cause.Error(), "opinions", join(reports))
	d.Event("reach:ended")
	return true
}

// revokeLease revokes the owner's lease. It retries while the reports are recent,
// since the store may be about to recover. A lease that is not found has ended.
func (m *monitor) revokeLease(ctx context.Context) error {
	var err error
	for range revokeAttempts {
		err = m.detector.RevokeLease(ctx, m.Lease)
		if err == nil || errors.Is(err, bbrkv.ErrNotFound) {
			return nil
		}
		bbrpause.For(ctx, revokeRetryDelay)
	}
	return err
}

// recordUnconfirmed records a suspicion that the peers did not confirm, and reports
// whether to log it: once for each time that the owner stops answering. If a peer
// reaches the owner, the ping timeout is raised.
func (m *monitor) recordUnconfirmed(reachedByPeer bool) bool {
	m.detector.mu.Lock()
	defer m.detector.mu.Unlock()
	if reachedByPeer {
		m.estimator.addBackoff()
	}
	due := !m.logged
	m.logged = true
	return due
}

// gather returns the reports of the queried peers, and last that of this entry,
// which pings the owner a second time.
func (m *monitor) gather(ctx context.Context, timeout time.Duration) []Reachability {
	d := m.detector
	peers := d.Directory.SampleAddresses(peersPerZone, d.Entry, m.Entry)
	reports := make([]Reachability, len(peers)+1)
	var wg sync.WaitGroup
	for i, address := range peers {
		wg.Go(func() { reports[i] = d.AskReachability(ctx, address, m.PeerAddress, timeout, time.Now()) })
	}
	bbrpause.For(ctx, secondPingDelay)
	reports[len(peers)] = ReachabilityOf(d.Ping(ctx, m.PeerAddress, timeout, time.Now()))
	wg.Wait()
	return reports
}

// connectionRefused reports whether the host answered that no process listens on
// the address, or reset the connection. High load does not cause either.
func connectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
