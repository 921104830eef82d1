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
	// secondPingDelay is between a failed ping and the next, while the others are
	// asked: an owner that is merely out of processor time for a moment answers
	// one of the two.
	secondPingDelay = 200 * time.Millisecond
	// minWatchTime is how old a claim must be before its holder is doubted. A new
	// owner is busy with reading.
	minWatchTime = 2 * time.Second
	// revokeAttempts is how often the detector tries to revoke the lease of an
	// unreachable owner before the peers are queried anew.
	revokeAttempts = 4
	// revokeRetryDelay is the pause between two of these attempts.
	revokeRetryDelay = 200 * time.Millisecond
	// queryInterval is between two rounds of questions about one owner.
	queryInterval = time.Second
	// peersPerZone bounds the entries that are asked for their opinion.
	peersPerZone = 2
)

// monitor is what is known of an owner by pings.
type monitor struct {
	detector *Detector
	bbrclaim.Owner
	watchedSince time.Time
	// estimator is for the owner's answers.
	estimator timeoutEstimator
	// everReached is set by the first answer. One that never answered may be out of
	// reach by its installation, and is not doubted.
	everReached bool
	// pinging is set while a ping is under way.
	pinging bool
	// queriedAt is when the others were last asked about it.
	queriedAt time.Time
	// logged is set while the log's last word is that it is doubted.
	logged bool
	// revoked is set once the lease was ended.
	revoked bool
}

// run pings the owner once, and takes its claims away where it is cut off.
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

// beginQuery tells whether the owner should be judged now. One that has just
// succeeded another is judged only if its address refuses connections: what made
// the other silent may be the load, and then it would take all owners in turn.
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

// revokeIfUnreachable asks others, and ends the owner's lease if they agree that it is cut
// off. It tells whether the lease has ended.
func (m *monitor) revokeIfUnreachable(ctx context.Context, cause error, timeout time.Duration) bool {
	d := m.detector
	reports := m.gather(ctx, timeout)
	if !UnreachableByMajority(reports) {
		if m.recordUnconfirmed(slices.Contains(reports, Reachable)) {
			klog.InfoS("Owner doubted", "entry", m.Entry, "zone", m.Zone, "lease", m.Lease, "within", timeout, "reason", cause.Error(), "opinions", join(reports))
		}
		return false
	}
	err := m.revokeLease(ctx)
	if err != nil {
		klog.InfoS("Owner cut off, its lease cannot be ended", "entry", m.Entry, "zone", m.Zone, "lease", m.Lease, "opinions", join(reports), "error", err.Error())
		return false
	}
	klog.InfoS("Owner cut off, its lease ended", "entry", m.Entry, "zone", m.Zone, "lease", m.Lease, "within", timeout, "reason", cause.Error(), "opinions", join(reports))
	d.Event("reach:ended")
	return true
}

// revokeLease ends the owner's lease. It tries again while the judgement is fresh,
// since the store may be on its way back.
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

// recordUnconfirmed notes that the doubt was false and tells whether a line about it is due:
// one for each time that the owner stops answering.
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

// gather returns this entry's opinion by another ping, and those of others.
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

// connectionRefused tells whether the address answered that nobody listens there, which no
// load brings about.
func connectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
