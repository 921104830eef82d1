package bbrscheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

func TestNothingStartsWhereCapacityShrankBelowUse(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2")
	s.accept(testJob, unitStep(3))
	s.answerStarts(s.plan(), nil)
	used := s.sched.upstreams["i-1"].used
	require.Equal(t, 3000, used.MilliCPU)
	shrunk := s.upstream("i-1")
	shrunk.Capacity = bbrwork.Resources{MilliCPU: 2000, MemoryMB: 8000}
	s.sched.RegisterUpstream(shrunk, s.now)
	bestEffort := unitStep(2)
	bestEffort.BestEffort = true
	s.accept("00000000000000c1", bestEffort, unitStep(5))
	plan := s.plan()
	require.Len(t, plan.Starts, 6, "the two units that need no CPU of their own, and four")
	for _, order := range plan.Starts {
		require.Equal(t, "i-2", order.Upstream.ID)
	}
	require.Equal(t, bbrwork.Resources{}, s.sched.survey(s.now).free.Min(bbrwork.Resources{}), "what is lacking on one upstream is not taken from the others")
}

// TestUpstreamThatGrowsBackTakesWorkAgain checks that an upstream whose capacity shrank
// while work ran there takes no more during a burst, and takes work again once it grew back.
func TestUpstreamThatGrowsBackTakesWorkAgain(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.accept(testJob, unitStep(2))
	s.answerStarts(s.plan(), nil)
	shrunk := s.upstream("i-1")
	shrunk.Capacity = bbrwork.Resources{MilliCPU: 2200, MemoryMB: 4400}
	s.sched.RegisterUpstream(shrunk, s.now)
	s.accept("00000000000000c1", unitStep(4))
	require.Empty(t, s.plan().Starts)
	s.list("i-1", bbrwork.RunEnd{Sequence: 1, Unit: unitName(0), Run: 1, Outcome: bbrwork.OutcomeDone}, bbrwork.RunEnd{Sequence: 2, Unit: unitName(1), Run: 1, Outcome: bbrwork.OutcomeDone})
	require.Len(t, s.plan().Starts, 2, "as many as fit")
	s.register("i-1")
	require.Len(t, s.plan().Starts, 2)
}
