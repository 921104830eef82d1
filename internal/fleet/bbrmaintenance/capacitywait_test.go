package bbrmaintenance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// spreadStep returns a step of long-running work units of which each upstream runs at most
// one.
func spreadStep(count, milliCPU, memoryMB int) bbrwork.Step {
	step := longRunningStep(count, milliCPU, memoryMB)
	step.Estimate, step.MaxPerUpstream = time.Second, 1
	return step
}

func gangStep(count, milliCPU, memoryMB int, estimate time.Duration) bbrwork.Step {
	step := finiteStep(count, milliCPU, memoryMB, estimate)
	step.Gang = true
	return step
}

// requireAllStarted checks that every work unit was started.
func requireAllStarted(t require.TestingT, m *model) {
	require.Empty(t, m.neverStarted(), "work units were not started, with %d instances in the spare pool", m.upCount(offPool))
	require.Empty(t, m.violations)
}

// TestGangReceivesUpstreamsForAllMembers guards against requesting fewer upstreams for a
// gang than it needs to start, beside long-running work and when it is late.
func TestGangReceivesUpstreamsForAllMembers(t *testing.T) {
	t.Run("beside long-running work", func(t *testing.T) {
		m := newModel(capacity16, map[string]int{recipientPool: 6, offPool: 40})
		m.accept(recipientPool, spreadStep(6, 500, 30000))
		m.run(5 * time.Second)
		m.accept(recipientPool, gangStep(8, 2000, 40000, time.Second))
		m.run(20 * time.Second)
		requireAllStarted(t, m)
	})
	t.Run("late", func(t *testing.T) {
		m := newModel(capacity16, map[string]int{recipientPool: 4, offPool: 40})
		m.accept(recipientPool, gangStep(12, 12000, 1000, 300*time.Millisecond))
		m.run(20 * time.Second)
		requireAllStarted(t, m)
	})
}

// TestLabelledWorkReceivesInstanceWithLabel guards against work that waits although
// instances with its label are in the spare pool.
func TestLabelledWorkReceivesInstanceWithLabel(t *testing.T) {
	t.Run("no capacity beside long-running work", func(t *testing.T) {
		m := newModel(capacity16, map[string]int{recipientPool: 8, offPool: 20})
		for i, id := range m.ids {
			m.instances[id].Labels = []string{[]string{"a", "b"}[i%2], "rack-" + string(rune('a'+i/8))}
		}
		longRunning := spreadStep(4, 500, 40000)
		longRunning.Label = "b"
		m.accept(recipientPool, longRunning)
		m.run(5 * time.Second)
		require.Empty(t, m.neverStarted())
		wide := finiteStep(2, 5000, 43000, time.Second)
		wide.Label = "b"
		m.accept(recipientPool, wide)
		m.run(20 * time.Second)
		requireAllStarted(t, m)
	})
	t.Run("all labelled instances released", func(t *testing.T) {
		m := newModel(capacity16, map[string]int{recipientPool: 6, offPool: 6})
		for i, id := range m.ids {
			m.instances[id].Labels = []string{"a", "rack-a"}
			if m.instances[id].Pool == recipientPool && i%6 < 2 {
				m.instances[id].Labels[0] = "b"
			}
		}
		m.run(8 * time.Second)
		small := finiteStep(1, 500, 500, time.Second)
		small.Label = "b"
		m.accept(recipientPool, small)
		m.run(20 * time.Second)
		requireAllStarted(t, m)
	})
}

// TestSpreadLongRunningWorkReceivesInstances guards against requesting too few upstreams
// for spread long-running work: because of its memory, or of its number of work units.
func TestSpreadLongRunningWorkReceivesInstances(t *testing.T) {
	t.Run("memory", func(t *testing.T) {
		m := newModel(capacity16, map[string]int{recipientPool: 12, offPool: 40})
		for range 3 {
			m.accept(recipientPool, spreadStep(8, 500, 37000))
		}
		m.run(20 * time.Second)
		requireAllStarted(t, m)
	})
	t.Run("number of work units", func(t *testing.T) {
		m := newModel(capacity16, map[string]int{recipientPool: 4, offPool: 40})
		m.accept(recipientPool, spreadStep(24, 500, 12000))
		m.run(20 * time.Second)
		requireAllStarted(t, m)
	})
}

// TestSmallLongRunningWorkLeavesInstancesToRelease guards against small long-running work
// that fits on a few upstreams but is spread over a whole pool, which then releases none.
func TestSmallLongRunningWorkLeavesInstancesToRelease(t *testing.T) {
	m := newModel(capacity16, map[string]int{recipientPool: 30, offPool: 1})
	for range 10 {
		m.accept(recipientPool, spreadStep(3, 500, 2000))
	}
	m.run(20 * time.Second)
	requireAllStarted(t, m)
	require.Greater(t, m.upCount(offPool), 15, "3 upstreams and the reserve would suffice")
}

// TestLargeWorkIsNotStarvedBySmall guards against work that needs most of an upstream, or
// most of a pool that can grow, and waits for as long as small work arrives.
func TestLargeWorkIsNotStarvedBySmall(t *testing.T) {
	t.Run("one work unit", func(t *testing.T) {
		runBesideSmallWork(t, 0, finiteStep(1, 14000, 1000, 700*time.Millisecond))
	})
	t.Run("a gang", func(t *testing.T) {
		runBesideSmallWork(t, 10, gangStep(5, 14000, 1000, 700*time.Millisecond))
	})
}

// runBesideSmallWork runs the step beside a stream of small work units that fill almost
// half of a pool of 6 instances, with the number of spare instances.
func runBesideSmallWork(t *testing.T, spares int, step bbrwork.Step) {
	m := newModel(capacity16, map[string]int{recipientPool: 6, offPool: spares})
	for i := range 200 {
		if i%2 == 0 {
			m.accept(recipientPool, finiteStep(4, 3000, 1000, 700*time.Millisecond))
		}
		if i == 20 {
			m.accept(recipientPool, step)
		}
		m.run(testStep)
	}
	m.run(time.Second)
	requireAllStarted(t, m)
}
