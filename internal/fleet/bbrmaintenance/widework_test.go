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
	// capacity16 and capacity32 are the capacities of instances of 16 and of 32 cores.
	capacity16 = bbrwork.Resources{MilliCPU: 16000, MemoryMB: 65536}
	capacity32 = bbrwork.Resources{MilliCPU: 32000, MemoryMB: 65536}
)

func longRunningStep(count, milliCPU, memoryMB int) bbrwork.Step {
	return bbrwork.Step{Count: count, Need: bbrwork.Resources{MilliCPU: milliCPU, MemoryMB: memoryMB}, LongRunning: true}
}

func finiteStep(count, milliCPU, memoryMB int, estimate time.Duration) bbrwork.Step {
	return bbrwork.Step{Count: count, Need: bbrwork.Resources{MilliCPU: milliCPU, MemoryMB: memoryMB}, Estimate: estimate}
}

// precededByNarrow returns a step that fits beside long-running work, and the given step,
// which depends on it.
func precededByNarrow(second bbrwork.Step) []bbrwork.Step {
	second.DependsOn = []int{0}
	return []bbrwork.Step{finiteStep(4, 500, 500, time.Second), second}
}

// settlePeriod is the time after which all long-running work has started and pools no
// longer change.
const settlePeriod = 10 * time.Second

// crowdedPool describes a pool in which long-running work runs on every instance. It has
// more instances than its target, and there is free capacity in other pools.
type crowdedPool struct {
	name        string
	capacity    bbrwork.Resources
	longRunning bbrwork.Step
	sizes       map[string]int
}

// model returns a model of the pool in which the long-running work has started.
func (c crowdedPool) model(t *testing.T) *model {
	m := newModel(c.capacity, c.sizes)
	m.accept(recipientPool, c.longRunning)
	m.run(settlePeriod)
	require.Empty(t, m.violations, "long-running work alone")
	return m
}

var crowdedPools = []crowdedPool{
	{"memory nearly full", capacity16, longRunningStep(40, 9000, 50000), map[string]int{recipientPool: 40, donorPool: 4, offPool: 20}},
	{"memory half full", capacity16, longRunningStep(40, 9000, 30000), map[string]int{recipientPool: 40, donorPool: 4, offPool: 20}},
	{"capacity in another pool", capacity16, longRunningStep(40, 9000, 30000), map[string]int{recipientPool: 40, donorPool: 30}},
	{"two work units on some instances", capacity32, longRunningStep(34, 6470, 26206), map[string]int{recipientPool: 26, donorPool: 4, offPool: 20}},
}

// TestNarrowWorkStartsBesideLongRunningWork guards against work that waits after its owner
// was replaced, although it fits beside long-running work.
func TestNarrowWorkStartsBesideLongRunningWork(t *testing.T) {
	for _, c := range crowdedPools {
		t.Run(c.name, func(t *testing.T) {
			m := c.model(t)
			job := m.accept(recipientPool, precededByNarrow(finiteStep(40, 4000, 8000, time.Second))...)
			m.run(time.Second)
			m.replaceOwner(recipientPool)
			m.runUntil(func() bool { return m.state(job) != "" }, 20*time.Second)
			require.Empty(t, m.violations)
			require.Equal(t, bbrwork.Completed, m.state(job))
		})
	}
}

// TestWideWorkStartsBesideLongRunningWork guards against work units that fit only on an
// empty instance and wait because their pool already has more instances than its target.
func TestWideWorkStartsBesideLongRunningWork(t *testing.T) {
	const estimate = 1200 * time.Millisecond
	gang := finiteStep(3, 5850, 43120, estimate)
	gang.Gang = true
	jobs := map[string][]bbrwork.Step{
		"one step":     {finiteStep(4, 5850, 43120, estimate)},
		"a later step": precededByNarrow(finiteStep(5, 8750, 44032, estimate)),
		"a gang":       {gang},
	}
	for _, c := range crowdedPools {
		for name, steps := range jobs {
			t.Run(c.name+"/"+name, func(t *testing.T) {
				m := c.model(t)
				job := m.accept(recipientPool, steps...)
				m.runUntil(func() bool { return m.state(job) != "" }, 20*time.Second)
				require.Empty(t, m.violations)
				require.Equal(t, bbrwork.Completed, m.state(job))
			})
		}
	}
}

// TestWideLongRunningWorkStartsBesideLongRunningWork guards against the same for
// long-running work.
func TestWideLongRunningWorkStartsBesideLongRunningWork(t *testing.T) {
	for _, c := range crowdedPools {
		t.Run(c.name, func(t *testing.T) {
			m := c.model(t)
			m.accept(recipientPool, longRunningStep(4, 5850, 43120))
			m.run(10 * time.Second)
			require.Empty(t, m.violations)
		})
	}
}

// TestWideWorkReceivesInstancesOnce guards against ordering further instances for work
// whose instances are in transit, and against keeping them after the work is done.
func TestWideWorkReceivesInstancesOnce(t *testing.T) {
	const units, releaseTime = 5, 10 * time.Second
	for _, c := range crowdedPools {
		if c.sizes[offPool] == 0 {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			m := c.model(t)
			size, moves := m.upCount(recipientPool), m.moves[recipientPool]
			job := m.accept(recipientPool, finiteStep(units, 8750, 44032, 4*time.Second))
			m.runUntil(func() bool { return m.state(job) != "" }, 20*time.Second)
			require.Empty(t, m.violations)
			require.Equal(t, bbrwork.Completed, m.state(job))
			require.LessOrEqual(t, m.moves[recipientPool]-moves, units)
			m.run(releaseTime)
			require.Equal(t, size, m.upCount(recipientPool))
			require.LessOrEqual(t, m.moves[recipientPool]-moves, units)
		})
	}
}

// TestWorkStoppedForAMoveStartsAgain guards against a work unit that needs nearly a whole
// instance and is never started again after its instance was moved away.
func TestWorkStoppedForAMoveStartsAgain(t *testing.T) {
	for _, checkpoints := range []bool{false, true} {
		t.Run(fmt.Sprintf("checkpoints %v", checkpoints), func(t *testing.T) {
			m := newModel(capacity16, map[string]int{recipientPool: 13, donorPool: 4, offPool: 6})
			m.accept(recipientPool, longRunningStep(12, 3000, 8000))
			m.run(time.Second)
			step := finiteStep(1, 14000, 8000, 8*time.Second)
			step.Checkpoints = checkpoints
			job := m.accept(recipientPool, step)
			m.run(time.Second)
			wide := m.units[bbrwork.Unit{Job: job.ID}]
			require.NotNil(t, wide.instance)
			m.directives = bbrmachine.Directives{wide.instance.ID: {Pool: donorPool}}
			m.runUntil(func() bool { return m.state(job) != "" }, 30*time.Second)
			require.Empty(t, m.violations)
			require.Equal(t, bbrwork.Completed, m.state(job))
			require.Equal(t, 2, wide.starts)
		})
	}
}

// TestLongWorkCompletesInPoolWithSurplus guards against work that is stopped repeatedly
// because its instance is moved to the spare pool.
func TestLongWorkCompletesInPoolWithSurplus(t *testing.T) {
	m := newModel(capacity16, map[string]int{recipientPool: 12, donorPool: 4, offPool: 6})
	m.accept(recipientPool, longRunningStep(10, 3000, 8000))
	m.run(time.Second)
	job := m.accept(recipientPool, finiteStep(2, 14000, 8000, 10*time.Second))
	m.runUntil(func() bool { return m.state(job) != "" }, 30*time.Second)
	require.Empty(t, m.violations)
	require.Equal(t, bbrwork.Completed, m.state(job))
}

// TestInstancesInTransitAreNotOrderedAgain guards against serving the same request again in
// each round until the next list of instances.
func TestInstancesInTransitAreNotOrderedAgain(t *testing.T) {
	const units = 12
	m := newModel(capacity16, map[string]int{recipientPool: 4, donorPool: 4, offPool: 40})
	m.run(settlePeriod)
	m.accept(recipientPool, longRunningStep(units, 9000, 9000))
	m.run(settlePeriod)
	require.Empty(t, m.violations)
	require.LessOrEqual(t, m.moves[recipientPool], units)
	require.Zero(t, m.moves[offPool])
}
