package bbrledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUpstreamThatIsEmptySoonestIsGivenFirst plays a pool whose turn of demand is
// over: of its upstreams that one is offered first whose work ends first, however
// many work units it still has, since the pool whose turn begins waits for the
// end of the last of them.
func TestUpstreamThatIsEmptySoonestIsGivenFirst(t *testing.T) {
	const short, long = "00000000000000a1", "00000000000000b2"
	s := newScene(t, true, "i-1", "i-2")
	brief := unitStep(4)
	brief.Estimate = 400 * time.Millisecond
	s.accept(short, brief)
	plan := s.plan()
	require.Len(t, plan.Starts, 4)
	s.started(plan, nil)
	busy := plan.Starts[0].Upstream.ID

	lengthy := unitStep(1)
	lengthy.Estimate = 3 * time.Second
	s.accept(long, lengthy)
	plan = s.plan()
	require.Len(t, plan.Starts, 1)
	s.started(plan, nil)
	other := plan.Starts[0].Upstream.ID
	require.NotEqual(t, busy, other)

	require.Equal(t, []string{busy, other}, s.ledger.Demand(s.now).Give)
}
