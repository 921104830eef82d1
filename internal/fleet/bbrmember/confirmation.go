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
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
	"github.com/bluebellridge/bluebellridge/internal/peer/bbrpeerproto"
)

const (
	// confirmInterval is the mean pause between two rounds of requests.
	confirmInterval = time.Second
	confirmTimeout  = time.Second
	// slotQueryRounds is the number of rounds of which one also queries the free
	// slots of all peers, and peers of the other zones.
	slotQueryRounds = 3
	// peersPerNeighbour is how many entries of each other zone are queried in such
	// a round.
	peersPerNeighbour = 1
)

// runConfirmation requests confirmation from the other entries of the zone, and
// queries some entries of the other zones for their free slots, until ctx ends.
func (m *Member) runConfirmation(ctx context.Context) {
	for number := 0; ctx.Err() == nil; number++ {
		var round sync.WaitGroup
		wantSlots := number%slotQueryRounds == 0
		for _, peer := range m.peersToQuery(wantSlots) {
			round.Go(func() { m.requestConfirmation(ctx, peer, wantSlots) })
		}
		round.Wait()
		bbrpause.For(ctx, confirmInterval*3/4+rand.N(confirmInterval/2))
	}
}

// peersToQuery returns the other entries of the zone, some of each other zone if
// withNeighbours is set, and the seeds while the entry is not ready.
func (m *Member) peersToQuery(withNeighbours bool) []netip.AddrPort {
	snapshot := m.State.Snapshot()
	var peers []netip.AddrPort
	for peer := range snapshot.View.Entries {
		if peer != m.State.Identity.Peer {
			peers = append(peers, peer)
		}
	}
	for _, neighbour := range m.State.OtherZones() {
		if !withNeighbours {
			break
		}
		queried := 0
		for peer := range neighbour.View.Entries {
			if queried == peersPerNeighbour {
				break
			}
			peers = append(peers, peer)
			queried++
		}
	}
	if !m.State.Ready() {
		peers = append(peers, m.Seeds...)
	}
	return peers
}

// requestConfirmation requests confirmation from the peer, and fetches its view and
// configuration if they are newer.
func (m *Member) requestConfirmation(ctx context.Context, peer netip.AddrPort, wantSlots bool) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	identity := m.State.Identity
	requestedAt := time.Now()
	client := m.Client.Peer(ctx, peer)
	answer, err := client.Confirm(ctx, &bbrpeerproto.ConfirmRequest{Peer: identity.Peer.String(), Incarnation: identity.Incarnation, WantFreeSlots: wantSlots})
	if err != nil {
		m.Metrics.Event("peerSilent")
		return
	}
	if answer.GetConfirmed() {
		m.State.ConfirmedByPeer(peer, requestedAt)
	}
	if wantSlots {
		m.Directory.Update(peer, answer.GetFreeSlots(), time.Now())
	}
	newerView := answer.GetZone() == identity.Zone && answer.GetViewVersion() > m.State.Snapshot().Version
	if newerView || answer.GetRevision() > m.State.Revision().Number {
		m.fetchDocuments(ctx, client)
	}
	if m.State.TrustsConfigOf(peer, answer.GetIncarnation(), answer.GetReady()) && m.State.Revision().Number >= answer.GetRevision() {
		m.State.ConfirmConfig(requestedAt)
	}
}

// fetchDocuments fetches newer documents from a peer. A view is used only if it is
// that of this zone.
func (m *Member) fetchDocuments(ctx context.Context, client bbrpeerproto.DRPCPeerClient) {
	known, revision := m.State.Snapshot().Version, m.State.Revision().Number
	documents, err := client.Documents(ctx, &bbrpeerproto.DocumentsRequest{ViewVersion: known, Revision: revision, Zone: m.State.Identity.Zone})
	if err != nil {
		return
	}
	now := time.Now()
	var view bbrview.View
	newerView := documents.GetZone() == m.State.Identity.Zone && documents.GetViewVersion() > known
	if newerView && json.Unmarshal(documents.GetView(), &view) == nil {
		if m.State.OfferView(view, documents.GetViewVersion(), now) {
			m.Metrics.Event("viewFromPeer")
		}
	}
	newer := &bbrrevision.Revision{Number: documents.GetRevision()}
	if newer.Number > revision && json.Unmarshal(documents.GetConfig(), &newer.Config) == nil {
		if m.State.OfferRevision(newer, now) {
			m.Metrics.Event("configFromPeer")
			klog.InfoS("Configuration fetched from another entry", "revision", newer.Number)
		}
	}
}
