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

// Identity identifies an entry's process. It is immutable.
type Identity struct {
	Name        string
	Zone        string
	Incarnation string
	// Peer is the address at which other entries reach this one. The process
	// binds it before it registers.
	Peer netip.AddrPort
	// Operators is the address for operators' commands.
	Operators netip.AddrPort
}

// Snapshot is a view with its version. It is immutable.
type Snapshot struct {
	View    bbrview.View
	Version uint64
}

// State is the state of the process. Requests read it without locks.
type State struct {
	Identity Identity
	// Started is the start time of the process, from which the offsets below count.
	Started time.Time

	revisions  bbrrevision.Holder
	snapshot   atomic.Pointer[Snapshot]
	table      atomic.Pointer[bbrroute.Table]
	otherZones atomic.Pointer[map[string]*Snapshot]
	// sendUntil is the time until which the entry may send, in nanoseconds after
	// Started; math.MaxInt64 means without limit.
	sendUntil atomic.Int64

	// configConfirmed is true once a configuration has been read from the platform
	// or an active entry by a call that began after the registration. Such a
	// configuration includes every change accepted before the registration.
	configConfirmed atomic.Bool
	// registeredAt is when the registration was first seen in a view, in nanoseconds
	// after Started; 0 means not yet.
	registeredAt atomic.Int64

	// mu serialises changes; requests never lock it.
	mu       sync.Mutex
	registry bbrroute.Registry
	fence    bbrview.Fence
}

// New returns the state of an entry without a view and a configuration.
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

// Ready reports whether the entry has a view and a configuration. If it is
// registered, the configuration must have been read after the registration.
func (s *State) Ready() bool {
	table := s.Table()
	known := table.ViewVersion > 0 && table.Revision > 0
	return known && (s.configConfirmed.Load() || !s.listed())
}

func (s *State) listed() bool {
	listed, _ := s.Registered()
	return listed
}

// BeginRegistration makes the entry not ready until a configuration is read after
// the registration. It must be called before the registration is written. The first
// view that lists the process shows that it was written, even if the platform's
// answer was lost.
func (s *State) BeginRegistration() {
	s.configConfirmed.Store(false)
	s.registeredAt.Store(0)
}

// ConfigConfirmed reports whether a configuration has been read since the
// registration.
func (s *State) ConfigConfirmed() bool { return s.configConfirmed.Load() }

// TrustsConfigOf reports whether a peer's configuration can be used like the
// platform's: the peer is ready, and it is the active process that the view lists,
// not a successor at the same address.
func (s *State) TrustsConfigOf(peer netip.AddrPort, incarnation string, ready bool) bool {
	entry := s.Snapshot().View.Entries[peer]
	return ready && entry.Active && entry.Incarnation == incarnation && s.listed()
}

// ConfirmConfig records that the current configuration was read by a call that
// began at requestedAt.
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

// ConfirmationAge returns the age of the newest confirmation that suffices for
// sending. It is 0 for the only entry of a zone, which needs none.
func (s *State) ConfirmationAge(now time.Time) time.Duration {
	until := s.sendUntil.Load()
	if until == math.MaxInt64 {
		return 0
	}
	return now.Sub(s.Started) + s.fence.Timeout - time.Duration(until)
}

// OfferView puts a view in force if it is newer than the current one, and reports
// whether it was.
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

// OfferRevision puts a configuration in force if it is newer than the current one,
// and reports whether it was.
func (s *State) OfferRevision(revision *bbrrevision.Revision, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.revisions.Offer(revision) {
		return false
	}
	s.rebuild(now)
	return true
}

// rebuild updates the routing table and the fence from the view and the
// configuration. The caller holds mu.
func (s *State) rebuild(now time.Time) {
	snapshot := s.Snapshot()
	self := s.Identity.Peer
	own := snapshot.View.Entries[self]
	if own.Incarnation != s.Identity.Incarnation || own.Suspected() {
		// The view lists another process or none at this address, or this one is
		// suspected: it has no share of the slots.
		self = netip.AddrPort{}
	}
	table := s.registry.Build(&snapshot.View, snapshot.Version, s.Revision(), self)
	s.table.Store(table)
	s.updateFence()
	for _, pool := range table.Pools {
		pool.GrantFreeSlots(now)
	}
}

// updateFence updates sendUntil from the confirmations. The caller holds mu.
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

// ConfirmedByPlatform records that a read of the platform that began at
// requestedAt showed this process registered and not suspected. A suspicion that is
// written later takes effect only after the fence timeout, which counts from
// requestedAt.
func (s *State) ConfirmedByPlatform(requestedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fence.ConfirmedByPlatform(requestedAt)
	s.updateFence()
}

// ConfirmedByPeer records that a peer confirmed the registration in answer to a
// request sent at sentAt.
func (s *State) ConfirmedByPeer(peer netip.AddrPort, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fence.ConfirmedByPeer(peer, sentAt)
	s.updateFence()
}

// Acknowledge returns the version of the view in force and the requests that are
// in flight although the view no longer allows them.
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

// InFlight returns the number of requests that hold a slot of an upstream.
func (s *State) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.InFlight()
}

// Registered reports whether the current view lists this process, and whether it is
// suspected.
func (s *State) Registered() (listed, suspected bool) {
	own := s.Snapshot().View.Entries[s.Identity.Peer]
	return own.Incarnation == s.Identity.Incarnation, own.Suspected()
}

// MayRegister reports whether the process may write its registration: the view does
// not list it or lists it as suspected, and nothing is in flight. Otherwise, a
// request that acquired its slot under an earlier registration would be sent under
// the new one, to an instance whose slots other entries have acquired since.
func (s *State) MayRegister() bool {
	listed, suspected := s.Registered()
	return (!listed || suspected) && s.InFlight() == 0
}

// OtherZones returns the last known views of the other zones, by zone. Their
// instances may be out of date.
func (s *State) OtherZones() map[string]*Snapshot { return *s.otherZones.Load() }

// SetOtherZones replaces the views of the other zones.
func (s *State) SetOtherZones(zones map[string]*Snapshot) { s.otherZones.Store(&zones) }
