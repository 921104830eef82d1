package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// TestLateWorkRequestsNoMoreThanItCanUse guards against a request that stays at its maximum
// while the last long runs of late work end, which use a small part of it.
func TestLateWorkRequestsNoMoreThanItCanUse(t *testing.T) {
	const units = 40
	s := newScene(t, true)
	s.registerCapacity("i-1", units*1000, "r-1")
	step := unitStep(units)
	step.Estimate = 20 * time.Second
	s.accept(testJob, step)
	s.answerStarts(s.plan(), nil)
	s.advance(time.Minute)
	peak := s.sched.Demand(s.now).MilliCPU
	ends := make([]bbrwork.RunEnd, 0, units)
	for index := range units - 4 {
		ends = append(ends, bbrwork.RunEnd{Sequence: int64(index + 1), Unit: unitName(index), Run: 1, Outcome: bbrwork.OutcomeDone})
	}
	s.list("i-1", ends...)
	left := s.sched.jobs[testJob].occurrences[0].unitsLeft
	demand := s.sched.Demand(s.now).MilliCPU
	require.LessOrEqual(t, demand, left*step.Need.MilliCPU, "%d work units left, requested at first %d", left, peak)
}

// TestWorkThatCanNeverStartKeepsNoLateRate guards against a request that stays at the maximum of
// a late backlog since a part of it can start nowhere.
func TestWorkThatCanNeverStartKeepsNoLateRate(t *testing.T) {
	s := newScene(t, true)
	s.registerCapacity("i-1", 200000, "r-1")
	stuck, backlog := unitStep(20), unitStep(200)
	stuck.Label = "none"
	s.accept(otherJob, stuck)
	s.accept(testJob, backlog)
	s.answerStarts(s.plan(), nil)
	s.advance(time.Minute)
	s.sched.Demand(s.now)
	s.sched.Cancel(testJob, s.now)
	s.advance(time.Minute)
	held := s.sched.Demand(s.now).MilliCPU
	alone := newScene(t, true)
	alone.registerCapacity("i-1", 200000, "r-1")
	alone.accept(otherJob, stuck)
	alone.plan()
	alone.advance(time.Minute)
	require.LessOrEqual(t, held, alone.sched.Demand(alone.now).MilliCPU)
}

// TestWorkThatCanNeverStartKeepsNoLateSpread guards against a requested number of upstreams that
// stays at the maximum of a late backlog since a part of it can start nowhere.
func TestWorkThatCanNeverStartKeepsNoLateSpread(t *testing.T) {
	stuck, backlog := unitStep(40), unitStep(200)
	stuck.Label, stuck.MaxPerUpstream, backlog.MaxPerUpstream = "none", 1, 1
	spreadOf := func(other ...bbrwork.Step) int {
		s := newScene(t, true, "i-1")
		s.accept(otherJob, stuck)
		if len(other) > 0 {
			s.accept(testJob, other...)
		}
		s.advance(time.Minute)
		s.sched.Demand(s.now)
		s.sched.Cancel(testJob, s.now)
		s.advance(time.Minute)
		return s.sched.Demand(s.now).SpreadUpstreams
	}
	require.LessOrEqual(t, spreadOf(backlog), spreadOf())
}
