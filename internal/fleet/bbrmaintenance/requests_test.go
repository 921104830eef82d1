package bbrmaintenance

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// wideWorkAfterOwnerReplaced returns a model just after the owner of a pool was replaced. A
// work unit that fits only on an empty instance runs on the one instance without
// long-running work. Another instance is unreachable, so that the successor cannot yet
// locate all earlier work.
func wideWorkAfterOwnerReplaced(t *testing.T) (*model, *modelUnit) {
	m := newModel(capacity16, map[string]int{recipientPool: 13, donorPool: 4})
	m.accept(recipientPool, longRunningStep(12, 3000, 30000))
	m.run(time.Second)
	job := m.accept(recipientPool, finiteStep(1, 14000, 8000, 8*time.Second))
	m.run(time.Second)
	wide := m.units[bbrwork.Unit{Job: job.ID}]
	require.NotNil(t, wide.instance)
	require.Empty(t, m.violations)
	other := slices.IndexFunc(m.ids, func(id string) bool {
		return m.instances[id] != wide.instance && m.instances[id].Pool == recipientPool
	})
	m.instances[m.ids[other]].unreachableUntil = m.now.Add(3 * time.Second)
	m.replaceOwner(recipientPool)
	return m, wide
}

// TestSuccessorDoesNotOfferUpstreamOfWideWork guards against a successor that offers an
// upstream before it has located all earlier work, although work runs there that fits
// nowhere else.
func TestSuccessorDoesNotOfferUpstreamOfWideWork(t *testing.T) {
	m, wide := wideWorkAfterOwnerReplaced(t)
	replacedAt, scheduler := m.now, m.owners[recipientPool].scheduler
	m.runUntil(func() bool {
		return wide.instance == nil || slices.Contains(scheduler.Demand(m.now).Releasable, wide.instance.Upstream)
	}, 5*time.Second)
	require.NotNil(t, wide.instance)
	require.NotContains(t, scheduler.Demand(m.now).Releasable, wide.instance.Upstream, "%v after the owner was replaced; earlier work located: %v", m.now.Sub(replacedAt), scheduler.EarlierWorkLocated(m.now))
}

// TestSuccessorDoesNotStopWideWorkForMove guards against work that is stopped because its
// upstream was offered in this way, also when another pool's burst of demand acquires it.
func TestSuccessorDoesNotStopWideWorkForMove(t *testing.T) {
	for name, units := range map[string]int{"alone": 0, "beside another pool's burst": 40} {
		t.Run(name, func(t *testing.T) {
			m, wide := wideWorkAfterOwnerReplaced(t)
			if units > 0 {
				m.accept(donorPool, finiteStep(units, 4000, 8000, 2*time.Second))
			}
			m.waitsCountFrom = m.now.Add(time.Hour)
			m.run(25 * time.Second)
			require.True(t, wide.done)
			require.Equal(t, 1, wide.starts, "8 s of work were started again; moves: %v", m.moves)
		})
	}
}

// TestWideWorkLeavesInstancesForLongRunningWork guards against wide work of one pool that
// acquires all spare instances before the long-running work of another pool, which
// arrives at the same time, has received its own.
func TestWideWorkLeavesInstancesForLongRunningWork(t *testing.T) {
	for _, label := range []string{"", "a"} {
		t.Run("label "+label, func(t *testing.T) {
			m := newModel(capacity16, map[string]int{recipientPool: 12, donorPool: 4, offPool: 20})
			m.accept(recipientPool, longRunningStep(12, 9000, 30000))
			m.run(settlePeriod)
			wide := finiteStep(40, 1000, 43120, 8*time.Second)
			wide.Label = label
			m.accept(recipientPool, wide)
			m.accept(donorPool, longRunningStep(10, 9000, 30000))
			m.waitsCountFrom = m.now.Add(time.Hour)
			running := func() int {
				count := 0
				for _, u := range m.units {
					if u.instance != nil && u.instance.Pool == donorPool && u.step.LongRunning {
						count++
					}
				}
				return count
			}
			m.run(maxLongRunningStartWait)
			require.Equal(t, 10, running(), "running work units of the other pool after %v; moves: %v", maxLongRunningStartWait, m.moves)
		})
	}
}

// TestWideWorkBesideBacklogStarts guards against a wide work unit that never starts because
// a backlog of small work fills each instance that it receives, so that it requests one
// after the other until it has all instances.
func TestWideWorkBesideBacklogStarts(t *testing.T) {
	m := newModel(capacity16, map[string]int{recipientPool: 8, donorPool: 4, offPool: 60})
	m.accept(recipientPool, longRunningStep(4, 2000, 4000))
	m.run(settlePeriod)
	m.waitsCountFrom = m.now.Add(time.Hour)
	for range 20 {
		m.accept(recipientPool, finiteStep(10, 500, 8000, time.Second))
	}
	start := m.now
	m.run(200 * time.Millisecond)
	wide := m.accept(recipientPool, finiteStep(1, 15000, 60000, time.Second))
	startedAfter := time.Duration(0)
	for m.now.Sub(start) < 15*time.Second {
		m.accept(recipientPool, finiteStep(8, 500, 8000, time.Second))
		m.run(250 * time.Millisecond)
		if startedAfter == 0 && m.units[bbrwork.Unit{Job: wide.ID}].starts > 0 {
			startedAfter = m.now.Sub(start)
		}
	}
	require.NotZero(t, startedAfter, "never started; %d instances of 72 are in its pool, moves %v", m.upCount(recipientPool), m.moves)
}

// TestManyWideUnitsLeaveInstancesToOthers guards against one job that acquires all instances
// of the fleet before another pool's work receives any.
func TestManyWideUnitsLeaveInstancesToOthers(t *testing.T) {
	m := newModel(capacity16, map[string]int{recipientPool: 6, donorPool: 6, offPool: 30})
	m.accept(recipientPool, longRunningStep(6, 9000, 30000))
	m.run(settlePeriod)
	m.accept(recipientPool, finiteStep(200, 5850, 43120, 10*time.Second))
	m.run(2 * time.Second)
	m.waitsCountFrom = m.now.Add(time.Hour)
	job := m.accept(donorPool, finiteStep(100, 4000, 8000, time.Second))
	start := m.now
	m.runUntil(func() bool { return m.state(job) != "" }, 60*time.Second)
	require.Equal(t, bbrwork.Completed, m.state(job), "after %v", m.now.Sub(start))
}

// TestWideLongRunningWorkReceivesInstancesOnce guards against ordering instances repeatedly
// for long-running work that is limited to one work unit per upstream.
func TestWideLongRunningWorkReceivesInstancesOnce(t *testing.T) {
	m := newModel(capacity16, map[string]int{recipientPool: 12, donorPool: 4, offPool: 30})
	m.accept(recipientPool, longRunningStep(12, 1000, 40000))
	m.run(settlePeriod)
	moves := m.moves[recipientPool]
	spread := longRunningStep(6, 1000, 30000)
	spread.MaxPerUpstream = 1
	m.accept(recipientPool, spread)
	m.run(30 * time.Second)
	require.Empty(t, m.violations)
	require.LessOrEqual(t, m.moves[recipientPool]-moves, 6, "%v", m.moves)
}

// TestWideStepsRequestNoMoreInstancesThanUnits guards against a capacity request that grows
// while several steps of different shapes wait.
func TestWideStepsRequestNoMoreInstancesThanUnits(t *testing.T) {
	m := newModel(capacity16, map[string]int{recipientPool: 12, donorPool: 4, offPool: 40})
	m.accept(recipientPool, longRunningStep(12, 9000, 30000))
	m.run(settlePeriod)
	const units = 16
	for _, memory := range []int{26000, 38000, 26000, 38000, 50000, 15000, 50000, 15000} {
		m.accept(recipientPool, finiteStep(2, 8000, memory, 6*time.Second))
	}
	for end := m.now.Add(20 * time.Second); m.now.Before(end); m.step() {
		demand := m.owners[recipientPool].scheduler.Demand(m.now)
		require.LessOrEqual(t, demand.Exclusive, units)
		require.LessOrEqual(t, demand.Occupied, 12, "only the instances with long-running work are occupied")
	}
	require.Empty(t, m.violations)
}

// TestWideWorkStartsAfterLeaderIsReplaced guards against a capacity request that counts
// instances which an earlier fleet leader had reserved, so that they take no work.
func TestWideWorkStartsAfterLeaderIsReplaced(t *testing.T) {
	m := newModel(capacity16, map[string]int{recipientPool: 13, donorPool: 4, offPool: 20})
	m.accept(recipientPool, longRunningStep(12, 3000, 30000))
	m.run(time.Second)
	m.accept(recipientPool, finiteStep(4, 8000, 50000, 8*time.Second))
	m.run(600 * time.Millisecond)
	m.planner, m.listedAt = NewPlanner(modelMaintenanceTime), time.Time{}
	m.replaceOwner(recipientPool)
	m.waitsCountFrom = m.now.Add(recoveryTime)
	m.run(15 * time.Second)
	require.Empty(t, m.violations)
}
