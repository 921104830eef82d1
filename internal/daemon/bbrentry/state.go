package bbrentry

import (
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/config/bbrrevision"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrroute"
)

// Identity is who an entry is. It does not change while the process lives.
type Identity struct {
	Name        string
	Zone        string
	Incarnation string
	// Peer is the address at which other entries reach this one. The process
	// has bound it before it registers.
	Peer      netip.AddrPort
	Operators netip.AddrPort
}

// Snapshot is a view with its version; neither is ever changed.
type Snapshot struct {
	View    bbrview.View
	Version uint64
}

// State is the live state. Requests read it without locks.
type State struct {
	Identity Identity
	// Started is the origin of the monotonic times below.
	Started time.Time

	revisions  bbrrevision.Holder
	snapshot   atomic.Pointer[Snapshot]
	table      atomic.Pointer[bbrroute.Table]
	otherZones atomic.Pointer[map[string]*Snapshot]
	// sendUntil is how long after Started the entry may send.
	sendUntil atomic.Int64

	// configConfirmed is true once a configuration has been read, by a call
	// that began after the registration, from the platform or from an active
	// entry. A change that was accepted before the registration is in it.
	configConfirmed atomic.Bool
	// registeredAt is how long after Started the registration was first seen,
	// and 0 before that.
	registeredAt atomic.Int64

	// mu orders changes; it is never held by a request.
	mu       sync.Mutex
	registry bbrroute.Registry
	fence    bbrview.Fence
}

// New returns the state of an entry that knows nothing yet.
func New(identity Identity, fenceTimeout time.Duration, now time.Time) *State {
	s := &State{Identity: identity, Started: now}
	s.fence.Timeout = fenceTimeout
	s.snapshot.Store(&Snapshot{})
	s.table.Store(&bbrroute.Table{})
	s.otherZones.Store(&map[string]*Snapshot{})
	return s
}

// Table returns the routing table.
func (s *State) Table() *bbrroute.Table { return s.table.Load() }

// Snapshot returns the newest view; its Version is 0 before the first one.
func (s *State) Snapshot() *Snapshot { return s.snapshot.Load() }

// Revision returns the newest configuration; its Number is 0 before the first.
func (s *State) Revision() *bbrrevision.Revision { return s.revisions.Current() }

// Ready reports whether the entry knows a view and a configuration. A
// registered entry needs a configuration that is no older than its
// registration.
func (s *State) Ready() bool {
	table := s.Table()
	known := table.ViewVersion > 0 && table.Revision > 0
	return known && (s.configConfirmed.Load() || !s.listed())
}

func (s *State) listed() bool {
	listed, _ := s.Registered()
	return listed
}

// BeginRegistration makes the entry wait for a configuration that is read
// after the registration. It is called before the registration is written. That
// it was written is known from the first view that lists the process, also if
// the platform's answer was lost.
func (s *State) BeginRegistration() {
	s.configConfirmed.Store(false)
	s.registeredAt.Store(0)
}

// ConfigConfirmed reports whether the configuration was read since the
// registration.
func (s *State) ConfigConfirmed() bool { return s.configConfirmed.Load() }

// TrustsConfigOf reports whether a peer's configuration is as good as the
// platform's: it takes requests, and it is the active process that the view
// lists, not a successor at its address.
func (s *State) TrustsConfigOf(peer netip.AddrPort, incarnation string, ready bool) bool {
	entry := s.Snapshot().View.Entries[peer]
	return ready && entry.Active && entry.Incarnation == incarnation && s.listed()
}

// ConfirmConfig records that the present configuration was read by a call that
// began at asked.
func (s *State) ConfirmConfig(requestedAt time.Time) {
	registered := s.registeredAt.Load()
	if registered > 0 && int64(requestedAt.Sub(s.Started)) >= registered && s.listed() {
		s.configConfirmed.Store(true)
	}
}

// MaySend reports whether the entry's registration is confirmed at now.
func (s *State) MaySend(now time.Time) bool {
	return int64(now.Sub(s.Started)) < s.sendUntil.Load()
}

// ConfirmationAge returns how old the newest sufficient confirmation is. It is
// 0 for the only entry of a zone, which needs none.
func (s *State) ConfirmationAge(now time.Time) time.Duration {
	until := s.sendUntil.Load()
	if until == math.MaxInt64 {
		return 0
	}
	return now.Sub(s.Started) + s.fence.Timeout - time.Duration(until)
}

// OfferView obeys a view if it is newer than the present one.
func (s *State) OfferView(view bbrview.View, version uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Snapshot().Version >= version {
		return false
	}
	s.snapshot.Store(&Snapshot{View: view, Version: version})
	if s.listed() && s.registeredAt.Load() == 0 {
		s.registeredAt.Store(int64(now.Sub(s.Started)))
	}
	s.rebuild(now)
	return true
}

// OfferRevision obeys a configuration if it is newer than the present one.
func (s *State) OfferRevision(revision *bbrrevision.Revision, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.revisions.Offer(revision) {
		return false
	}
	s.rebuild(now)
	return true
}

// rebuild derives the table and the fence. The caller holds mu.
func (s *State) rebuild(now time.Time) {
	snapshot := s.Snapshot()
	self := s.Identity.Peer
	own := snapshot.View.Entries[self]
	if own.Incarnation != s.Identity.Incarnation || own.Suspected() {
		// Another process is listed, or nobody: this one owns no share.
		self = netip.AddrPort{}
	}
	table := s.registry.Build(&snapshot.View, snapshot.Version, s.Revision(), self)
	s.table.Store(table)
	s.updateFence()
	for _, pool := range table.Pools {
		pool.GrantFreeSlots(now)
	}
}

// updateFence publishes until when the entry may send. The caller holds mu.
func (s *State) updateFence() {
	until, unbounded := s.fence.SendDeadline(&s.Snapshot().View, s.Identity.Peer, s.Identity.Incarnation)
	switch {
	case unbounded:
		s.sendUntil.Store(math.MaxInt64)
	case until.IsZero():
		s.sendUntil.Store(0)
	default:
		s.sendUntil.Store(int64(until.Sub(s.Started)))
	}
}

// ConfirmedByPlatform records that a read of the platform that began at asked
// showed this process registered and not suspected. A mark that was written
// later waits for the fence, which counts from asked.
func (s *State) ConfirmedByPlatform(requestedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fence.ConfirmedByPlatform(requestedAt)
	s.updateFence()
}

// ConfirmedByPeer records a peer's confirmation of a question sent at asked.
func (s *State) ConfirmedByPeer(peer netip.AddrPort, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fence.ConfirmedByPeer(peer, sentAt)
	s.updateFence()
}

// Acknowledge returns which view the entry obeys and what is in flight against
// it.
func (s *State) Acknowledge() bbrview.Ack {
	s.mu.Lock()
	defer s.mu.Unlock()
	inFlight, excess := s.registry.Acknowledge()
	return bbrview.Ack{
		Incarnation:    s.Identity.Incarnation,
		Version:        s.Snapshot().Version,
		InFlight:       inFlight,
		ExcessInFlight: excess,
	}
}

// InFlight returns how many requests are at upstreams.
func (s *State) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.InFlight()
}

// Registered reports whether the present view lists this process, and whether
// it is suspected.
func (s *State) Registered() (listed, suspected bool) {
	own := s.Snapshot().View.Entries[s.Identity.Peer]
	return own.Incarnation == s.Identity.Incarnation, own.Suspected()
}

// MayRegister reports whether the process should write its registration: no
// view lists it as it should be, and nothing is in flight. A request that took
// its slot under an earlier registration would otherwise be sent under the new
// one, to an instance that others have taken over since.
func (s *State) MayRegister() bool {
	listed, suspected := s.Registered()
	return (!listed || suspected) && s.InFlight() == 0
}

// OtherZones returns what is known of the other zones' entries. Their
// instances may be out of date.
func (s *State) OtherZones() map[string]*Snapshot { return *s.otherZones.Load() }

// SetOtherZones replaces what is known of the other zones.
func (s *State) SetOtherZones(zones map[string]*Snapshot) { s.otherZones.Store(&zones) }
