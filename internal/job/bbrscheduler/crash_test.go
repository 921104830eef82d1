package bbrscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// crashDay is a load of small jobs on eight upstreams, in which some jobs have a work
// unit that crashes each upstream on which it starts.
type crashDay struct {
	*driver
	owner *simOwner
	// crashingJobs has the jobs with such a work unit.
	crashingJobs map[string]bool
}

func newCrashDay(t *testing.T) *crashDay {
	day := &crashDay{
		driver:       &driver{sim: newSimulation("i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8")},
		crashingJobs: make(map[string]bool),
	}
	day.owner = day.sim.claim()
	return day
}

// accept adds a job of equal work units, of which the first crashes its upstreams if
// crashing is set.
func (day *crashDay) accept(count int, crashing bool) string {
	day.jobs++
	id := fmt.Sprintf("%016x", day.jobs)
	day.sim.store.revision++
	day.sim.store.jobRevisions[id] = day.sim.store.revision
	day.sim.store.jobs[id] = &bbrwork.Job{ID: id, Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{unitStep(count)}, Accepted: day.sim.now}
	if crashing {
		day.sim.crashing[bbrwork.Unit{Job: id}] = true
		day.crashingJobs[id] = true
	}
	day.owner.addJob(id)
	return id
}

// round plays a round without faults but crashes.
func (day *crashDay) round() {
	for _, incarnation := range day.owner.sched.Unverified(day.sim.now) {
		if up := day.sim.upstreams[incarnation.ID]; !up.alive || up.registration.Incarnation != incarnation {
			day.owner.sched.EndIncarnation(incarnation, "the platform lists it no more", day.sim.now)
		}
	}
	day.faultFreeRound(day.owner)
}

// rounds plays rounds for the time, or until all jobs have ended.
func (day *crashDay) rounds(d time.Duration) {
	for end := day.sim.now.Add(d); day.sim.now.Before(end) && len(day.sim.store.final) < len(day.sim.store.jobs); {
		day.round()
	}
}

// requireOutcomes requires that all jobs have ended, those that crash upstreams as
// failed and all others as completed.
func (day *crashDay) requireOutcomes(t *testing.T) {
	require.Empty(t, day.sim.violations)
	for id := range day.sim.store.jobs {
		want := bbrwork.Completed
		if day.crashingJobs[id] {
			want = bbrwork.Failed
		}
		require.Equal(t, want, day.sim.store.final[id], "job %s", id)
	}
}

func TestWorkThatCrashesUpstreamsIsGivenUpAloneAndInTime(t *testing.T) {
	day := newCrashDay(t)
	for number := range 120 {
		day.accept(4, number%15 == 7)
		day.round()
	}
	day.rounds(time.Minute)
	day.requireOutcomes(t)
}
