package bbrowner

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

func cellsFinite(count int, estimate time.Duration) bbrwork.Step {
	return bbrwork.Step{Count: count, Need: bbrwork.Resources{MilliCPU: cellsUnitCores, MemoryMB: 1000}, Estimate: estimate}
}

// TestWorkReachesRoomInOtherCells guards against work that waits in a full cell while its pool
// has free upstreams in another one: callers saw jobs of which nothing ran for as long as the
// cell was full.
func TestWorkReachesRoomInOtherCells(t *testing.T) {
	for _, test := range []struct {
		name  string
		sizes []int
		fill  func(m *cellsModel)
	}{
		{name: "finite work", sizes: []int{1, 12}, fill: func(m *cellsModel) {
			for range 20 {
				m.accept(0, cellsFinite(1, 20*time.Second))
			}
		}},
		{name: "no upstream", sizes: []int{0, 4, 4}, fill: func(m *cellsModel) {
			for range 8 {
				m.accept(0, cellsFinite(2, 20*time.Second))
			}
		}},
		{name: "behind long-running work", sizes: []int{2, 8}, fill: func(m *cellsModel) {
			service := cellsFinite(4, 0)
			service.LongRunning = true
			m.accept(0, service)
			m.run(time.Second)
			m.accept(0, service)
			for range 6 {
				m.accept(0, cellsFinite(1, 5*time.Second))
			}
		}},
		{name: "a gang", sizes: []int{1, 3}, fill: func(m *cellsModel) {
			gang := cellsFinite(5, 5*time.Second)
			gang.Gang = true
			m.accept(0, gang)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newCellsModel(1, test.sizes...)
				m.run(2 * time.Second)
				test.fill(m)
				m.run(10 * time.Second)
				require.Empty(t, m.violations)
				require.NotZero(t, m.moved)
			})
		})
	}
}

// TestLongRunningWorkGoesWhereSomeOfItFits guards against long-running work of which nothing
// runs since no cell has capacity for all of it.
func TestLongRunningWorkGoesWhereSomeOfItFits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newCellsModel(1, 1, 3)
		m.run(2 * time.Second)
		service := cellsFinite(2, 0)
		service.LongRunning = true
		m.accept(0, service)
		m.run(time.Second)
		service.Count = 8
		waiting := m.accept(0, service)
		m.run(2 * time.Second)
		require.Equal(t, 8, m.waitingUnits(waiting), "capacity for all of it may come")
		m.run(3 * time.Second)
		require.Equal(t, 2, m.waitingUnits(waiting))
		require.Empty(t, m.violations)
	})
}

// TestTransfersUnderFailures checks that a job is in exactly one shard, runs at most once at a
// time and is neither lost nor resurrected, while owners are replaced, answers of the store are
// lost and jobs are cancelled, and that what fits in the pool starts in time afterwards.
func TestTransfersUnderFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(0, 6), 2, 4).Draw(rt, "sizes")
		sizes[0] = max(1, sizes[0])
		seed := rapid.Uint64().Draw(rt, "seed")
		faults := rapid.SampledFrom([]int{0, 10, 40}).Draw(rt, "faults")
		var violations []string
		synctest.Test(t, func(*testing.T) {
			m := newCellsModel(seed, sizes...)
			m.run(1500 * time.Millisecond)
			m.faults = faults
			for range 12 {
				m.act(len(sizes))
				m.run(time.Duration(m.random.IntN(20)) * cellsStep)
			}
			if m.faults > 0 {
				// Until then, upstreams are cut off, and work of earlier owners is not located.
				m.waitsCountFrom = time.Now().Add(20 * time.Second)
			}
			m.faults, m.failing = 0, false
			m.settle()
			violations = m.violations
		})
		require.Empty(rt, violations)
	})
}

// act carries out a random action.
func (m *cellsModel) act(cells int) {
	cell := m.random.IntN(cells)
	switch m.random.IntN(6) {
	case 0, 1:
		for range 1 + m.random.IntN(8) {
			m.accept(cell, cellsFinite(1+m.random.IntN(3), time.Duration(1+m.random.IntN(5))*time.Second))
		}
	case 2:
		second := cellsFinite(1+m.random.IntN(3), time.Second)
		second.DependsOn = []int{0}
		m.accept(cell, cellsFinite(1, time.Second), second)
	case 3:
		// Half of the capacity remains for finite work, which has to end.
		if m.longRunning < len(m.ups) {
			m.longRunning++
			service := cellsFinite(1, 0)
			service.LongRunning = true
			m.accept(cell, service)
		}
	case 4:
		if m.faults > 0 {
			for _, up := range m.ups {
				if up.cell == cell && m.random.IntN(3) == 0 {
					up.cutUntil = time.Now().Add(time.Duration(m.random.IntN(8)) * time.Second)
				}
			}
			m.takeOver(cell)
		}
	case 5:
		for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
			if m.random.IntN(4) == 0 {
				m.cancel(m.jobs[id])
			}
		}
	}
}

// settle runs the model until the finite work has ended, and records what has not.
func (m *cellsModel) settle() {
	m.late = nil
	for end := time.Now().Add(15 * time.Minute); time.Now().Before(end) && m.finiteLeft(); {
		m.step()
	}
	for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
		j := m.jobs[id]
		if j.ended != "" || j.job.LongRunning() {
			continue
		}
		m.violate("LOST: %s has not ended", id)
	}
}

// finiteLeft reports whether a job without long-running work has not ended.
func (m *cellsModel) finiteLeft() bool {
	for _, j := range m.jobs {
		if j.ended == "" && !j.job.LongRunning() {
			return true
		}
	}
	return false
}
