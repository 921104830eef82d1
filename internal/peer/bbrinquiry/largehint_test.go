package bbrinquiry

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrowner"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/standin/bbrrelay"
)

// TestHintOfLargeJobLeavesEntryReachable guards against the hint of a job that takes longer
// than a query may, after which no other query is sent to the entry.
func TestHintOfLargeJobLeavesEntryReachable(t *testing.T) {
	listener, address := listen(t)
	server := &Server{AcceptHint: func(bbrowner.Hint) HintResponse { return HintResponse{Accepted: true} }}
	go func() { _ = server.Run(t.Context(), listener) }()
	link := &bbrrelay.Link{}
	link.SetRate(250_000)
	relay := &bbrrelay.Relay{Target: address, Link: link}
	relayListener, relayAddress := listen(t)
	go relay.Run(relayListener)

	for name, job := range map[string]*bbrwork.Job{
		"spec":  {Spec: strings.Repeat("x", 200<<10)},
		"steps": {Steps: make([]bbrwork.Step, 2000)},
	} {
		client := NewClient()
		defer client.Close()
		_, answered := client.Hint(t.Context(), relayAddress, bbrowner.Hint{Job: job}, time.Now())
		require.False(t, answered, name)
		require.False(t, client.inBackoff(relayAddress, time.Now()), name)
	}
}
