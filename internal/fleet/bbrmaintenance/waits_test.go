package bbrmaintenance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// spread returns a step of lasting work units that run one to an upstream.
func spread(count, milliCPU, memoryMB int) bbrwork.Step {
	step := lastingStep(count, milliCPU, memoryMB)
	step.Estimate, step.MaxPerUpstream = time.Second, 1
	return step
}

func gangStep(count, milliCPU, memoryMB int, estimate time.Duration) bbrwork.Step {
	step := endingStep(count, milliCPU, memoryMB, estimate)
	step.Gang = true
	return step
}

// requireBegun holds that every work unit was started some time.
func requireBegun(t require.TestingT, m *model) {
	require.Empty(t, m.unbegun(), "waiting, with %d instances in the spare pool", m.size(off))
	require.Empty(t, m.faults)
}

// TestGangGetsTheUpstreamsOfAllItsMembers guards against a gang that asks for fewer
// upstreams than it needs to begin: beside lasting work, and where it is late.
func TestGangGetsTheUpstreamsOfAllItsMembers(t *testing.T) {
	t.Run("beside lasting work", func(t *testing.T) {
		m := newModel(room16, map[string]int{pressed: 6, off: 40})
		m.accept(pressed, spread(6, 500, 30000))
		m.run(5 * time.Second)
		m.accept(pressed, gangStep(8, 2000, 40000, time.Second))
		m.run(20 * time.Second)
		requireBegun(t, m)
	})
	t.Run("late", func(t *testing.T) {
		m := newModel(room16, map[string]int{pressed: 4, off: 40})
		m.accept(pressed, gangStep(12, 12000, 1000, 300*time.Millisecond))
		m.run(20 * time.Second)
		requireBegun(t, m)
	})
}

// TestWorkWithALabelGetsAnInstanceThatHasIt guards against work that waits while
// instances with its label are spare.
func TestWorkWithALabelGetsAnInstanceThatHasIt(t *testing.T) {
	t.Run("no room beside lasting work", func(t *testing.T) {
		m := newModel(room16, map[string]int{pressed: 8, off: 20})
		for i, id := range m.ids {
			m.instances[id].Labels = []string{[]string{"a", "b"}[i%2], "rack-" + string(rune('a'+i/8))}
		}
		lasting := spread(4, 500, 40000)
		lasting.Label = "b"
		m.accept(pressed, lasting)
		m.run(5 * time.Second)
		require.Empty(t, m.unbegun())
		wide := endingStep(2, 5000, 43000, time.Second)
		wide.Label = "b"
		m.accept(pressed, wide)
		m.run(20 * time.Second)
		requireBegun(t, m)
	})
	t.Run("all given away", func(t *testing.T) {
		m := newModel(room16, map[string]int{pressed: 6, off: 6})
		for i, id := range m.ids {
			m.instances[id].Labels = []string{"a", "rack-a"}
			if m.instances[id].Pool == pressed && i%6 < 2 {
				m.instances[id].Labels[0] = "b"
			}
		}
		m.run(8 * time.Second)
		small := endingStep(1, 500, 500, time.Second)
		small.Label = "b"
		m.accept(pressed, small)
		m.run(20 * time.Second)
		requireBegun(t, m)
	})
}

// TestSpreadLastingWorkGetsInstances guards against counting too few upstreams for
// lasting work that is spread, by its memory and by its width.
func TestSpreadLastingWorkGetsInstances(t *testing.T) {
	t.Run("memory", func(t *testing.T) {
		m := newModel(room16, map[string]int{pressed: 12, off: 40})
		for range 3 {
			m.accept(pressed, spread(8, 500, 37000))
		}
		m.run(20 * time.Second)
		requireBegun(t, m)
	})
	t.Run("width", func(t *testing.T) {
		m := newModel(room16, map[string]int{pressed: 4, off: 40})
		m.accept(pressed, spread(24, 500, 12000))
		m.run(20 * time.Second)
		requireBegun(t, m)
	})
}

// TestThinLastingWorkLeavesInstancesToGive guards against lasting work which fits on
// a few upstreams and keeps a whole pool.
func TestThinLastingWorkLeavesInstancesToGive(t *testing.T) {
	m := newModel(room16, map[string]int{pressed: 30, off: 1})
	for range 10 {
		m.accept(pressed, spread(3, 500, 2000))
	}
	m.run(20 * time.Second)
	requireBegun(t, m)
	require.Greater(t, m.size(off), 15, "3 upstreams and the reserve would do")
}

// TestLargeWorkIsNotStarvedBySmall guards against work that needs most of an
// upstream, or of a pool that can grow, and waits for as long as small work comes.
func TestLargeWorkIsNotStarvedBySmall(t *testing.T) {
	t.Run("one", func(t *testing.T) {
		playBesideSmallWork(t, 0, endingStep(1, 14000, 1000, 700*time.Millisecond))
	})
	t.Run("a gang", func(t *testing.T) {
		playBesideSmallWork(t, 10, gangStep(5, 14000, 1000, 700*time.Millisecond))
	})
}

// playBesideSmallWork plays the step beside a stream of small work units that
// fill almost half of a pool of 6, with so many spare instances.
func playBesideSmallWork(t *testing.T, spares int, step bbrwork.Step) {
	m := newModel(room16, map[string]int{pressed: 6, off: spares})
	for i := range 200 {
		if i%2 == 0 {
			m.accept(pressed, endingStep(4, 3000, 1000, 700*time.Millisecond))
		}
		if i == 20 {
			m.accept(pressed, step)
		}
		m.run(testStep)
	}
	m.run(time.Second)
	requireBegun(t, m)
}
