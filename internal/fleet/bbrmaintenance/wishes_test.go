package bbrmaintenance

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// wideTakenOver returns a model in which a work unit that fits only alone runs on the
// one instance without lasting work, just after its owner was replaced. An instance
// that is not reached keeps the successor from being settled.
func wideTakenOver(t *testing.T) (*model, *modelUnit) {
	m := newModel(room16, map[string]int{pressed: 13, calm: 4})
	m.accept(pressed, lastingStep(12, 3000, 30000))
	m.run(time.Second)
	job := m.accept(pressed, endingStep(1, 14000, 8000, 8*time.Second))
	m.run(time.Second)
	wide := m.units[bbrwork.Unit{Job: job.ID}]
	require.NotNil(t, wide.on)
	require.Empty(t, m.faults)
	other := slices.IndexFunc(m.ids, func(id string) bool {
		return m.instances[id] != wide.on && m.instances[id].Pool == pressed
	})
	m.instances[m.ids[other]].silent = m.now.Add(3 * time.Second)
	m.takeOver(pressed)
	return m, wide
}

// TestTakenOverWideWorkIsNotOffered guards against an upstream that a successor offers
// before it is settled, though work runs there that fits nowhere else.
func TestTakenOverWideWorkIsNotOffered(t *testing.T) {
	m, wide := wideTakenOver(t)
	took, ledger := m.now, m.owners[pressed].ledger
	m.runUntil(func() bool {
		return wide.on == nil || slices.Contains(ledger.Demand(m.now).Releasable, wide.on.Upstream)
	}, 5*time.Second)
	require.NotNil(t, wide.on)
	require.NotContains(t, ledger.Demand(m.now).Releasable, wide.on.Upstream, "%v after the takeover; settled: %v", m.now.Sub(took), ledger.EarlierWorkLocated(m.now))
}

// TestTakenOverWideWorkIsNotStoppedForAMove guards against the same where another
// pool's turn of demand takes the instance.
func TestTakenOverWideWorkIsNotStoppedForAMove(t *testing.T) {
	for name, units := range map[string]int{"alone": 0, "beside another pool's turn": 40} {
		t.Run(name, func(t *testing.T) {
			m, wide := wideTakenOver(t)
			if units > 0 {
				m.accept(calm, endingStep(units, 4000, 8000, 2*time.Second))
			}
			m.calmFrom = m.now.Add(time.Hour)
			m.run(25 * time.Second)
			require.True(t, wide.done)
			require.Equal(t, 1, wide.starts, "8 s of work were begun again; moves: %v", m.moves)
		})
	}
}

// TestWideWorkLeavesInstancesForLastingWork guards against wide work of one pool that
// takes all spare instances before another pool's lasting work, which comes at the
// same time, has its own.
func TestWideWorkLeavesInstancesForLastingWork(t *testing.T) {
	for _, label := range []string{"", "a"} {
		t.Run("label "+label, func(t *testing.T) {
			m := newModel(room16, map[string]int{pressed: 12, calm: 4, off: 20})
			m.accept(pressed, lastingStep(12, 9000, 30000))
			m.run(settle)
			wide := endingStep(40, 1000, 43120, 8*time.Second)
			wide.Label = label
			m.accept(pressed, wide)
			m.accept(calm, lastingStep(10, 9000, 30000))
			m.calmFrom = m.now.Add(time.Hour)
			running := func() int {
				count := 0
				for _, u := range m.units {
					if u.on != nil && u.on.Pool == calm && u.step.LongRunning {
						count++
					}
				}
				return count
			}
			m.run(lastingBound)
			require.Equal(t, 10, running(), "work units of the other pool at work after %v; moves: %v", lastingBound, m.moves)
		})
	}
}

// TestWideWorkBesideABacklogDoesNotTakeAllInstances guards against a work unit whose
// instances small work fills, so that it asks for one more again and again.
func TestWideWorkBesideABacklogDoesNotTakeAllInstances(t *testing.T) {
	m := newModel(room16, map[string]int{pressed: 8, calm: 4, off: 60})
	m.accept(pressed, lastingStep(4, 2000, 4000))
	m.run(settle)
	m.calmFrom = m.now.Add(time.Hour)
	for range 20 {
		m.accept(pressed, endingStep(10, 500, 8000, time.Second))
	}
	without := m.now
	m.run(200 * time.Millisecond)
	wide := m.accept(pressed, endingStep(1, 15000, 60000, time.Second))
	began := time.Duration(0)
	for m.now.Sub(without) < 15*time.Second {
		m.accept(pressed, endingStep(8, 500, 8000, time.Second))
		m.run(250 * time.Millisecond)
		if began == 0 && m.units[bbrwork.Unit{Job: wide.ID}].starts > 0 {
			began = m.now.Sub(without)
		}
	}
	require.NotZero(t, began, "never begun; %d instances of 72 are in its pool, moves %v", m.size(pressed), m.moves)
}

// TestManyWideUnitsLeaveOthersTheirInstances guards against one job that takes all
// instances of the fleet before another pool's work.
func TestManyWideUnitsLeaveOthersTheirInstances(t *testing.T) {
	m := newModel(room16, map[string]int{pressed: 6, calm: 6, off: 30})
	m.accept(pressed, lastingStep(6, 9000, 30000))
	m.run(settle)
	m.accept(pressed, endingStep(200, 5850, 43120, 10*time.Second))
	m.run(2 * time.Second)
	m.calmFrom = m.now.Add(time.Hour)
	job := m.accept(calm, endingStep(100, 4000, 8000, time.Second))
	began := m.now
	m.runUntil(func() bool { return m.state(job) != "" }, 60*time.Second)
	require.Equal(t, bbrwork.Completed, m.state(job), "after %v", m.now.Sub(began))
}

// TestWideLastingWorkIsGivenInstancesOnce guards against instances that are brought
// again and again for lasting work with a limit on one upstream.
func TestWideLastingWorkIsGivenInstancesOnce(t *testing.T) {
	m := newModel(room16, map[string]int{pressed: 12, calm: 4, off: 30})
	m.accept(pressed, lastingStep(12, 1000, 40000))
	m.run(settle)
	moves := m.moves[pressed]
	spread := lastingStep(6, 1000, 30000)
	spread.MaxPerUpstream = 1
	m.accept(pressed, spread)
	m.run(30 * time.Second)
	require.Empty(t, m.faults)
	require.LessOrEqual(t, m.moves[pressed]-moves, 6, "%v", m.moves)
}

// TestSeveralWideStepsAskForNoMoreThanTheirUnits guards against a wish that grows
// while several steps of different shapes wait.
func TestSeveralWideStepsAskForNoMoreThanTheirUnits(t *testing.T) {
	m := newModel(room16, map[string]int{pressed: 12, calm: 4, off: 40})
	m.accept(pressed, lastingStep(12, 9000, 30000))
	m.run(settle)
	const units = 16
	for _, memory := range []int{26000, 38000, 26000, 38000, 50000, 15000, 50000, 15000} {
		m.accept(pressed, endingStep(2, 8000, memory, 6*time.Second))
	}
	for end := m.now.Add(20 * time.Second); m.now.Before(end); m.step() {
		demand := m.owners[pressed].ledger.Demand(m.now)
		require.LessOrEqual(t, demand.Exclusive, units)
		require.LessOrEqual(t, demand.Occupied, 12, "none but those with lasting work")
	}
	require.Empty(t, m.faults)
}

// TestWideWorkStartsAfterTheDutyIsTakenOver guards against a wish that is answered by
// instances that an earlier holder of the duty had reserved.
func TestWideWorkStartsAfterTheDutyIsTakenOver(t *testing.T) {
	m := newModel(room16, map[string]int{pressed: 13, calm: 4, off: 20})
	m.accept(pressed, lastingStep(12, 3000, 30000))
	m.run(time.Second)
	m.accept(pressed, endingStep(4, 8000, 50000, 8*time.Second))
	m.run(600 * time.Millisecond)
	m.planner, m.listedAt = NewPlanner(modelAway), time.Time{}
	m.takeOver(pressed)
	m.calmFrom = m.now.Add(contact)
	m.run(15 * time.Second)
	require.Empty(t, m.faults)
}
