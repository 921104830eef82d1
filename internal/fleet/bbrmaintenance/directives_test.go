package bbrmaintenance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

// runWithDirectives runs the fleet for the length of time under the directives.
func (f *testFleet) runWithDirectives(p *Planner, directives bbrmachine.Directives, requests []CapacityRequest, length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); {
		p.SetDirectives(directives, f.now)
		f.step(p, requests, alwaysDrained, f.execute)
	}
}

// drainDirectives returns directives that drain the instances.
func drainDirectives(ids ...string) bbrmachine.Directives {
	directives := make(bbrmachine.Directives)
	for _, id := range ids {
		directives[id] = bbrmachine.Directive{Reason: "fan noise"}
	}
	return directives
}

// TestDrainedInstanceTakesNoWork checks that an instance that operators drained stays
// reserved until they resume it, counts for no pool, and serves again afterwards.
func TestDrainedInstanceTakesNoWork(t *testing.T) {
	f := newTestFleet(map[string]int{donorPool: 6, offPool: 2})
	p := NewPlanner(testAway)
	requests := []CapacityRequest{requestFor(donorPool, 6)}
	f.runWithDirectives(p, drainDirectives("i00"), requests, 20*time.Second)
	require.Equal(t, []string{"i00-0"}, p.Reserved(f.now))
	require.Equal(t, donorPool, f.instances["i00"].Pool, "a drained instance must not be moved")
	require.Len(t, f.upstreamsOf(donorPool), 7, "another instance replaces it")
	require.False(t, p.HasOpenWork(), "a drain is not open work")

	f.runWithDirectives(p, nil, requests, testStep)
	require.Empty(t, p.Reserved(f.now))
}

// TestDrainSurvivesRestart checks that a drained instance that restarts takes no work in
// its next incarnation either.
func TestDrainSurvivesRestart(t *testing.T) {
	f := newTestFleet(map[string]int{donorPool: 6})
	p := NewPlanner(testAway)
	needs := []CapacityRequest{requestFor(donorPool, 6)}
	f.runWithDirectives(p, drainDirectives("i00"), needs, time.Second)
	f.instances["i00"].Upstream = "i00-1"
	f.runWithDirectives(p, drainDirectives("i00"), needs, time.Second)
	require.Contains(t, p.Reserved(f.now), "i00-1")
}

// TestWaveMaintainsDrainedInstances checks that a wave is completed in time even if
// operators drained one of its instances, and that this instance stays drained.
func TestWaveMaintainsDrainedInstances(t *testing.T) {
	f := newTestFleet(map[string]int{donorPool: 6})
	p := NewPlanner(testAway)
	f.runWithDirectives(p, drainDirectives("i00"), []CapacityRequest{requestFor(donorPool, 2)}, time.Second)
	p.AddWave(newTestWave(f.ids, 2), nil, f.now)
	f.runWithDirectives(p, drainDirectives("i00"), []CapacityRequest{requestFor(donorPool, 2)}, 40*time.Second)
	require.True(t, progressOf(p).Completed)
	require.Contains(t, progressOf(p).Done, "i00")
	require.EqualValues(t, 1, f.instances["i00"].maintainedBy)
	require.Equal(t, []string{f.instances["i00"].Upstream}, p.Reserved(f.now.Add(time.Minute)))
}

// TestPinnedInstanceStaysInItsPool checks that an instance that operators pin to a pool
// moves there and is not moved back, whatever other pools request.
func TestPinnedInstanceStaysInItsPool(t *testing.T) {
	f := newTestFleet(map[string]int{donorPool: 8, recipientPool: 5})
	p := NewPlanner(testAway)
	directives := bbrmachine.Directives{"i00": {Pool: recipientPool}}
	requests := []CapacityRequest{requestFor(donorPool, 8), requestFor(recipientPool, 5)}
	f.runWithDirectives(p, directives, requests, 10*time.Second)
	require.Equal(t, recipientPool, f.instances["i00"].Pool)
	incarnations := f.instances["i00"].incarnations
	for range 20 {
		requests[1].Releasable = f.upstreamsOf(recipientPool)
		f.runWithDirectives(p, directives, requests, time.Second)
	}
	require.Equal(t, incarnations, f.instances["i00"].incarnations, "the pinned instance was moved away and back")
}
