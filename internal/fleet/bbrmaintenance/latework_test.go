package bbrmaintenance

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// overdueSpread is the time in which late work is to be done, as documented for the owner's demand.
const overdueSpread = 8 * time.Second

// acceptBacklog submits a backlog of jobs of one step each and returns the time that the
// pool's instances need for its processor work.
func acceptBacklog(m *model, jobs int, step bbrwork.Step) time.Duration {
	for range jobs {
		m.accept(recipientPool, step)
	}
	work := float64(jobs*step.Count*step.Need.MilliCPU) * step.Estimate.Seconds()
	capacity := float64(m.upCount(recipientPool) * capacity16.MilliCPU)
	return time.Duration(work / capacity * float64(time.Second))
}

// poolOf returns the pool that a work unit's job was submitted to.
func (m *model) poolOf(u *modelUnit) string {
	return u.name.Job[:strings.LastIndex(u.name.Job, "-")]
}

// unfinished counts the finite work units of a pool that are not done.
func (m *model) unfinished(pool string) int {
	count := 0
	for _, u := range m.unitsInOrder {
		if !u.step.LongRunning && !u.done && m.poolOf(u) == pool {
			count++
		}
	}
	return count
}

// lateBacklogCase is a pool with a late backlog, beside a spare pool or a pool that takes what it
// can get for work that is in time.
type lateBacklogCase struct {
	name       string
	size       int
	backlog    time.Duration
	donorGrows bool
}

var lateBacklogCases = []lateBacklogCase{
	{"60 instances beside spare pool", 60, 8 * time.Second, false},
	{"120 instances beside spare pool", 120, 8 * time.Second, false},
	{"60 instances beside growing pool", 60, 4 * time.Second, true},
	{"120 instances beside growing pool", 120, 4 * time.Second, true},
}

// stepWithDonorLoad advances the model by a step, and submits work to the donor pool if it is to grow.
func (b lateBacklogCase) stepWithDonorLoad(m *model) {
	const unitsPerStep = 2
	if b.donorGrows {
		m.accept(donorPool, finiteStep(unitsPerStep*b.size/30, 4000, 1000, time.Second))
	}
	m.step()
}

// TestLateBacklogIsWorkedOff guards against a pool that shrinks as fast as its late backlog,
// so that the last work units wait several times as long as the backlog should take.
func TestLateBacklogIsWorkedOff(t *testing.T) {
	for _, b := range lateBacklogCases {
		t.Run(b.name, func(t *testing.T) {
			m := newModel(capacity16, map[string]int{recipientPool: b.size, donorPool: 4, offPool: 1})
			m.waitsCountFrom = m.now.Add(time.Hour)
			m.run(2 * time.Second)
			step := finiteStep(20, 4000, 8000, 300*time.Millisecond)
			jobs := int(b.backlog/step.Estimate) * b.size * capacity16.MilliCPU / (step.Count * step.Need.MilliCPU)
			bound := acceptBacklog(m, jobs, step) + overdueSpread + step.Estimate + modelMoveTime
			for end := m.now.Add(bound); m.now.Before(end); {
				b.stepWithDonorLoad(m)
			}
			require.Zero(t, m.unfinished(recipientPool), "work units not done after %v, with %d instances in the pool", bound, m.upCount(recipientPool))
			require.Empty(t, m.violations)
		})
	}
}

// lateReportAge is how long a unit must have been late before the leader must know of it.
const lateReportAge = modelReportDelay + 2*modelRoundInterval + 2*modelStep

// waitsLateFor reports whether a work unit of the instance's pool has waited past the time
// lateFrom for lateReportAge and fits on the instance beside its long-running work.
func (m *model) waitsLateFor(instance *modelInstance, lateFrom time.Time) bool {
	free := instance.Capacity
	for _, run := range instance.running {
		if step := m.units[run.unit].step; step.LongRunning {
			free = free.Minus(step.Allocation())
		}
	}
	for _, u := range m.unitsInOrder {
		waits := m.poolOf(u) == instance.Pool && !u.step.LongRunning && !u.done && !u.readySince.IsZero()
		if waits && m.now.Sub(later(u.readySince, lateFrom)) >= lateReportAge && u.step.Allocation().Fits(free) {
			return true
		}
	}
	return false
}

// TestNoInstanceLeavesWhileLateWorkFits guards against instances that are switched off, or
// moved to a pool that has over half of what it needs, while late work units that fit wait.
func TestNoInstanceLeavesWhileLateWorkFits(t *testing.T) {
	for _, sizes := range []map[string]int{{recipientPool: 60, offPool: 4}, {recipientPool: 60, donorPool: 24, offPool: 1}} {
		t.Run(fmt.Sprint(sizes), func(t *testing.T) {
			m := newModel(capacity16, sizes)
			m.waitsCountFrom = m.now.Add(time.Hour)
			m.accept(recipientPool, spreadStep(12, 2400, 12000))
			if sizes[donorPool] > 0 {
				m.accept(donorPool, spreadStep(sizes[donorPool], 500, 500))
			}
			m.run(2 * time.Second)
			step := finiteStep(20, 4000, 8000, 300*time.Millisecond)
			acceptBacklog(m, 320, step)
			lateFrom := m.now.Add(step.Estimate*8/5 + 600*time.Millisecond)
			reserved, left := make(map[string]bool), 0
			for end := m.now.Add(20 * time.Second); m.now.Before(end) && m.unfinished(recipientPool) > 0; m.step() {
				if m.owners[donorPool] != nil {
					m.accept(donorPool, finiteStep(6, 4000, 1000, time.Second))
				}
				for upstream := range m.reserved {
					instance := m.current(upstream)
					if !reserved[upstream] && instance != nil && instance.Pool == recipientPool && m.waitsLateFor(instance, lateFrom) {
						left++
					}
					reserved[upstream] = true
				}
			}
			require.Zero(t, left, "instances were reserved for a move while late work units that fit there waited")
			require.Empty(t, m.violations)
		})
	}
}

// TestSpreadFiniteWorkReceivesUpstreams guards against finite work of which each upstream takes
// one unit, and whose pool is sized by its processor time alone.
func TestSpreadFiniteWorkReceivesUpstreams(t *testing.T) {
	m := newModel(capacity16, map[string]int{recipientPool: 24, donorPool: 4, offPool: 4})
	m.waitsCountFrom = m.now.Add(time.Hour)
	m.run(settlePeriod)
	steps := precededByNarrow(finiteStep(60, 1000, 1000, time.Second))
	steps[0].Estimate, steps[1].MaxPerUpstream = 6*time.Second, 1
	m.accept(recipientPool, steps...)
	// The objective, and then one more unit of the step on an instance that had to be moved.
	path := steps[0].Estimate + steps[1].Estimate
	bound := path*8/5 + 600*time.Millisecond + steps[1].Estimate + modelMoveTime
	m.run(bound)
	require.Zero(t, m.unfinished(recipientPool), "work units not done after %v, with %d instances in the pool", bound, m.upCount(recipientPool))
	require.Empty(t, m.violations)
}

// TestLateWorkReceivesInstancesForItsMemory guards against late work that needs much memory
// and little processor time, and is left with the instances that its processor time needs.
func TestLateWorkReceivesInstancesForItsMemory(t *testing.T) {
	m := newModel(capacity16, map[string]int{recipientPool: 6, donorPool: 4, offPool: 60})
	m.waitsCountFrom = m.now.Add(time.Hour)
	m.run(time.Second)
	const jobs = 20
	step := finiteStep(20, 500, 30000, time.Second)
	for range jobs {
		m.accept(recipientPool, step)
	}
	// Two units fit on an instance: half of the spare ones are enough.
	bound := overdueSpread + 2*step.Estimate + 2*modelMoveTime
	m.run(bound)
	require.Zero(t, m.unfinished(recipientPool), "work units not done after %v, with %d instances in the pool", bound, m.upCount(recipientPool))
	require.Empty(t, m.violations)
}

// TestPlacesBesideLongRunningWorkAreCountedOnce guards against several jobs that count the same
// capacity beside long-running work, so that no instance is requested for any of them.
func TestPlacesBesideLongRunningWorkAreCountedOnce(t *testing.T) {
	m := newModel(capacity16, map[string]int{recipientPool: 8, donorPool: 4, offPool: 40})
	m.accept(recipientPool, spreadStep(8, 500, 40000))
	m.run(5 * time.Second)
	require.Empty(t, m.violations)
	m.waitsCountFrom = m.now.Add(2 * modelMoveTime)
	for range 6 {
		m.accept(recipientPool, finiteStep(8, 200, 24000, 10*time.Second))
	}
	m.run(2*modelMoveTime + maxStartWait + modelStep)
	requireAllStarted(t, m)
}

// TestSmallPoolDoesNotKeepInstancesFromOthers guards against a pool that gets nothing since a
// smaller one with a lower fill ratio, whose ratio one instance would raise too far, came first.
func TestSmallPoolDoesNotKeepInstancesFromOthers(t *testing.T) {
	const small, large = 4, 45
	f := newTestFleet(map[string]int{donorPool: small + 12, recipientPool: large})
	for _, id := range f.ids[:small] {
		f.instances[id].Pool = thirdPool
	}
	donor := requestFor(donorPool, 4)
	donor.Releasable = f.upstreamsOf(donorPool)
	donor.Needed = donor.Releasable
	states := f.statesOf(NewPlanner(testAway), []CapacityRequest{donor, requestFor(recipientPool, 100), requestFor(thirdPool, 9)})
	require.Equal(t, small, states[thirdPool].Size)
	require.Greater(t, states[recipientPool].Size, large, "it has less than half of its target after a move")
}
