package bbrmaintenance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMoveWithoutAnswerDoesNotReserveForEver guards against an instance that is up and takes no
// work for as long as the platform does not answer the order to move it.
func TestMoveWithoutAnswerDoesNotReserveForEver(t *testing.T) {
	f := newTestFleet(map[string]int{donorPool: 16, recipientPool: 4})
	p := NewPlanner(testAway)
	lost := func(Order) Outcome { return OutcomeUnknown }
	since := make(map[string]time.Time)
	for end := f.now.Add(time.Minute); f.now.Before(end); {
		p.abandonStalledMoves(f.now)
		requests := []CapacityRequest{requestFor(donorPool, 4), requestFor(recipientPool, 6)}
		requests[0].Releasable = f.upstreamsOf(donorPool)
		f.step(p, requests, alwaysDrained, lost)
		reserved := make(map[string]time.Time)
		for _, upstream := range p.Reserved(f.now) {
			reserved[upstream] = f.now
			if at, earlier := since[upstream]; earlier {
				reserved[upstream] = at
			}
			require.LessOrEqual(t, f.now.Sub(reserved[upstream]), 2*moveTimeout, "%s is up and reserved", upstream)
		}
		since = reserved
	}
}
