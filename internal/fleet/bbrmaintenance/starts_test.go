package bbrmaintenance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

var (
	// room16 and room32 are instances of 16 and of 32 cores.
	room16 = bbrwork.Resources{MilliCPU: 16000, MemoryMB: 65536}
	room32 = bbrwork.Resources{MilliCPU: 32000, MemoryMB: 65536}
)

func lastingStep(count, milliCPU, memoryMB int) bbrwork.Step {
	return bbrwork.Step{Count: count, Need: bbrwork.Resources{MilliCPU: milliCPU, MemoryMB: memoryMB}, LongRunning: true}
}

func endingStep(count, milliCPU, memoryMB int, estimate time.Duration) bbrwork.Step {
	return bbrwork.Step{Count: count, Need: bbrwork.Resources{MilliCPU: milliCPU, MemoryMB: memoryMB}, Estimate: estimate}
}

// narrowThen returns a step that fits beside lasting work and one that follows
// it.
func narrowThen(second bbrwork.Step) []bbrwork.Step {
	second.DependsOn = []int{0}
	return []bbrwork.Step{endingStep(4, 500, 500, time.Second), second}
}

// settle is how long lasting work, and the pools for it, have to come to rest.
const settle = 10 * time.Second

// crowded is a pool on all of whose instances lasting work runs, so that it has
// more instances than it wants, and room elsewhere.
type crowded struct {
	name    string
	room    bbrwork.Resources
	lasting bbrwork.Step
	sizes   map[string]int
}

func (c crowded) model(t *testing.T) *model {
	m := newModel(c.room, c.sizes)
	m.accept(pressed, c.lasting)
	m.run(settle)
	require.Empty(t, m.faults, "lasting work alone")
	return m
}

var crowdedPools = []crowded{
	{"memory nearly full", room16, lastingStep(40, 9000, 50000), map[string]int{pressed: 40, calm: 4, off: 20}},
	{"memory half full", room16, lastingStep(40, 9000, 30000), map[string]int{pressed: 40, calm: 4, off: 20}},
	{"room in another pool", room16, lastingStep(40, 9000, 30000), map[string]int{pressed: 40, calm: 30}},
	{"two to some", room32, lastingStep(34, 6470, 26206), map[string]int{pressed: 26, calm: 4, off: 20}},
}

// TestNarrowWorkStartsBesideLastingWork guards against work that waits after its
// owner was replaced, where there is room beside lasting work.
func TestNarrowWorkStartsBesideLastingWork(t *testing.T) {
	for _, c := range crowdedPools {
		t.Run(c.name, func(t *testing.T) {
			m := c.model(t)
			job := m.accept(pressed, narrowThen(endingStep(40, 4000, 8000, time.Second))...)
			m.run(time.Second)
			m.takeOver(pressed)
			m.runUntil(func() bool { return m.state(job) != "" }, 20*time.Second)
			require.Empty(t, m.faults)
			require.Equal(t, bbrwork.Completed, m.state(job))
		})
	}
}

// TestWideWorkStartsBesideLastingWork guards against work units that fit on an
// empty instance and wait while their pool has more instances than it wants.
func TestWideWorkStartsBesideLastingWork(t *testing.T) {
	const estimate = 1200 * time.Millisecond
	gang := endingStep(3, 5850, 43120, estimate)
	gang.Gang = true
	jobs := map[string][]bbrwork.Step{
		"one step":     {endingStep(4, 5850, 43120, estimate)},
		"a later step": narrowThen(endingStep(5, 8750, 44032, estimate)),
		"a gang":       {gang},
	}
	for _, c := range crowdedPools {
		for name, steps := range jobs {
			t.Run(c.name+"/"+name, func(t *testing.T) {
				m := c.model(t)
				job := m.accept(pressed, steps...)
				m.runUntil(func() bool { return m.state(job) != "" }, 20*time.Second)
				require.Empty(t, m.faults)
				require.Equal(t, bbrwork.Completed, m.state(job))
			})
		}
	}
}

// TestWideLastingWorkStartsBesideLastingWork guards against the same for work
// that lasts.
func TestWideLastingWorkStartsBesideLastingWork(t *testing.T) {
	for _, c := range crowdedPools {
		t.Run(c.name, func(t *testing.T) {
			m := c.model(t)
			m.accept(pressed, lastingStep(4, 5850, 43120))
			m.run(10 * time.Second)
			require.Empty(t, m.faults)
		})
	}
}

// TestWideWorkIsGivenInstancesOnce guards against instances that are ordered
// again for work whose instances are on their way, and against keeping them.
func TestWideWorkIsGivenInstancesOnce(t *testing.T) {
	const units, goneAgain = 5, 10 * time.Second
	for _, c := range crowdedPools {
		if c.sizes[off] == 0 {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			m := c.model(t)
			size, moves := m.size(pressed), m.moves[pressed]
			job := m.accept(pressed, endingStep(units, 8750, 44032, 4*time.Second))
			m.runUntil(func() bool { return m.state(job) != "" }, 20*time.Second)
			require.Empty(t, m.faults)
			require.Equal(t, bbrwork.Completed, m.state(job))
			require.LessOrEqual(t, m.moves[pressed]-moves, units)
			m.run(goneAgain)
			require.Equal(t, size, m.size(pressed))
			require.LessOrEqual(t, m.moves[pressed]-moves, units)
		})
	}
}

// TestWorkStoppedForAMoveStartsAgain guards against a work unit of nearly a whole
// instance that waits for good after its instance was moved away.
func TestWorkStoppedForAMoveStartsAgain(t *testing.T) {
	for _, checkpoints := range []bool{false, true} {
		t.Run(fmt.Sprintf("checkpoints %v", checkpoints), func(t *testing.T) {
			m := newModel(room16, map[string]int{pressed: 13, calm: 4, off: 6})
			m.accept(pressed, lastingStep(12, 3000, 8000))
			m.run(time.Second)
			step := endingStep(1, 14000, 8000, 8*time.Second)
			step.Checkpoints = checkpoints
			job := m.accept(pressed, step)
			m.run(time.Second)
			wide := m.units[bbrwork.Unit{Job: job.ID}]
			require.NotNil(t, wide.on)
			m.directives = bbrmachine.Directives{wide.on.ID: {Pool: calm}}
			m.runUntil(func() bool { return m.state(job) != "" }, 30*time.Second)
			require.Empty(t, m.faults)
			require.Equal(t, bbrwork.Completed, m.state(job))
			require.Equal(t, 2, wide.starts)
		})
	}
}

// TestLongWorkEndsInAPoolWithTooMany guards against work that is stopped again and
// again since its instance goes to the spare pool.
func TestLongWorkEndsInAPoolWithTooMany(t *testing.T) {
	m := newModel(room16, map[string]int{pressed: 12, calm: 4, off: 6})
	m.accept(pressed, lastingStep(10, 3000, 8000))
	m.run(time.Second)
	job := m.accept(pressed, endingStep(2, 14000, 8000, 10*time.Second))
	m.runUntil(func() bool { return m.state(job) != "" }, 30*time.Second)
	require.Empty(t, m.faults)
	require.Equal(t, bbrwork.Completed, m.state(job))
}

// TestInstancesOnTheirWayAreNotOrderedAgain guards against a need that is answered
// anew in each round until the next list of instances.
func TestInstancesOnTheirWayAreNotOrderedAgain(t *testing.T) {
	const units = 12
	m := newModel(room16, map[string]int{pressed: 4, calm: 4, off: 40})
	m.run(settle)
	m.accept(pressed, lastingStep(units, 9000, 9000))
	m.run(settle)
	require.Empty(t, m.faults)
	require.LessOrEqual(t, m.moves[pressed], units)
	require.Zero(t, m.moves[off])
}
