package bbrsoak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/standin/bbrfleet"
)

// TestMonitorReportsStalledWork checks when waiting work is reported as stalled.
func TestMonitorReportsStalledWork(t *testing.T) {
	small := step{Count: 2, MilliCPU: 1000, MemoryMB: 9000}
	longRunning := step{Count: 2, MilliCPU: 100, MemoryMB: 6000, LongRunning: true}
	wide := step{Count: 1, MilliCPU: 1000, MemoryMB: bbrfleet.CapacityMB * 4 / 3}
	for _, test := range []struct {
		name      string
		step      step
		others    int
		runs      []string
		cancelled bool
		// after is the time at which the fault is reported; 0 for never.
		after time.Duration
	}{
		{name: "waits beside other work", step: small, others: 3, after: maxWait},
		{name: "half in use", step: small, others: 4},
		{name: "capacity for one only", step: wide, others: 3},
		{name: "another work unit of its job runs", step: small, runs: []string{"job.0.0.1"}},
		{name: "cancelled", step: small, cancelled: true},
		{name: "long-running work beside another unit of its job", step: longRunning, runs: []string{"job.0.0.1"}, after: maxWait},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &Soak{}
			s.callers = newCallers(s)
			s.callers.jobs["job"] = &submittedJob{id: "job", pool: "press", steps: []step{test.step}, accepted: true, cancelled: test.cancelled}
			s.callers.jobs["other"] = &submittedJob{id: "other", pool: "press", steps: []step{{Count: 4, MilliCPU: 1000, MemoryMB: 8000}}, accepted: true}
			upstreams := []bbrfleet.Upstream{{Pool: "press", Tasks: test.runs}, {Pool: "press"}, {Pool: "press"}, {Pool: "press"}, {Pool: "proofs"}}
			for i := range test.others {
				upstreams[i].Tasks = append(upstreams[i].Tasks, "other.0.0."+string(rune('0'+i)))
			}
			done := func(task string) bool { return task[:5] == "other" }

			monitor := newStallMonitor(s)
			now := time.UnixMilli(0)
			reported := time.Duration(0)
			for elapsed := time.Duration(0); elapsed < 2*longRunningGrace && reported == 0; elapsed += checkInterval {
				monitor.check(upstreams, done, now.Add(elapsed))
				if len(s.callers.faults) > 0 {
					reported = elapsed
				}
			}
			require.Equal(t, test.after, reported)
		})
	}
}

// TestMonitorGivesLongRunningWorkTimeToRestart checks that long-running work that ran
// before is reported only after its grace period.
func TestMonitorGivesLongRunningWorkTimeToRestart(t *testing.T) {
	s := &Soak{}
	s.callers = newCallers(s)
	s.callers.jobs["job"] = &submittedJob{id: "job", pool: "press", steps: []step{{Count: 1, MilliCPU: 100, MemoryMB: 100, LongRunning: true}}, accepted: true}
	notDone := func(string) bool { return false }
	monitor := newStallMonitor(s)
	lastRun := time.UnixMilli(0)
	monitor.check([]bbrfleet.Upstream{{Pool: "press", Tasks: []string{"job.0.0.0"}}}, notDone, lastRun)
	for elapsed := checkInterval; elapsed < longRunningGrace+maxWait; elapsed += checkInterval {
		monitor.check([]bbrfleet.Upstream{{Pool: "press"}}, notDone, lastRun.Add(elapsed))
	}
	require.Empty(t, s.callers.faults)
	monitor.check([]bbrfleet.Upstream{{Pool: "press"}}, notDone, lastRun.Add(longRunningGrace+maxWait))
	require.Len(t, s.callers.faults, 1)
}

// TestMonitorResetsAfterGap checks that time without checks does not count as waiting.
func TestMonitorResetsAfterGap(t *testing.T) {
	s := &Soak{}
	s.callers = newCallers(s)
	s.callers.jobs["job"] = &submittedJob{id: "job", pool: "press", steps: []step{{Count: 1, MilliCPU: 100, MemoryMB: 100}}, accepted: true}
	monitor := newStallMonitor(s)
	now := time.UnixMilli(0)
	for range 4 {
		monitor.check([]bbrfleet.Upstream{{Pool: "press"}}, func(string) bool { return false }, now)
		now = now.Add(maxWait / 2)
	}
	require.Empty(t, s.callers.faults)
}
