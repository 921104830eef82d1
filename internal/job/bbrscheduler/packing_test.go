package bbrscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// packed is a pool of upstreams with room for four work units each.
func packed(t *testing.T, upstreams int) *scene {
	var ids []string
	for i := range upstreams {
		ids = append(ids, fmt.Sprintf("i-%02d", i))
	}
	return newScene(t, true, ids...)
}

func jobNumber(number int) string { return fmt.Sprintf("%016x", number) }

// starts plans and answers until nothing more is started, and returns how many
// work units went where.
func (s *scene) starts() map[string]int {
	on := make(map[string]int)
	for plan := s.plan(); len(plan.Starts) > 0; plan = s.plan() {
		for _, order := range plan.Starts {
			on[order.Upstream.ID]++
		}
		s.started(plan, nil)
	}
	return on
}

// TestEndOfATurnLeavesUpstreamsEmpty plays what is left of a turn of demand: as
// many work units as fill a quarter of the pool. All start at once, and three
// quarters of the upstreams can be given away without waiting for work to end;
// the rest are offered after them.
func TestEndOfATurnLeavesUpstreamsEmpty(t *testing.T) {
	const upstreams, jobs = 20, 10
	s := packed(t, upstreams)
	for number := range jobs {
		s.accept(jobNumber(number), unitStep(2))
	}
	on := s.starts()
	started := 0
	for _, count := range on {
		started += count
	}
	require.Equal(t, 2*jobs, started, "callers wait for nothing")
	require.Len(t, on, upstreams/4)
	give := s.ledger.Demand(s.now).Releasable
	require.Len(t, give, upstreams)
	for _, id := range give[:upstreams-len(on)] {
		require.Zero(t, on[id], "%s is offered before empty ones", id)
	}
}

// TestWorkGoesWhereLastingWorkIs holds that other work goes first to upstreams
// that cannot be given away, but for work that would disturb what is there.
func TestWorkGoesWhereLastingWorkIs(t *testing.T) {
	for _, fills := range []bool{false, true} {
		s := packed(t, 6)
		lasting := unitStep(2)
		lasting.LongRunning = true
		s.accept(jobNumber(1), lasting)
		home := s.starts()
		work := unitStep(4)
		work.BestEffort = fills
		s.accept(jobNumber(2), work)
		for id := range s.starts() {
			require.Equal(t, !fills, home[id] > 0, "fills: %v, on %s", fills, id)
		}
	}
}

// TestLastingWorkIsSpread holds that the loss of one upstream takes one work unit
// of lasting work, where there is room elsewhere.
func TestLastingWorkIsSpread(t *testing.T) {
	s := packed(t, 6)
	lasting := unitStep(3)
	lasting.LongRunning = true
	for number := range 2 {
		s.accept(jobNumber(number), lasting)
	}
	on := s.starts()
	require.Len(t, on, 6)
}

// TestLastingRunsAreCounted holds that an upstream that lasting work has left can
// be given away again.
func TestLastingRunsAreCounted(t *testing.T) {
	s := packed(t, 1)
	lasting := unitStep(1)
	lasting.LongRunning = true
	s.accept(testJob, lasting)
	require.Len(t, s.starts(), 1)
	require.Empty(t, s.ledger.Demand(s.now).Releasable)
	s.wait(time.Second)
	s.list("i-00", bbrwork.RunEnd{Sequence: 1, Unit: unitName(0), Run: 1, Outcome: bbrwork.OutcomeStopped})
	require.Equal(t, []string{"i-00"}, s.ledger.Demand(s.now).Releasable)
}
