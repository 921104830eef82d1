package bbrmaintenance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runContention runs a fleet of two pools that compete for instances for 20 s, and returns
// their sizes at the end.
func runContention(f *testFleet, requests func() []CapacityRequest) (donorSize, recipientSize int) {
	p := NewPlanner(testAway)
	for end := f.now.Add(20 * time.Second); f.now.Before(end); {
		list := requests()
		for i := range list {
			list[i].Releasable = f.upstreamsOf(list[i].Pool)
		}
		f.step(p, list, alwaysDrained, f.execute)
	}
	return len(f.upstreamsOf(donorPool)), len(f.upstreamsOf(recipientPool))
}

// TestScarceInstancesAreShared checks that of two pools whose targets exceed the fleet
// none is left with only a few instances, and that instances do not move back and forth.
func TestScarceInstancesAreShared(t *testing.T) {
	f := newTestFleet(map[string]int{donorPool: 36, recipientPool: 4})
	donorSize, recipientSize := runContention(f, func() []CapacityRequest {
		return []CapacityRequest{requestFor(donorPool, 40), requestFor(recipientPool, 40)}
	})
	require.GreaterOrEqual(t, recipientSize, 13)
	require.GreaterOrEqual(t, donorSize, 20)
	moves := 0
	for _, instance := range f.instances {
		moves += instance.incarnations
	}
	require.LessOrEqual(t, moves, 10)
}

// TestLongRunningWorkKeepsItsInstances checks that the instances that a pool needs for
// long-running work, and its reserve, are never released.
func TestLongRunningWorkKeepsItsInstances(t *testing.T) {
	f := newTestFleet(map[string]int{donorPool: 20, recipientPool: 4})
	request := requestFor(donorPool, 10)
	request.MinInstances = 12
	donorSize, _ := runContention(f, func() []CapacityRequest { return []CapacityRequest{request, requestFor(recipientPool, 100)} })
	require.Equal(t, 12+reserveInstances, donorSize)
}

// TestLongRunningWorkHasPriority checks that a pool receives the instances for its
// long-running work even from a pool that needs them for other work.
func TestLongRunningWorkHasPriority(t *testing.T) {
	f := newTestFleet(map[string]int{donorPool: 30, recipientPool: 2})
	longRunning := requestFor(recipientPool, 8)
	longRunning.LongRunningMilliCPU = longRunning.MilliCPU
	_, recipientSize := runContention(f, func() []CapacityRequest { return []CapacityRequest{requestFor(donorPool, 100), longRunning} })
	require.GreaterOrEqual(t, recipientSize, 8)
}

// TestHeldRateTakesNoInstancesFromOtherWork guards against late work that gets more of a fleet
// that is too small because more was requested for it before.
func TestHeldRateTakesNoInstancesFromOtherWork(t *testing.T) {
	for _, sizes := range []map[string]int{{donorPool: 36, recipientPool: 4}, {donorPool: 4, recipientPool: 36}} {
		run := func(held int) (donorSize, recipientSize int) {
			return runContention(newTestFleet(sizes), func() []CapacityRequest {
				late := requestFor(donorPool, 12+held)
				late.HeldMilliCPU = late.MilliCPU - requestFor(donorPool, 12).MilliCPU
				return []CapacityRequest{late, requestFor(recipientPool, 40)}
			})
		}
		donorSize, recipientSize := run(0)
		heldDonorSize, heldRecipientSize := run(100)
		require.Equal(t, recipientSize, heldRecipientSize)
		require.Equal(t, donorSize, heldDonorSize)
	}
}

// TestWideWorkReceivesInstances checks that instances for wide work units come before those
// for other work.
func TestWideWorkReceivesInstances(t *testing.T) {
	f := newTestFleet(map[string]int{donorPool: 30, recipientPool: 4})
	wide := requestFor(recipientPool, 1)
	wide.Exclusive, wide.Occupied = 2, reserveInstances
	_, recipientSize := runContention(f, func() []CapacityRequest { return []CapacityRequest{requestFor(donorPool, 100), wide} })
	require.GreaterOrEqual(t, recipientSize, reserveInstances+2)
}

// TestSpareInstancesAreOrderedOnce guards against ordering the same number of instances
// again in each round until a list shows that the first are in transit.
func TestSpareInstancesAreOrderedOnce(t *testing.T) {
	f := newTestFleet(map[string]int{offPool: 20, recipientPool: 4})
	for _, id := range f.ids {
		if instance := f.instances[id]; instance.Pool == offPool {
			instance.Upstream = ""
		}
	}
	p := NewPlanner(testAway)
	p.UpdateInstances(f.list(), f.now)
	f.now = f.now.Add(2 * settlingTime)
	p.UpdateInstances(f.list(), f.now)
	for range 4 {
		f.now = f.now.Add(testStep)
		p.Balance([]CapacityRequest{requestFor(recipientPool, 8)}, offPool, func(upstream string) bool { return upstream != "" }, f.now)
	}
	require.Len(t, p.tasks, 4)
}
