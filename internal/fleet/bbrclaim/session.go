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
	// leaseTTL bounds how long the services of a dead entry wait for another.
	leaseTTL = 3 * time.Second
	// renewInterval leaves room for lost renewals within ConfirmationTTL.
	renewInterval = 600 * time.Millisecond
	retryInterval = 200 * time.Millisecond
	// ConfirmationTTL is how long after a confirmation was asked for the entry acts on it.
	// It is shorter than the lease, and a successor waits it out where claims may
	// have been taken away without notice.
	ConfirmationTTL = 2200 * time.Millisecond
)

// entryRecord is an entry's registration.
type entryRecord struct {
	Entry       string `json:"entry"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	// Lease is ended by a successor under the same name.
	Lease bbrkv.Lease `json:"lease"`
	// MilliCPU is the processor time that the entry has.
	MilliCPU int `json:"milliCPU"`
	// PeerAddress is where other entries ask this one; invalid for nowhere.
	PeerAddress netip.AddrPort `json:"peers"`
}

// Session is the entry's lease and registration.
type Session struct {
	Store *bbrkv.Store
	// Entry, Zone and Incarnation identify the process.
	Entry, Zone, Incarnation string
	// MilliCPU is the processor time that the process has, in thousandths of a
	// core.
	MilliCPU int
	// PeerAddress is where other entries ask this one; invalid for nowhere.
	PeerAddress netip.AddrPort

	mu          sync.Mutex
	lease       bbrkv.Lease
	revision    bbrkv.Revision
	confirmedAt time.Time
	// answeredAt is when the store last answered.
	answeredAt time.Time
	closed     bool
}

// Lease is a confirmed lease with the registration that hangs on it.
type Lease struct {
	ID bbrkv.Lease
	// Registration is the revision of the entry's key.
	Registration bbrkv.Revision
}

// Lease returns the lease, while it is confirmed.
func (s *Session) Lease(now time.Time) (Lease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := s.lease != 0 && !s.closed && now.Sub(s.confirmedAt) < ConfirmationTTL
	return Lease{ID: s.lease, Registration: s.revision}, ok
}

// storeAnswerTTL is how long after an answered call the store counts as there.
const storeAnswerTTL = 1500 * time.Millisecond

// StoreAnswers tells whether the store answered lately.
func (s *Session) StoreAnswers(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.answeredAt.IsZero() && now.Sub(s.answeredAt) < storeAnswerTTL
}

// Confirmed tells whether the lease of the ID still stands for certain.
func (s *Session) Confirmed(lease bbrkv.Lease, now time.Time) bool {
	held, ok := s.Lease(now)
	return ok && held.ID == lease
}

// Key returns the key of the entry's registration.
func (s *Session) Key() string { return entryPrefix + s.Entry }

// Run keeps the session until ctx ends.
func (s *Session) Run(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		now := time.Now()
		err := s.round(ctx, now)
		switch {
		case err != nil && !failing && ctx.Err() == nil:
			klog.InfoS("Dependency lost", "dependency", "store", "use", "session", "lease", s.lease, "reason", err.Error())
			failing = true
		case err == nil && failing:
			klog.InfoS("Dependency regained", "dependency", "store", "use", "session", "lease", s.lease)
			failing = false
		}
		if err != nil {
			bbrpause.For(ctx, retryInterval)
			continue
		}
		bbrpause.For(ctx, renewInterval)
	}
}

func (s *Session) round(ctx context.Context, now time.Time) error {
	if s.lease == 0 {
		return s.open(ctx)
	}
	_, err := s.Store.Renew(ctx, s.lease)
	if errors.Is(err, bbrkv.ErrNotFound) {
		klog.InfoS("Lease ended", "lease", s.lease)
		s.setLease(0, 0, time.Time{})
		return s.open(ctx)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.confirmedAt, s.answeredAt = now, time.Now()
	s.mu.Unlock()
	return nil
}

// open takes a lease and registers. What an earlier process of this name left
// behind is ended first.
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
	record, err := json.Marshal(entryRecord{Entry: s.Entry, Zone: s.Zone, Incarnation: s.Incarnation, Lease: lease, MilliCPU: s.MilliCPU, PeerAddress: s.PeerAddress})
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
	klog.InfoS("Registered", "entry", s.Entry, "zone", s.Zone, "lease", lease, "revision", revision)
	return nil
}

func (s *Session) revokePrevious(ctx context.Context, previous bbrkv.Item) {
	var record entryRecord
	if err := json.Unmarshal(previous.Value, &record); err != nil {
		klog.InfoS("Earlier registration unreadable", "key", previous.Key, "reason", err.Error())
		return
	}
	err := s.Store.Revoke(ctx, record.Lease)
	klog.InfoS("Earlier lease ended", "lease", record.Lease, "incarnation", record.Incarnation, "error", bbrlog.Reason(err))
}

func (s *Session) setLease(lease bbrkv.Lease, revision bbrkv.Revision, confirmedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease, s.revision, s.confirmedAt, s.answeredAt = lease, revision, confirmedAt, time.Now()
}

// Close ends the lease, and with it all claims.
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
