package bbrmaintenance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

// thirdPool is a pool beside donorPool and recipientPool.
const thirdPool = "third"

// statesOf plans one round, after the instances have settled, and returns the states by
// pool.
func (f *testFleet) statesOf(p *Planner, requests []CapacityRequest) map[string]PartitionState {
	p.UpdateInstances(f.list(), f.now)
	f.now = f.now.Add(2 * settlingTime)
	p.UpdateInstances(f.list(), f.now)
	states := make(map[string]PartitionState)
	for _, state := range p.Balance(requests, f.sparePool, func(upstream string) bool { return upstream != "" }, f.now) {
		states[state.Pool] = state
	}
	return states
}

// TestShortfall guards against a partition below its target size whose state does not say
// why it got no instance.
func TestShortfall(t *testing.T) {
	const targetAboveFleet = 30
	tests := []struct {
		name      string
		donors    int
		spares    int
		releases  bool
		directive bool
		requests  []CapacityRequest
		want      map[string]Shortfall
	}{
		{"at target", 4, 0, false, false, []CapacityRequest{requestFor(donorPool, 4), requestFor(recipientPool, 4)}, map[string]Shortfall{donorPool: ShortfallNone, recipientPool: ShortfallNone}},
		{"filled from the spare pool", 4, 8, false, false, []CapacityRequest{requestFor(recipientPool, 8)}, map[string]Shortfall{recipientPool: ShortfallNone}},
		{"no donor", 4, 0, true, false, []CapacityRequest{requestFor(donorPool, 4), requestFor(recipientPool, targetAboveFleet)}, map[string]Shortfall{donorPool: ShortfallNone, recipientPool: ShortfallNoDonor}},
		{"too few spare instances", 4, 2, true, false, []CapacityRequest{requestFor(donorPool, 4), requestFor(recipientPool, targetAboveFleet)}, map[string]Shortfall{donorPool: ShortfallNone, recipientPool: ShortfallNoDonor}},
		{"none releasable", 12, 0, false, false, []CapacityRequest{requestFor(donorPool, 4), requestFor(recipientPool, 8)}, map[string]Shortfall{donorPool: ShortfallNone, recipientPool: ShortfallNoneReleasable}},
		{"none movable", 12, 0, true, true, []CapacityRequest{requestFor(donorPool, 4), requestFor(recipientPool, 8)}, map[string]Shortfall{donorPool: ShortfallNone, recipientPool: ShortfallNoneMovable}},
		{"another one first", 4, 0, false, false, []CapacityRequest{requestFor(donorPool, 8), requestFor(recipientPool, 8), requestFor(thirdPool, 8)}, map[string]Shortfall{donorPool: ShortfallNotTried, recipientPool: ShortfallNotTried, thirdPool: ShortfallNoDonor}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newTestFleet(map[string]int{donorPool: test.donors, recipientPool: 4, offPool: test.spares})
			p := NewPlanner(testAway)
			if test.directive {
				p.directives = make(bbrmachine.Directives)
				for _, id := range f.ids {
					p.directives[id] = bbrmachine.Directive{}
				}
			}
			for i := range test.requests {
				if test.releases {
					test.requests[i].Releasable = f.upstreamsOf(test.requests[i].Pool)
				}
			}
			got := make(map[string]Shortfall)
			for pool, state := range f.statesOf(p, test.requests) {
				got[pool] = state.Shortfall
			}
			require.Equal(t, test.want, got)
		})
	}
}

// TestRoundCountsShortfalls checks that a round counts a partition that it leaves below its
// target size by the reason, and no others.
func TestRoundCountsShortfalls(t *testing.T) {
	now := time.Now()
	instances, reports := fleetWithOneRequestingPool(now)
	controller := newTestController(now, instances, reports)
	require.NoError(t, controller.round(t.Context(), now))
	controller.wg.Wait()
	families, err := controller.Metrics.Registry.Gather()
	require.NoError(t, err)
	counts := make(map[string]float64)
	for _, family := range families {
		if family.GetName() != "bbr_capacity_shortfalls_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			counts[metric.GetLabel()[0].GetValue()] = metric.GetCounter().GetValue()
		}
	}
	require.Equal(t, map[string]float64{string(ShortfallNoDonor): 1}, counts)
}
