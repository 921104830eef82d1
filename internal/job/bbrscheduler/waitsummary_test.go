package bbrscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// loggedWaits returns the work units whose wait was logged since the last call.
func (s *scene) loggedWaits() []string {
	var units []string
	notes, _ := s.sched.Notes()
	for _, note := range notes {
		if note.Text == "Work unit waits" {
			units = append(units, note.Fields[3].(string))
		}
	}
	return units
}

// newWaitingScene returns a scene with steps of two work units that do not fit
// beside the long-running work.
func newWaitingScene(t *testing.T, jobs int) *scene {
	s := newScene(t, true, "i-1", "i-2")
	s.plan()
	fillWithLongRunning(s, 3000)
	for number := range jobs {
		s.accept(jobID(number), bbrwork.Step{Count: 2, Need: bbrwork.Resources{MilliCPU: 1000, MemoryMB: 5000}, Estimate: time.Second})
		s.advance(time.Millisecond)
	}
	return s
}

// TestSlowWaitIsLoggedOnce checks that a step is logged once and each of its work
// units counted once when their wait becomes a slow one.
func TestSlowWaitIsLoggedOnce(t *testing.T) {
	s := newWaitingScene(t, 1)
	accepted := s.sched.jobs[jobID(0)].Accepted
	name := bbrwork.Unit{Job: jobID(0)}
	for second := range 6 {
		now := accepted.Add(time.Duration(second) * time.Second)
		waits := s.sched.Load(true, now).Waits
		require.Equal(t, 2, waits.Units)
		require.Equal(t, Wait{Unit: name, Since: accepted, Reason: ReasonCapacityFragmented, WaitsFor: AwaitsUpstream, Responsible: ResponsibleFleetLeader}, waits.Oldest)
		require.Equal(t, map[Reason]time.Duration{ReasonCapacityFragmented: time.Duration(second) * time.Second}, waits.LongestByReason)
		if second == 3 {
			require.Equal(t, map[Reason]int{ReasonCapacityFragmented: 2}, waits.SlowByReason)
			require.Equal(t, []string{name.String()}, s.loggedWaits())
			continue
		}
		require.Zero(t, waits.SlowByReason[ReasonCapacityFragmented])
		require.Empty(t, s.loggedWaits())
	}
}

// TestSlowWaitLoggingIsBounded checks that a large number of steps is logged in
// portions, and that the steps that have waited longest are evaluated first.
func TestSlowWaitLoggingIsBounded(t *testing.T) {
	const jobs = maxEvaluated + maxLogged
	s := newWaitingScene(t, jobs)
	s.advance(slowWait)
	waits := s.sched.Load(true, s.now).Waits
	require.Equal(t, 2*jobs, waits.Units)
	require.Equal(t, jobID(0), waits.Oldest.Unit.Job)
	require.Equal(t, map[Reason]int{ReasonCapacityFragmented: 2 * maxEvaluated, ReasonNotEvaluated: 2 * maxLogged}, waits.SlowByReason)
	require.Less(t, waits.LongestByReason[ReasonNotEvaluated], waits.LongestByReason[ReasonCapacityFragmented])
	logged := s.loggedWaits()
	require.Len(t, logged, maxLogged)
	require.Equal(t, jobID(0)+".0.0.0", logged[0])
	s.sched.Load(true, s.now)
	require.Equal(t, jobID(maxLogged)+".0.0.0", s.loggedWaits()[0])
}

// TestLoadSeparatesLongRunningUsage checks that Load distinguishes capacity that
// long-running work takes from capacity that becomes free again, and a large sum
// from a large single piece.
func TestLoadSeparatesLongRunningUsage(t *testing.T) {
	s := newWaitingScene(t, 0)
	s.runOn(jobID(1), "i-2", bbrwork.Resources{MilliCPU: 300, MemoryMB: 1000}, false)
	load := s.sched.Load(true, s.now)
	require.Equal(t, bbrwork.Resources{MilliCPU: 1000, MemoryMB: 10000}, load.LongRunning)
	require.Equal(t, bbrwork.Resources{MilliCPU: 1300, MemoryMB: 11000}, load.Used)
	require.Equal(t, bbrwork.Resources{MilliCPU: 3500, MemoryMB: 3000}, load.LargestFree)
	require.Equal(t, 2, load.Usable)
	require.Zero(t, load.Waits.Oldest)
	s.sched.SetReserved(map[string]bool{"i-1": true}, s.now)
	load = s.sched.Load(true, s.now)
	require.Equal(t, bbrwork.Resources{MilliCPU: 3200, MemoryMB: 2000}, load.LargestFree)
	require.Equal(t, 1, load.Usable)
}

// TestIneligibleUnitsDoNotCountAsWaiting checks that work that is not due or
// depends on other work does not count as waiting.
func TestIneligibleUnitsDoNotCountAsWaiting(t *testing.T) {
	s := newWaitingScene(t, 0)
	second := unitStep(3)
	second.DependsOn = []int{0}
	s.accept(jobID(1), unitStep(1), second)
	s.sched.AddJob(&bbrwork.Job{
		ID: jobID(2), Service: "press", Steps: []bbrwork.Step{unitStep(1)}, Accepted: s.now,
		Schedule: bbrwork.Schedule{Count: 1, First: s.now.Add(time.Minute)},
	}, 0, nil, s.now)
	require.Equal(t, 1, s.sched.Load(true, s.now).Waits.Units)
}

// TestLoadAndExplainRequestNothing checks that Load and Explain make nothing
// urgent.
func TestLoadAndExplainRequestNothing(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.acceptStored(testJob, 1000)
	require.Equal(t, ReasonBeyondHorizon, s.sched.Load(true, s.now).Waits.Oldest.Reason)
	s.sched.Explain(testJob, true, s.now)
	require.False(t, s.sched.Urgent())
}

// TestUnconfirmedClaimIsTheReasonOfAllWaits checks that an owner that may have been
// replaced does not attribute waits to the upstreams.
func TestUnconfirmedClaimIsTheReasonOfAllWaits(t *testing.T) {
	s := newWaitingScene(t, 3)
	s.advance(time.Second)
	waits := s.sched.Load(false, s.now).Waits
	require.Len(t, waits.LongestByReason, 1)
	require.Contains(t, waits.LongestByReason, ReasonClaimUnconfirmed)
}

// loggedWaitFields returns the fields of the waits that a summary logs now, by work unit.
func (s *scene) loggedWaitFields() map[string]map[string]any {
	s.sched.Notes()
	s.sched.Load(true, s.now)
	notes, _ := s.sched.Notes()
	waits := make(map[string]map[string]any)
	for _, note := range notes {
		if note.Text != "Work unit waits" {
			continue
		}
		fields := make(map[string]any)
		for i := 0; i < len(note.Fields); i += 2 {
			fields[note.Fields[i].(string)] = note.Fields[i+1]
		}
		waits[fields["unit"].(string)] = fields
	}
	return waits
}

// runAndDrop gives a work unit of the first step of testJob a run for a time.
func (s *scene) runAndDrop(index int, on string, lasting time.Duration) {
	r := s.sched.addRun(s.sched.jobs[testJob].occurrences[0].steps[0].units[index], 7, s.sched.upstreams[on], s.now)
	s.advance(lasting)
	s.sched.dropRun(r, s.now)
}

// TestEachLongRunningWaitIsLogged guards against a long-running work unit whose wait is
// never logged, since another unit of its step runs, the step was logged before, or many
// steps of finite work wait longer.
func TestEachLongRunningWaitIsLogged(t *testing.T) {
	s := newScene(t, true, "i-1")
	step := unitStep(2)
	step.LongRunning = true
	s.accept(testJob, step)
	plan := s.plan()
	require.Len(t, plan.Starts, 2)
	s.answerStarts(plan, nil)
	s.sched.SetReserved(map[string]bool{"i-1": true}, s.now)
	for number := range maxEvaluated + maxLogged {
		s.accept(jobID(number), unitStep(1))
	}
	units := s.sched.jobs[testJob].occurrences[0].steps[0].units
	first, second := unitName(0).String(), unitName(1).String()
	s.advance(slowWait)
	require.NotContains(t, s.loggedWaitFields(), first, "it runs")

	s.sched.dropRun(units[0].runs[0], s.now)
	s.advance(slowWait - time.Millisecond)
	require.NotContains(t, s.loggedWaitFields(), first)
	s.advance(time.Millisecond)
	fields := s.loggedWaitFields()[first]
	require.NotNil(t, fields, "the other unit runs, and %d steps wait longer", maxEvaluated+maxLogged)
	require.Equal(t, 1, fields["running"])
	require.Equal(t, 1, fields["waiting"])
	require.Equal(t, "3s", fmt.Sprint(fields["waited"]))
	require.Equal(t, ReasonNoUsableUpstream, fields["reason"])

	s.sched.dropRun(units[1].runs[0], s.now)
	s.advance(slowWait)
	waits := s.loggedWaitFields()
	require.Contains(t, waits, second, "the step was logged before")
	require.Zero(t, waits[second]["running"])
	require.NotContains(t, waits, first, "this wait is logged already")

	s.runAndDrop(0, "i-1", time.Second)
	s.advance(slowWait)
	waits = s.loggedWaitFields()
	require.Contains(t, waits, first, "it waits again after a run")
	require.NotContains(t, waits, second)
}

// TestLongRunningWaitLoggingIsBounded checks that the waits of many long-running units are
// logged in portions.
func TestLongRunningWaitLoggingIsBounded(t *testing.T) {
	s := newScene(t, true)
	step := unitStep(maxLogged + 5)
	step.LongRunning = true
	s.accept(testJob, step)
	s.advance(slowWait)
	require.Len(t, s.loggedWaitFields(), maxLogged)
	require.Len(t, s.loggedWaitFields(), 5)
	require.Empty(t, s.loggedWaitFields())
}

// TestFiniteWaitIsLoggedAgainAfterARun guards against a step of finite work whose later
// waits are never logged.
func TestFiniteWaitIsLoggedAgainAfterARun(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.accept(testJob, unitStep(1))
	s.advance(slowWait)
	require.Len(t, s.loggedWaitFields(), 1)
	s.runAndDrop(0, "i-1", time.Second)
	s.advance(slowWait - time.Millisecond)
	require.Empty(t, s.loggedWaitFields())
	s.advance(time.Millisecond)
	require.Len(t, s.loggedWaitFields(), 1)
	require.Empty(t, s.loggedWaitFields())
}
