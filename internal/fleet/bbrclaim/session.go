package bbrclaim

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrlog"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const (
	// leaseTTL bounds how long the shards of a failed entry have no owner.
	leaseTTL = 3 * time.Second
	// renewInterval is the pause between renewals of the lease. It is short enough
	// for some renewals to be lost within ConfirmationTTL.
	renewInterval = 600 * time.Millisecond
	// retryInterval is the pause after a call to the store that failed.
	retryInterval = 200 * time.Millisecond
	// ConfirmationTTL is how long the entry relies on a confirmation of its lease,
	// from the time at which it sent the request. It is shorter than leaseTTL. A
	// successor waits for this long if the previous owner may have lost its claim
	// without noticing.
	ConfirmationTTL = 2200 * time.Millisecond
)

// entryRecord is the registration of an entry.
type entryRecord struct {
	Entry       string `json:"entry"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	// Lease is revoked by the next process of the same name.
	Lease bbrkv.Lease `json:"lease"`
	// MilliCPU is the processor time of the entry, in thousandths of a core.
	MilliCPU int `json:"milliCPU"`
	// BandwidthMbps is the entry's link, in megabits per second; 0 if it is unknown or the
	// entry has an earlier build.
	BandwidthMbps int `json:"bandwidthMbps,omitempty"`
	// MemoryMB is the memory that the entry may use, in megabytes; 0 if it is unknown or the entry
	// has an earlier build.
	MemoryMB int `json:"memoryMB,omitempty"`
	// PeerAddress is where the entry answers queries of other entries; invalid if
	// it answers none.
	PeerAddress netip.AddrPort `json:"peers"`
}

// Session maintains the entry's lease and its registration in the store.
type Session struct {
	Store *bbrkv.Store
	// Entry, Zone and Incarnation identify the process.
	Entry, Zone, Incarnation string
	// MilliCPU is the processor time of the process, in thousandths of a core.
	MilliCPU int
	// BandwidthMbps is the link of the process, in megabits per second; 0 if it is unknown.
	BandwidthMbps int
	// MemoryMB is the memory that the process may use, in megabytes; 0 if it is unknown.
	MemoryMB int
	// PeerAddress is where the entry answers queries of other entries; invalid if
	// it answers none.
	PeerAddress netip.AddrPort

	mu sync.Mutex
	// lease is 0 while the session has none.
	lease bbrkv.Lease
	// revision is the revision of the registration.
	revision bbrkv.Revision
	// confirmedAt is when the last confirmed grant or renewal was requested.
	confirmedAt time.Time
	// answeredAt is when the store last answered a call of the session.
	answeredAt time.Time
	// servedAt is when the store last served any call of this entry.
	servedAt time.Time
	// closed is set by Close. A closed session has no confirmed lease.
	closed bool
}

// Lease is a lease and the registration that is attached to it.
type Lease struct {
	ID bbrkv.Lease
	// Registration is the revision of the entry's key.
	Registration bbrkv.Revision
}

// Lease returns the lease, and whether it is confirmed at now.
func (s *Session) Lease(now time.Time) (Lease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := s.lease != 0 && !s.closed && now.Sub(s.confirmedAt) < ConfirmationTTL
	return Lease{ID: s.lease, Registration: s.revision}, ok
}

// storeAnswerTTL is how long the store counts as available after it has answered.
const storeAnswerTTL = 1500 * time.Millisecond

// StoreAnswers reports whether the store has answered within storeAnswerTTL.
func (s *Session) StoreAnswers(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.answeredAt.IsZero() && now.Sub(s.answeredAt) < storeAnswerTTL
}

// RecordServed records that the store has served a call of this entry, whatever the call
// was for.
func (s *Session) RecordServed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servedAt = now
}

// ServedAt returns when the store last served a call of this entry.
func (s *Session) ServedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servedAt
}

// GiveUp gives up the lease, so that none of its claims is confirmed any more, and
// returns it; 0 if there is none. The caller has to see to it that the lease is revoked.
func (s *Session) GiveUp() bbrkv.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.lease
	s.lease, s.confirmedAt = 0, time.Time{}
	return lease
}

// currentLease returns the lease; 0 if there is none.
func (s *Session) currentLease() bbrkv.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease
}

// Confirmed reports whether the lease is the session's current one and is
// confirmed at now.
func (s *Session) Confirmed(lease bbrkv.Lease, now time.Time) bool {
	held, ok := s.Lease(now)
	return ok && held.ID == lease
}

// Key returns the key of the entry's registration.
func (s *Session) Key() string { return entryPrefix + s.Entry }

// Run opens the session and keeps renewing its lease until ctx ends. It opens a
// new one when the lease has expired or was revoked.
func (s *Session) Run(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		now := time.Now()
		err := s.round(ctx, now)
		switch {
		case err != nil && !failing && ctx.Err() == nil:
			klog.InfoS("Dependency lost", "dependency", "store", "use", "session", "lease", s.currentLease(), "reason", err.Error())
			failing = true
		case err == nil && failing:
			klog.InfoS("Dependency regained", "dependency", "store", "use", "session", "lease", s.currentLease())
			failing = false
		}
		if err != nil {
			bbrpause.For(ctx, retryInterval)
			continue
		}
		bbrpause.For(ctx, renewInterval)
	}
}

// round renews the lease, or opens the session if there is no lease.
func (s *Session) round(ctx context.Context, now time.Time) error {
	lease := s.currentLease()
	if lease == 0 {
		return s.open(ctx)
	}
	_, err := s.Store.Renew(ctx, lease)
	if errors.Is(err, bbrkv.ErrNotFound) {
		klog.InfoS("Lease ended", "lease", lease)
		s.setLease(0, 0, time.Time{})
		return s.open(ctx)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answeredAt = time.Now()
	if s.lease == lease {
		s.confirmedAt = now
	}
	return nil
}

// open requests a lease and registers the entry under it. It first revokes the
// lease of an earlier registration of the same name.
func (s *Session) open(ctx context.Context) error {
	previous, err := s.Store.Get(ctx, s.Key())
	if err != nil && !errors.Is(err, bbrkv.ErrNotFound) {
		return err
	}
	if err == nil {
		s.revokePrevious(ctx, previous)
		if previous, err = s.Store.Get(ctx, s.Key()); err != nil && !errors.Is(err, bbrkv.ErrNotFound) {
			return err
		}
	}
	requestedAt := time.Now()
	lease, _, err := s.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	record, err := json.Marshal(entryRecord{Entry: s.Entry, Zone: s.Zone, Incarnation: s.Incarnation, Lease: lease, MilliCPU: s.MilliCPU, BandwidthMbps: s.BandwidthMbps, MemoryMB: s.MemoryMB, PeerAddress: s.PeerAddress})
	if err != nil {
		return err
	}
	revision, err := s.Store.Commit(ctx, bbrkv.Transaction{
		Conditions: []bbrkv.Condition{{Key: s.Key(), Revision: previous.Revision}},
		Puts:       []bbrkv.Put{{Key: s.Key(), Value: record, Lease: lease}},
	})
	if err != nil {
		return err
	}
	s.setLease(lease, revision, requestedAt)
	klog.InfoS("Registered", "entry", s.Entry, "zone", s.Zone, "peers", s.PeerAddress, "milliCPU", s.MilliCPU, "lease", lease, "revision", revision)
	return nil
}

// revokePrevious revokes the lease of a previous registration, and with it the
// claims of that process.
func (s *Session) revokePrevious(ctx context.Context, previous bbrkv.Item) {
	var record entryRecord
	if err := json.Unmarshal(previous.Value, &record); err != nil {
		klog.InfoS("Failed to decode the previous registration of this entry", "key", previous.Key, "reason", err.Error())
		return
	}
	err := s.Store.Revoke(ctx, record.Lease)
	klog.InfoS("Revoked the lease of the previous incarnation", "lease", record.Lease, "incarnation", record.Incarnation, "error", bbrlog.ErrorText(err))
}

func (s *Session) setLease(lease bbrkv.Lease, revision bbrkv.Revision, confirmedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease, s.revision, s.confirmedAt, s.answeredAt = lease, revision, confirmedAt, time.Now()
}

// Close revokes the lease, which deletes the registration and all claims.
func (s *Session) Close(ctx context.Context) error {
	s.mu.Lock()
	lease := s.lease
	s.closed = true
	s.mu.Unlock()
	if lease == 0 {
		return nil
	}
	return s.Store.Revoke(ctx, lease)
}
