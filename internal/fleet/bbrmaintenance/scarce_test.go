package bbrmaintenance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// playTurn lets two pools of 20 instances each compete, where calm asks for more
// than there is and pressed then begins to, and returns how many each has at
// the end.
func playTurn(f *testFleet, needs func() []CapacityRequest) (calmSize, pressedSize int) {
	p := NewPlanner(testAway)
	for end := f.now.Add(20 * time.Second); f.now.Before(end); {
		list := needs()
		for i := range list {
			list[i].Releasable = f.lives(list[i].Pool)
		}
		f.step(p, list, always, f.carryOut)
	}
	return len(f.lives(calm)), len(f.lives(pressed))
}

// TestScarceInstancesAreShared holds that of two pools that want more than there
// is, none is left with a few, and that instances do not go to and fro.
func TestScarceInstancesAreShared(t *testing.T) {
	f := newTestFleet(map[string]int{calm: 36, pressed: 4})
	calmSize, pressedSize := playTurn(f, func() []CapacityRequest { return []CapacityRequest{ask(calm, 40), ask(pressed, 40)} })
	require.GreaterOrEqual(t, pressedSize, 13)
	require.GreaterOrEqual(t, calmSize, 20)
	moves := 0
	for _, instance := range f.instances {
		moves += instance.lives
	}
	require.LessOrEqual(t, moves, 10)
}

// TestLastingWorkKeepsItsInstances holds that what a pool keeps for lasting work
// is never taken.
func TestLastingWorkKeepsItsInstances(t *testing.T) {
	f := newTestFleet(map[string]int{calm: 20, pressed: 4})
	keeping := ask(calm, 10)
	keeping.MinInstances = 12
	calmSize, _ := playTurn(f, func() []CapacityRequest { return []CapacityRequest{keeping, ask(pressed, 100)} })
	require.Equal(t, 12+reserveInstances, calmSize)
}

// TestLastingWorkComesFirst holds that a pool gets the instances of its lasting
// work also from one that needs them for other work.
func TestLastingWorkComesFirst(t *testing.T) {
	f := newTestFleet(map[string]int{calm: 30, pressed: 2})
	lasting := ask(pressed, 8)
	lasting.LongRunningMilliCPU = lasting.MilliCPU
	_, pressedSize := playTurn(f, func() []CapacityRequest { return []CapacityRequest{ask(calm, 100), lasting} })
	require.GreaterOrEqual(t, pressedSize, 8)
}

// TestLargeWorkGetsInstances holds that instances for large work units come
// before those for other work.
func TestLargeWorkGetsInstances(t *testing.T) {
	f := newTestFleet(map[string]int{calm: 30, pressed: 4})
	large := ask(pressed, 1)
	large.Exclusive, large.Occupied = 2, reserveInstances
	_, pressedSize := playTurn(f, func() []CapacityRequest { return []CapacityRequest{ask(calm, 100), large} })
	require.GreaterOrEqual(t, pressedSize, reserveInstances+2)
}

// TestInstancesThatAreOffAreOrderedOnce guards against ordering as many again in
// each round until a list shows that the first are on their way.
func TestInstancesThatAreOffAreOrderedOnce(t *testing.T) {
	f := newTestFleet(map[string]int{off: 20, pressed: 4})
	for _, id := range f.ids {
		if instance := f.instances[id]; instance.Pool == off {
			instance.Upstream = ""
		}
	}
	p := NewPlanner(testAway)
	p.UpdateInstances(f.list(), f.now)
	f.now = f.now.Add(2 * settlingTime)
	p.UpdateInstances(f.list(), f.now)
	for range 4 {
		f.now = f.now.Add(testStep)
		p.Balance([]CapacityRequest{ask(pressed, 8)}, off, func(life string) bool { return life != "" }, f.now)
	}
	require.Len(t, p.tasks, 4)
}
