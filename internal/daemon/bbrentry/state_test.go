package bbrentry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/config/bbrrevision"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
)

// TestReadyAfterRegistrationAnswerIsLost guards against an entry that never gets
// ready because the answer to its registration was lost: the view that lists the
// process must be enough.
func TestReadyAfterRegistrationAnswerIsLost(t *testing.T) {
	start := time.Unix(1000, 0)
	peer := netip.MustParseAddrPort("10.0.0.1:7000")
	state := New(Identity{Incarnation: "x", Peer: peer}, time.Second, start)
	state.OfferRevision(&bbrrevision.Revision{Number: 1}, start)
	state.BeginRegistration()
	var view bbrview.View
	view.Register(peer, bbrview.Entry{Incarnation: "x"})
	state.OfferView(view, 1, start.Add(2*time.Second))
	require.False(t, state.Ready())
	state.ConfirmConfig(start.Add(time.Second))
	require.False(t, state.Ready(), "the configuration was read before a view listed the process")
	state.ConfirmConfig(start.Add(3 * time.Second))
	require.True(t, state.Ready())
	require.True(t, state.MaySend(start.Add(time.Hour)), "the only entry of a zone needs no confirmation")
}
