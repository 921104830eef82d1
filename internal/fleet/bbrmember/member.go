package bbrmember

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrrevision"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrentry"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
	"github.com/bluebellridge/bluebellridge/internal/peer/bbrlink"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrstore"
)

// registerInterval is the mean pause between two attempts to register.
const registerInterval = 500 * time.Millisecond

// Member maintains the entry's membership of its zone.
type Member struct {
	State     *bbrentry.State
	Store     *bbrstore.Store
	Client    *bbrlink.Client
	Directory *bbrlink.FreeSlotDirectory
	Metrics   *bbrmetric.Set
	// Seeds are peer addresses to query until the entry is ready, as the platform may
	// be unavailable and no other entry known.
	Seeds []netip.AddrPort

	// mu serializes registering and leaving.
	mu sync.Mutex
	// leaving is set once the entry must not register again.
	leaving bool
	wg      sync.WaitGroup
}

// ViewDocument returns the view of the zone as a document of the platform.
func ViewDocument(store *bbrstore.Store, zone string) bbrstore.Document[bbrview.View] {
	return bbrstore.Document[bbrview.View]{Store: store, Key: bbrview.KeyPrefix + zone, Applied: bbrview.Applied}
}

// Start starts the goroutines that follow the view and the configuration, register
// the entry and have it confirmed until ctx ends.
func (m *Member) Start(ctx context.Context) {
	view := &Follower{
		Store: m.Store, Key: bbrview.KeyPrefix + m.State.Identity.Zone, WatchTimeout: viewWatchTimeout, Metrics: m.Metrics,
		Known:     func() uint64 { return m.State.Snapshot().Version },
		Accept:    acceptView(m.State),
		Unchanged: m.confirmUnchangedView,
	}
	config := &Follower{
		Store: m.Store, Key: bbrrevision.Key, WatchTimeout: configWatchTimeout, Metrics: m.Metrics,
		Known:     func() uint64 { return m.State.Revision().Number },
		Accept:    acceptConfig(m.State),
		Unchanged: func(context.Context, uint64, time.Time) {},
	}
	m.wg.Go(func() { view.run(ctx) })
	m.wg.Go(func() { config.run(ctx) })
	m.wg.Go(func() { m.runRegistration(ctx) })
	m.wg.Go(func() { m.runConfirmation(ctx) })
	m.wg.Go(func() { m.runNeighbours(ctx) })
}

// confirmUnchangedView confirms the registration by a watch that found the known
// view still in the platform. If a newer view was fetched from a peer meanwhile, the
// watch proves nothing about it.
func (m *Member) confirmUnchangedView(_ context.Context, known uint64, requestedAt time.Time) {
	if snapshot := m.State.Snapshot(); snapshot.Version == known {
		confirmIfListed(m.State, &snapshot.View, requestedAt)
	}
}

// Wait waits until the goroutines that Start started have ended.
func (m *Member) Wait() { m.wg.Wait() }

// runRegistration registers the entry whenever the view does not list it, until ctx
// ends.
func (m *Member) runRegistration(ctx context.Context) {
	for ctx.Err() == nil {
		m.registerIfNeeded(ctx)
		bbrpause.For(ctx, registerInterval/2+rand.N(registerInterval))
	}
}

// registerIfNeeded registers the entry unless the view lists it already or the entry
// is leaving. A registered entry that has not read the configuration since its
// registration reads it.
func (m *Member) registerIfNeeded(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed, suspected := m.State.Registered()
	if listed && !suspected && !m.State.ConfigConfirmed() {
		m.confirmConfig(ctx)
	}
	if m.leaving || !m.State.MayRegister() {
		return
	}
	identity := m.State.Identity
	entry := bbrview.Entry{Name: identity.Name, Incarnation: identity.Incarnation, Operators: identity.Operators}
	m.State.BeginRegistration()
	view, version, err := ViewDocument(m.Store, identity.Zone).Update(ctx, "", func(v *bbrview.View) error {
		v.Zone = identity.Zone
		v.Register(identity.Peer, entry)
		return nil
	})
	if err != nil {
		return
	}
	m.Metrics.Event("registered")
	klog.InfoS("Registered in the zone", "zone", identity.Zone, "version", version, "entries", len(view.Entries))
	m.State.OfferView(view, version, time.Now())
	m.confirmConfig(ctx)
}

// confirmConfig reads the configuration, so that a registered entry does not serve
// with one that is older than its registration.
func (m *Member) confirmConfig(ctx context.Context) {
	requestedAt := time.Now()
	value, err := m.Store.Get(ctx, bbrrevision.Key, m.State.Revision().Number)
	if err == nil {
		acceptConfig(m.State)(value, requestedAt)
	}
	if err == nil || errors.Is(err, bbrstore.ErrUnchanged) {
		m.State.ConfirmConfig(requestedAt)
	}
}

// Leave removes the entry from the view. The caller must have ensured that no
// request is in flight and none will be sent.
func (m *Member) Leave(ctx context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
	identity := m.State.Identity
	_, _, err := ViewDocument(m.Store, identity.Zone).Update(ctx, "", func(v *bbrview.View) error {
		v.Unregister(identity.Peer, identity.Incarnation)
		return nil
	})
	return err
}
