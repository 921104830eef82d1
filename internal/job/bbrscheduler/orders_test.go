package bbrscheduler

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// acceptWithProgress adds a job of one step with stored progress.
func (s *scene) acceptWithProgress(step bbrwork.Step, progress string) {
	job := &bbrwork.Job{ID: testJob, Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{step}, Accepted: s.now}
	s.sched.AddJob(job, 5, []byte(progress), s.now)
}

// TestLongRunningWorkStartsAgainOnceItsRunNumberIsStored guards against a start that a
// successor does not know of.
func TestLongRunningWorkStartsAgainOnceItsRunNumberIsStored(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.accept(testJob, longRunningStep(1))
	require.Empty(t, s.sched.Plan(true, s.now).Starts)
	s.store()
	require.Empty(t, s.sched.Plan(true, s.now).Starts, "the first start is not stored")
	first := s.store()
	require.Len(t, first, 1)
	require.Contains(t, string(first[0].Progress), `"ordered":{"0":1},"targets":{"0":"i-1"}`)
	s.answerStarts(s.plan(), nil)
	answered := s.store()
	require.Len(t, answered, 1)
	require.NotContains(t, string(answered[0].Progress), "targets")
	s.list("i-1", bbrwork.RunEnd{Sequence: 1, Unit: unitName(0), Run: 1, Outcome: bbrwork.OutcomeStopped})
	for range 3 {
		s.advance(100 * time.Millisecond)
		require.Empty(t, s.sched.Plan(true, s.now).Starts)
		require.True(t, s.sched.Urgent())
	}
	batch := s.sched.Batch(10, s.now)
	require.True(t, batch.StoresOrders())
	require.Len(t, batch.Writes, 1)
	require.Contains(t, string(batch.Writes[0].Progress), `"ordered":{"0":2},"targets":{"0":"i-1"}`)
	s.sched.ApplyStored(batch, 7, s.now)
	starts := s.sched.Plan(true, s.now).Starts
	require.Len(t, starts, 1)
	require.Equal(t, 2, starts[0].Start.Run)
	require.False(t, s.sched.Batch(10, s.now).StoresOrders())
}

// TestLastOrderedRunLocatesWork guards against starting long-running work that may run on
// a silent upstream: only the end of the last run that can have been ordered tells that it
// does not. Records of earlier versions, and records that are not complete, tell nothing.
func TestLastOrderedRunLocatesWork(t *testing.T) {
	duplicates := longRunningStep(1)
	duplicates.AllowDuplicates = true
	const third = `{"occurrences":{"0":[{"last":{"0":2},"ordered":{"0":3}}]}}`
	tests := map[string]struct {
		step     bbrwork.Step
		stored   bool
		progress string
		run      int
		starts   int
	}{
		"first run, nothing stored":   {step: longRunningStep(1), stored: true, run: 1, starts: 1},
		"run above the stored ones":   {step: longRunningStep(1), stored: true, run: 2},
		"last stored run":             {step: longRunningStep(1), stored: true, progress: third, run: 3, starts: 1},
		"run below the last stored":   {step: longRunningStep(1), stored: true, progress: third, run: 2},
		"compact form":                {step: longRunningStep(1), stored: true, progress: `{"compact":{"done":"AA==","ordered":{"0":3}}}`, run: 3, starts: 1},
		"numbers of earlier version":  {step: longRunningStep(1), progress: third, run: 3},
		"nothing of earlier version":  {step: longRunningStep(1), run: 1},
		"numbers left out":            {step: longRunningStep(1), stored: true, progress: `{"ordersUnknown":true}`, run: 1},
		"malformed progress":          {step: longRunningStep(1), stored: true, progress: `{"occurrences":`, run: 1},
		"finite work is not recorded": {step: unitStep(1), stored: true, run: 1},
		"duplicates":                  {step: duplicates, stored: true, run: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newScene(t, false, "i-1")
			s.acceptWithProgress(test.step, test.progress)
			s.sched.InheritOrders(test.stored)
			loadAll(s.sched, []bbrwork.Upstream{s.upstream("i-1"), s.upstream("i-silent")}, 500, s.now)
			s.register("i-1")
			s.list("i-1", bbrwork.RunEnd{Sequence: 1, Unit: unitName(0), Run: test.run, Outcome: bbrwork.OutcomeLeaseExpired})
			for range 3 {
				s.advance(10 * time.Millisecond)
				if starts := s.plan().Starts; len(starts) > 0 {
					require.Greater(t, starts[0].Start.Run, 16, "the number differs from those of earlier owners")
					require.Equal(t, 1, test.starts)
					return
				}
			}
			require.Zero(t, test.starts)
		})
	}
}

// TestRunNumbersOfEarlierVersionAreStored guards against an owner that promises its
// successor complete run numbers although its predecessor did not store them: only once
// all work is located, and the numbers of what runs are stored, are they complete.
func TestRunNumbersOfEarlierVersionAreStored(t *testing.T) {
	s := newScene(t, false)
	s.acceptWithProgress(longRunningStep(1), "")
	s.sched.InheritOrders(false)
	loadAll(s.sched, []bbrwork.Upstream{s.upstream("i-1"), s.upstream("i-2")}, 500, s.now)
	s.listRunning("i-1", []bbrwork.Run{{Unit: unitName(0), Number: 3}})
	require.False(t, s.sched.Batch(10, s.now).OrdersStored)
	s.list("i-2")
	batch := s.sched.Batch(10, s.now)
	require.False(t, batch.OrdersStored, "the number of the run is not stored yet")
	s.sched.ApplyStored(batch, 7, s.now)
	batch = s.sched.Batch(10, s.now)
	require.Len(t, batch.Writes, 1)
	require.Contains(t, string(batch.Writes[0].Progress), `"ordered":{"0":3}`)
	require.False(t, batch.OrdersStored)
	s.sched.ApplyStored(batch, 8, s.now)
	require.True(t, s.sched.Batch(10, s.now).OrdersStored)
}

// TestRunNumbersThatExceedTheLargestValueAreUnknown guards against a successor that takes
// run numbers that found no room for run 1.
func TestRunNumbersThatExceedTheLargestValueAreUnknown(t *testing.T) {
	const count = 200
	s := newScene(t, true)
	s.accept(testJob, longRunningStep(count))
	for i := range count {
		s.unit(testJob, 0).step.units[i].restoreOrdered(1000+i, "")
	}
	for _, test := range []struct {
		maxBytes int
		unknown  bool
	}{{100_000, false}, {5000, false}, {1000, true}} {
		data, _ := s.sched.jobs[testJob].progress(test.maxBytes)
		require.LessOrEqual(t, len(data), test.maxBytes)
		var stored Progress
		require.NoError(t, json.Unmarshal(data, &stored))
		require.Equal(t, test.unknown, stored.OrdersUnknown, fmt.Sprint(test.maxBytes))
		again := restored(t, s.sched.jobs[testJob].Job, data, s.now)
		require.Equal(t, test.unknown, again.ordersUnknown)
		if !test.unknown {
			require.Equal(t, 1007, again.findUnit(unitName(7)).stored().ordered)
		}
	}
}
