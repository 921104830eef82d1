package bbrscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// newPool returns a scene with a pool of upstreams with capacity for four work
// units each.
func newPool(t *testing.T, upstreams int) *scene {
	var ids []string
	for i := range upstreams {
		ids = append(ids, fmt.Sprintf("i-%02d", i))
	}
	return newScene(t, true, ids...)
}

func jobID(number int) string { return fmt.Sprintf("%016x", number) }

// startAll plans and answers starts until no more follow, and returns the number of
// starts by upstream.
func (s *scene) startAll() map[string]int {
	counts := make(map[string]int)
	for plan := s.plan(); len(plan.Starts) > 0; plan = s.plan() {
		for _, order := range plan.Starts {
			counts[order.Upstream.ID]++
		}
		s.answerStarts(plan, nil)
	}
	return counts
}

// TestPackingLeavesUpstreamsEmpty runs the rest of a demand burst, as many work
// units as fill a quarter of the pool. All start at once. Three quarters of the
// upstreams stay empty and can be released without waiting for work to end, and the
// rest are listed after them.
func TestPackingLeavesUpstreamsEmpty(t *testing.T) {
	const upstreams, jobs = 20, 10
	s := newPool(t, upstreams)
	for number := range jobs {
		s.accept(jobID(number), unitStep(2))
	}
	counts := s.startAll()
	started := 0
	for _, count := range counts {
		started += count
	}
	require.Equal(t, 2*jobs, started, "all work units start at once")
	require.Len(t, counts, upstreams/4)
	releasable := s.sched.Demand(s.now).Releasable
	require.Len(t, releasable, upstreams)
	for _, id := range releasable[:upstreams-len(counts)] {
		require.Zero(t, counts[id], "%s is listed before empty upstreams", id)
	}
}

// TestFiniteWorkPrefersUpstreamsWithLongRunningWork checks that finite work goes
// first to upstreams that cannot be released, unless it is best-effort work that
// would disturb the long-running work there.
func TestFiniteWorkPrefersUpstreamsWithLongRunningWork(t *testing.T) {
	for _, bestEffort := range []bool{false, true} {
		s := newPool(t, 6)
		longRunning := unitStep(2)
		longRunning.LongRunning = true
		s.accept(jobID(1), longRunning)
		longRunningOn := s.startAll()
		work := unitStep(4)
		work.BestEffort = bestEffort
		s.accept(jobID(2), work)
		for id := range s.startAll() {
			require.Equal(t, !bestEffort, longRunningOn[id] > 0, "best effort: %v, on %s", bestEffort, id)
		}
	}
}

// TestLongRunningWorkIsSpread checks that the loss of one upstream affects one
// long-running work unit if there is capacity elsewhere.
func TestLongRunningWorkIsSpread(t *testing.T) {
	s := newPool(t, 6)
	longRunning := unitStep(3)
	longRunning.LongRunning = true
	for number := range 2 {
		s.accept(jobID(number), longRunning)
	}
	counts := s.startAll()
	require.Len(t, counts, 6)
}

// TestUpstreamIsReleasableOnceLongRunningWorkEnds checks that an upstream can be
// released again once its long-running work has ended.
func TestUpstreamIsReleasableOnceLongRunningWorkEnds(t *testing.T) {
	s := newPool(t, 1)
	longRunning := unitStep(1)
	longRunning.LongRunning = true
	s.accept(testJob, longRunning)
	require.Len(t, s.startAll(), 1)
	require.Empty(t, s.sched.Demand(s.now).Releasable)
	s.advance(time.Second)
	s.list("i-00", bbrwork.RunEnd{Sequence: 1, Unit: unitName(0), Run: 1, Outcome: bbrwork.OutcomeStopped})
	require.Equal(t, []string{"i-00"}, s.sched.Demand(s.now).Releasable)
}
