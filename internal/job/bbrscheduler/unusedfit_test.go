package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// TestUnusedFit guards against logs that do not tell work that waits for reserved or
// otherwise excluded upstreams from work that waits beside long-running work.
func TestUnusedFit(t *testing.T) {
	reserve := func(s *scene) { s.sched.SetReserved(map[string]bool{"i-1": true}, s.now) }
	tests := []struct {
		name     string
		arrange  func(s *scene)
		label    string
		byReason map[string]int
		reserved int
		empty    int
	}{
		{"all usable", func(*scene) {}, "", map[string]int{}, 0, 2},
		{"reserved", reserve, "", map[string]int{"reserved": 1}, 1, 1},
		{"reserved, without the label", reserve, "gpu", map[string]int{}, 0, 0},
		{"reserved, used by finite work", func(s *scene) {
			s.runOn(jobID(1), "i-1", bbrwork.Resources{MilliCPU: 100, MemoryMB: 4000}, false)
			reserve(s)
		}, "", map[string]int{}, 0, 1},
		{"reserved and full", func(s *scene) {
			reserve(s)
			s.sched.upstreams["i-1"].fullUntil = s.now.Add(time.Second)
		}, "", map[string]int{"reserved": 1}, 0, 1},
		{"reserved and unrecorded", func(s *scene) {
			reserve(s)
			delete(s.sched.recorded, s.sched.upstreams["i-1"].Incarnation)
		}, "", map[string]int{"reserved": 1}, 0, 1},
		{"full", func(s *scene) { s.sched.upstreams["i-1"].fullUntil = s.now.Add(time.Second) }, "", map[string]int{"full": 1}, 0, 1},
		{"unrecorded", func(s *scene) { delete(s.sched.recorded, s.sched.upstreams["i-1"].Incarnation) }, "", map[string]int{"unrecorded": 1}, 0, 1},
		{"orphans on one, the other reserved", func(s *scene) {
			reserve(s)
			s.sched.upstreams["i-2"].orphans = map[runKey]*orphan{{}: nil}
		}, "", map[string]int{"reserved": 1, "orphans": 1}, 1, 0},
		{"beside long-running work", func(s *scene) { fillWithLongRunning(s, 3000) }, "", map[string]int{}, 0, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newScene(t, true, "i-1", "i-2")
			s.plan()
			test.arrange(s)
			s.accept(testJob, bbrwork.Step{Count: 1, Need: bbrwork.Resources{MilliCPU: 1000, MemoryMB: 5000}, Estimate: time.Second, Label: test.label})
			p, waiting := s.sched.survey(s.now), s.sched.jobs[testJob].occurrences[0].steps[0]
			require.Equal(t, test.byReason, p.fitsByExclusion(waiting))
			require.Equal(t, test.reserved, p.reservedFits(waiting))
			require.Equal(t, test.empty, p.fitsWhenEmptyCount(waiting))
		})
	}
}

// TestTooLargeUnitFitsOnNoEmptyUpstream checks that a unit that no upstream can ever take
// is told from one that long-running work keeps out.
func TestTooLargeUnitFitsOnNoEmptyUpstream(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2")
	s.plan()
	s.accept(testJob, bbrwork.Step{Count: 1, Need: bbrwork.Resources{MilliCPU: 1000, MemoryMB: 8001}, Estimate: time.Second})
	require.Zero(t, s.sched.survey(s.now).fitsWhenEmptyCount(s.sched.jobs[testJob].occurrences[0].steps[0]))
}

// TestSlowWaitNamesUnusedUpstreams checks that the log line of a slow wait has the excluded
// upstreams with free capacity and the usable ones that would do if they were empty.
func TestSlowWaitNamesUnusedUpstreams(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2")
	s.plan()
	s.runOn(jobID(1), "i-2", bbrwork.Resources{MilliCPU: 500, MemoryMB: 5000}, true)
	s.sched.SetReserved(map[string]bool{"i-1": true}, s.now)
	s.accept(testJob, bbrwork.Step{Count: 1, Need: bbrwork.Resources{MilliCPU: 1000, MemoryMB: 5000}, Estimate: time.Second})
	s.advance(slowWait)
	fields := s.loggedWaitFields()[unitName(0).String()]
	require.Equal(t, map[string]int{"reserved": 1}, fields["fitsOnExcluded"])
	require.Equal(t, 1, fields["fitsWhenEmpty"])
}

// TestEachExclusionHasAName guards against a reason that logs and metrics show as empty.
func TestEachExclusionHasAName(t *testing.T) {
	seen := make(map[string]bool)
	for reason := notExcluded + 1; reason < exclusionCount; reason++ {
		require.NotEmpty(t, reason.String())
		require.False(t, seen[reason.String()])
		seen[reason.String()] = true
	}
}

// TestLoadCountsLateUnits checks that only waiting units of finite work that are past their
// objective count as late, and that a reserved upstream on which they would fit is counted.
func TestLoadCountsLateUnits(t *testing.T) {
	s := newWaitingScene(t, 1)
	s.register("i-3")
	s.list("i-3")
	s.sched.recorded[s.upstream("i-3").Incarnation] = true
	s.sched.SetReserved(map[string]bool{"i-3": true}, s.now)
	s.accept(jobID(5), bbrwork.Step{Count: 3, Need: bbrwork.Resources{MilliCPU: 1000, MemoryMB: 7000}, Estimate: time.Second, LongRunning: true})
	load := s.sched.Load(true, s.now)
	require.Zero(t, load.Waits.LateUnits)
	require.Equal(t, 1, load.Waits.ReservedFits)
	require.Equal(t, map[string]int{"reserved": 1}, load.Excluded)
	require.Zero(t, load.UsableExclusive)

	s.advance(time.Hour)
	require.Equal(t, 2, s.sched.Load(true, s.now).Waits.LateUnits)
	s.runOn(jobID(6), "i-3", bbrwork.Resources{MilliCPU: 100, MemoryMB: 100}, true)
	s.sched.SetReserved(nil, s.now)
	require.Zero(t, s.sched.Load(true, s.now).Waits.ReservedFits)
}

// TestLoadCountsUsableWithoutLongRunning checks that an upstream with finite work only
// counts as one without long-running work.
func TestLoadCountsUsableWithoutLongRunning(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2")
	s.plan()
	s.runOn(jobID(1), "i-1", bbrwork.Resources{MilliCPU: 100, MemoryMB: 100}, true)
	s.runOn(jobID(2), "i-2", bbrwork.Resources{MilliCPU: 100, MemoryMB: 100}, false)
	require.Equal(t, 1, s.sched.Load(true, s.now).UsableExclusive)
}

// TestFiniteMemory checks that open finite work needs its memory over the time that its
// processor demand is spread over, and long-running work none.
func TestFiniteMemory(t *testing.T) {
	s := newWaitingScene(t, 1)
	s.advance(time.Hour)
	require.Equal(t, int(2*5000/overdueSpread.Seconds()), s.sched.Load(true, s.now).Demand.FiniteMemoryMB)
	require.Zero(t, newWaitingScene(t, 0).sched.Demand(s.now).FiniteMemoryMB)
}
