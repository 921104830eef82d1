package bbrmember

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrrevision"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrentry"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
	"github.com/bluebellridge/bluebellridge/internal/peer/bbrpeerproto"
)

const (
	confirmEvery   = time.Second
	confirmTimeout = time.Second
	neighbourEvery = 5 * time.Second
	// eagerRounds is how many rounds of learning the neighbours follow each
	// other quickly after the start, when other entries start too.
	eagerRounds = 10
	// neighboursAsked is how many entries of each other zone are asked. They,
	// and the free slots of all, are asked for in one of slotRounds rounds.
	neighboursAsked = 1
	slotRounds      = 3
)

// runConfirmation asks the other entries of the zone for confirmation, and
// some of the other zones for their free slots.
func (m *Member) runConfirmation(ctx context.Context) {
	for number := 0; ctx.Err() == nil; number++ {
		var round sync.WaitGroup
		wantSlots := number%slotRounds == 0
		for _, peer := range m.toAsk(wantSlots) {
			round.Go(func() { m.ask(ctx, peer, wantSlots) })
		}
		round.Wait()
		bbrpause.For(ctx, confirmEvery*3/4+rand.N(confirmEvery/2))
	}
}

// toAsk returns the zone's other entries, some of each other zone, and the
// seeds while no view is known.
func (m *Member) toAsk(neighbours bool) []netip.AddrPort {
	snapshot := m.State.Snapshot()
	var peers []netip.AddrPort
	for peer := range snapshot.View.Entries {
		if peer != m.State.Identity.Peer {
			peers = append(peers, peer)
		}
	}
	for _, neighbour := range m.State.Neighbours() {
		if !neighbours {
			break
		}
		asked := 0
		for peer := range neighbour.View.Entries {
			if asked == neighboursAsked {
				break
			}
			peers = append(peers, peer)
			asked++
		}
	}
	if !m.State.Ready() {
		peers = append(peers, m.Seeds...)
	}
	return peers
}

func (m *Member) ask(ctx context.Context, peer netip.AddrPort, wantSlots bool) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	identity := m.State.Identity
	asked := time.Now()
	client := m.Client.Peer(ctx, peer)
	answer, err := client.Confirm(ctx, &bbrpeerproto.ConfirmRequest{Peer: identity.Peer.String(), Incarnation: identity.Incarnation, WantFreeSlots: wantSlots})
	if err != nil {
		m.Metrics.Event("peerSilent")
		return
	}
	if answer.GetConfirmed() {
		m.State.ConfirmedByPeer(peer, asked)
	}
	if wantSlots {
		m.Directory.Update(peer, answer.GetFreeSlots(), time.Now())
	}
	newerView := answer.GetZone() == identity.Zone && answer.GetViewVersion() > m.State.Snapshot().Version
	if newerView || answer.GetRevision() > m.State.Revision().Number {
		m.fetch(ctx, client)
	}
	if m.State.TrustsConfigOf(peer, answer.GetIncarnation(), answer.GetReady()) && m.State.Revision().Number >= answer.GetRevision() {
		m.State.ConfirmConfig(asked)
	}
}

// fetch takes newer documents from a peer. A view counts only if it is of this
// zone.
func (m *Member) fetch(ctx context.Context, client bbrpeerproto.DRPCPeerClient) {
	known, revision := m.State.Snapshot().Version, m.State.Revision().Number
	documents, err := client.Documents(ctx, &bbrpeerproto.DocumentsRequest{ViewVersion: known, Revision: revision, Zone: m.State.Identity.Zone})
	if err != nil {
		return
	}
	now := time.Now()
	var view bbrview.View
	sameZone := documents.GetZone() == m.State.Identity.Zone && documents.GetViewVersion() > known
	if sameZone && json.Unmarshal(documents.GetView(), &view) == nil {
		if m.State.OfferView(view, documents.GetViewVersion(), now) {
			m.Metrics.Event("viewFromPeer")
		}
	}
	newer := &bbrrevision.Revision{Number: documents.GetRevision()}
	if newer.Number > revision && json.Unmarshal(documents.GetConfig(), &newer.Config) == nil {
		if m.State.OfferRevision(newer, now) {
			m.Metrics.Event("configFromPeer")
			klog.InfoS("Configuration came from another entry", "revision", newer.Number)
		}
	}
}

// runNeighbours learns the entries of the other zones.
func (m *Member) runNeighbours(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		m.learnNeighbours(ctx)
		every := neighbourEvery
		if round < eagerRounds {
			every = confirmEvery
		}
		bbrpause.For(ctx, every/2+rand.N(every))
	}
}

func (m *Member) learnNeighbours(ctx context.Context) {
	keys, err := m.Store.Keys(ctx, bbrview.KeyPrefix)
	if err != nil {
		return
	}
	zones := make(map[string]*bbrentry.Snapshot, len(keys))
	for _, key := range keys {
		zone := key[len(bbrview.KeyPrefix):]
		if zone == m.State.Identity.Zone {
			continue
		}
		zones[zone] = m.learnZone(ctx, zone)
	}
	m.State.SetNeighbours(zones)
}

func (m *Member) learnZone(ctx context.Context, zone string) *bbrentry.Snapshot {
	present := m.State.Neighbours()[zone]
	if present == nil {
		present = &bbrentry.Snapshot{}
	}
	value, err := m.Store.Get(ctx, bbrview.KeyPrefix+zone, present.Version)
	if err != nil {
		return present
	}
	snapshot := &bbrentry.Snapshot{Version: value.Version}
	if json.Unmarshal(value.Data, &snapshot.View) != nil {
		return present
	}
	return snapshot
}
