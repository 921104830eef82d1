package bbrmaintenance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	// vacateTime bounds the time in which the long-running work units of one upstream move
	// to others: the longest stop, and a second until its end is listed.
	vacateTime = 900*time.Millisecond + time.Second
	// turnaround bounds the time between the end of a finite work unit and the start of
	// the next one in its place.
	turnaround = 4 * modelStep
)

// fragmentedPool is a pool without a spare instance. Long-running work is spread over all
// its instances, but would fit on some of them.
type fragmentedPool struct {
	size int
	// longRunning are steps of which a unit of each fit on one instance together.
	longRunning []bbrwork.Step
	// wide is the step that waits, of each of a number of jobs.
	wide bbrwork.Step
	jobs int
	// bound is how long a work unit of it may wait.
	bound time.Duration
}

func drawFragmentedPool(r *rapid.T) fragmentedPool {
	p := fragmentedPool{size: rapid.IntRange(3, 8).Draw(r, "size"), jobs: 1}
	shape := rapid.SampledFrom([]string{"work units", "gang", "long-running"}).Draw(r, "shape")
	// needed is how many instances the long-running work must leave empty.
	needed := 1
	if shape != "work units" {
		needed = rapid.IntRange(1, p.size/2).Draw(r, "needed")
	}
	spread := rapid.IntRange(2, 4).Draw(r, "long-running jobs")
	for range spread {
		step := spreadStep(rapid.IntRange((p.size+1)/2, p.size-needed).Draw(r, "count"),
			100*rapid.IntRange(5, capacity16.MilliCPU/100/spread).Draw(r, "cpu"), 256*rapid.IntRange(8, capacity16.MemoryMB/256/spread).Draw(r, "memory"))
		step.MaxUnavailable = rapid.IntRange(0, 2).Draw(r, "max unavailable")
		p.longRunning = append(p.longRunning, step)
	}
	milliCPU, memoryMB := 1000, 2048
	if rapid.Bool().Draw(r, "by cores") {
		milliCPU = 500 * rapid.IntRange(14, 32).Draw(r, "wide cpu")
	} else {
		memoryMB = 1024 * rapid.IntRange(30, 64).Draw(r, "wide memory")
	}
	estimate := 100 * time.Millisecond * time.Duration(rapid.IntRange(3, 15).Draw(r, "estimate"))
	switch shape {
	case "gang":
		p.wide = gangStep(needed, milliCPU, memoryMB, estimate)
	case "long-running":
		p.wide = spreadStep(needed, milliCPU, memoryMB)
	default:
		p.wide = finiteStep(rapid.IntRange(1, 11).Draw(r, "units"), milliCPU, memoryMB, estimate)
	}
	p.bound = maxStartWait + time.Duration(needed)*vacateTime
	if shape == "work units" {
		// One empty instance takes all of them, some at a time.
		p.jobs = rapid.IntRange(1, 2).Draw(r, "jobs")
		units := p.jobs * p.wide.Count
		p.bound += time.Duration((units-1)/p.wide.Need.FitCount(capacity16, units)) * (estimate + turnaround)
	}
	return p
}

// model returns a model of the pool with spare instances, in which the long-running work has
// started.
func (p fragmentedPool) model(r *rapid.T, spares int) *model {
	m := newModel(capacity16, map[string]int{recipientPool: p.size, offPool: spares})
	for _, step := range p.longRunning {
		m.accept(recipientPool, step)
	}
	m.run(settlePeriod)
	require.Empty(r, m.neverStarted())
	require.Empty(r, m.violations)
	// The waits of wide work have their own bound.
	m.waitsCountFrom = m.now.Add(time.Hour)
	return m
}

// TestWideWorkStartsWithoutSpareInstance guards against work that fits on an empty upstream
// and never starts, as long-running work is spread over all upstreams of its pool and there
// is no spare instance.
func TestWideWorkStartsWithoutSpareInstance(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p := drawFragmentedPool(r)
		m := p.model(r, 0)
		for range p.jobs {
			m.accept(recipientPool, p.wide)
		}
		bound := p.bound
		if rapid.Bool().Draw(r, "takeover") {
			runWithinBudgets(r, m, time.Duration(rapid.IntRange(1, 60).Draw(r, "takeover after"))*modelStep)
			m.replaceOwner(recipientPool)
			// A successor stops nothing while stops of the earlier owner may be in progress.
			bound += vacateTime
		}
		for end := m.now.Add(bound); m.now.Before(end) && len(m.neverStarted()) > 0; {
			runWithinBudgets(r, m, modelStep)
		}
		require.Empty(r, m.neverStarted(), "work units of %+v have waited for %v", p.wide, bound)
		runWithinBudgets(r, m, settlePeriod)
		require.Empty(r, m.violations)
	})
}

// TestLongRunningWorkStaysWhereFleetHasSpares guards against moves of long-running work that
// a spare instance makes unnecessary.
func TestLongRunningWorkStaysWhereFleetHasSpares(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p := drawFragmentedPool(r)
		m := p.model(r, 40)
		for range p.jobs {
			m.accept(recipientPool, p.wide)
		}
		m.run(settlePeriod)
		require.Empty(r, m.neverStarted())
		for _, u := range m.unitsInOrder {
			if u.step.LongRunning {
				require.Equal(r, 1, u.starts, "%s was moved", u.name)
			}
		}
	})
}

// TestVacatingIsSafeUnderFailures guards against moves that run a work unit twice, exceed a
// capacity or stop more of a step than it may miss when messages are lost, owners are replaced
// and small work arrives.
func TestVacatingIsSafeUnderFailures(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p := drawFragmentedPool(r)
		m := p.model(r, 0)
		lossPercent := rapid.IntRange(0, 20).Draw(r, "loss")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0))
		m.losesMessages = func() (start, answer bool) {
			return random.IntN(100) < lossPercent, random.IntN(100) < lossPercent
		}
		for range rapid.IntRange(1, 6).Draw(r, "actions") {
			switch rapid.IntRange(0, 3).Draw(r, "action") {
			case 0:
				m.replaceOwner(recipientPool)
			case 1:
				m.accept(recipientPool, finiteStep(rapid.IntRange(1, 20).Draw(r, "small"), 500, 2000, 700*time.Millisecond))
			default:
				m.accept(recipientPool, p.wide)
			}
			runWithinBudgets(r, m, time.Duration(rapid.IntRange(1, 80).Draw(r, "steps"))*modelStep)
		}
		m.losesMessages = nil
		runWithinBudgets(r, m, settlePeriod)
		require.Empty(r, m.violations)
	})
}

// runWithinBudgets advances the model by d, and checks that no step of long-running work
// that has started is without more work units than it may miss.
func runWithinBudgets(r *rapid.T, m *model, d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.step()
		absent := make(map[*bbrwork.Step]int)
		for _, u := range m.unitsInOrder {
			if u.step.LongRunning && u.starts > 0 && u.instance == nil {
				absent[u.step]++
				require.LessOrEqual(r, absent[u.step], max(1, u.step.MaxUnavailable), "%s and others of its step do not run", u.name)
				require.LessOrEqual(r, m.now.Sub(u.readySince), maxLongRunningStartWait, "%s does not run", u.name)
			}
		}
	}
}
