package bbrmaintenance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// spreadStep returns a step of lasting work units that run one to an upstream.
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

// requireAllStarted holds that every work unit was started some time.
func requireAllStarted(t require.TestingT, m *model) {
	require.Empty(t, m.neverStarted(), "waiting, with %d instances in the spare pool", m.upCount(offPool))
	require.Empty(t, m.violations)
}

// TestGangReceivesUpstreamsForAllMembers guards against a gang that asks for fewer
// upstreams than it needs to begin: beside lasting work, and where it is late.
func TestGangReceivesUpstreamsForAllMembers(t *testing.T) {
	t.Run("beside lasting work", func(t *testing.T) {
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

// TestLabelledWorkReceivesInstanceWithLabel guards against work that waits while
// instances with its label are spare.
func TestLabelledWorkReceivesInstanceWithLabel(t *testing.T) {
	t.Run("no room beside lasting work", func(t *testing.T) {
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
	t.Run("all given away", func(t *testing.T) {
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

// TestSpreadLongRunningWorkReceivesInstances guards against counting too few upstreams for
// lasting work that is spread, by its memory and by its width.
func TestSpreadLongRunningWorkReceivesInstances(t *testing.T) {
	t.Run("memory", func(t *testing.T) {
		m := newModel(capacity16, map[string]int{recipientPool: 12, offPool: 40})
		for range 3 {
			m.accept(recipientPool, spreadStep(8, 500, 37000))
		}
		m.run(20 * time.Second)
		requireAllStarted(t, m)
	})
	t.Run("width", func(t *testing.T) {
		m := newModel(capacity16, map[string]int{recipientPool: 4, offPool: 40})
		m.accept(recipientPool, spreadStep(24, 500, 12000))
		m.run(20 * time.Second)
		requireAllStarted(t, m)
	})
}

// TestSmallLongRunningWorkLeavesInstancesToRelease guards against lasting work which fits on
// a few upstreams and keeps a whole pool.
func TestSmallLongRunningWorkLeavesInstancesToRelease(t *testing.T) {
	m := newModel(capacity16, map[string]int{recipientPool: 30, offPool: 1})
	for range 10 {
		m.accept(recipientPool, spreadStep(3, 500, 2000))
	}
	m.run(20 * time.Second)
	requireAllStarted(t, m)
	require.Greater(t, m.upCount(offPool), 15, "3 upstreams and the reserve would do")
}

// TestLargeWorkIsNotStarvedBySmall guards against work that needs most of an
// upstream, or of a pool that can grow, and waits for as long as small work comes.
func TestLargeWorkIsNotStarvedBySmall(t *testing.T) {
	t.Run("one", func(t *testing.T) {
		runBesideSmallWork(t, 0, finiteStep(1, 14000, 1000, 700*time.Millisecond))
	})
	t.Run("a gang", func(t *testing.T) {
		runBesideSmallWork(t, 10, gangStep(5, 14000, 1000, 700*time.Millisecond))
	})
}

// runBesideSmallWork plays the step beside a stream of small work units that
// fill almost half of a pool of 6, with so many spare instances.
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
