package bbrsoak

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
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

// TestMonitorDuringFaultsChecksLongRunningWork guards against a check that finds long-running
// work without a run only after all faults have ended, and against one that finds it while a
// fault excuses it.
func TestMonitorDuringFaultsChecksLongRunningWork(t *testing.T) {
	const limit = 30 * time.Second
	longRunning := step{Count: 1, MilliCPU: 100, MemoryMB: 100, LongRunning: true}
	for _, test := range []struct {
		name      string
		step      step
		neverRan  bool
		cancelled bool
		// faultFrom and faultUntil are when a fault is active; both 0 for none.
		faultFrom, faultUntil time.Duration
		// gapFrom and gapUntil are when the monitor does not check.
		gapFrom, gapUntil time.Duration
		// after is the time at which the fault is reported; 0 for never.
		after time.Duration
	}{
		{name: "calm", step: longRunning, after: longRunningGrace + maxWait},
		{name: "fault early in the grace period", step: longRunning, faultUntil: 2 * time.Second, after: longRunningGrace + maxWait},
		{name: "fault late in the grace period", step: longRunning, faultFrom: time.Second, faultUntil: 5 * time.Second, after: 5*time.Second + calmBefore + maxWait},
		{name: "fault in the last seconds", step: longRunning, faultFrom: 8 * time.Second, faultUntil: 8500 * time.Millisecond, after: 8500*time.Millisecond + calmBefore + maxWait},
		{name: "fault all the time", step: longRunning, faultUntil: 2 * limit},
		{name: "never ran", step: longRunning, neverRan: true},
		{name: "cancelled", step: longRunning, cancelled: true},
		{name: "finite work", step: step{Count: 1, MilliCPU: 100, MemoryMB: 100}},
		{name: "late monitor", step: longRunning, gapFrom: 7 * time.Second, gapUntil: 8 * time.Second, after: 8*time.Second + longRunningGrace + maxWait},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &Soak{Out: io.Discard}
			s.callers = newCallers(s)
			s.callers.jobs["job"] = &submittedJob{id: "job", pool: "press", steps: []step{test.step}, accepted: true, cancelled: test.cancelled}
			monitor := newStallMonitor(s)
			monitor.disturbances = &disturbances{}
			start := time.UnixMilli(0).Add(time.Hour)
			ran := []string{"job.0.0.0"}
			if test.neverRan {
				ran = nil
			}
			notDone := func(string) bool { return false }
			monitor.check([]bbrfleet.Upstream{{Pool: "press", Tasks: ran}}, notDone, start)
			reported := time.Duration(0)
			for elapsed := time.Duration(0); elapsed < limit && reported == 0; elapsed += checkInterval {
				if elapsed == test.faultFrom && test.faultUntil > 0 {
					monitor.disturbances.begin()
				}
				if elapsed == test.faultUntil && test.faultUntil > 0 {
					monitor.disturbances.end(start.Add(elapsed))
				}
				if elapsed > test.gapFrom && elapsed < test.gapUntil {
					continue
				}
				monitor.check([]bbrfleet.Upstream{{Pool: "press"}}, notDone, start.Add(elapsed))
				if len(s.callers.faults) > 0 {
					reported = elapsed
				}
			}
			require.Equal(t, test.after, reported)
		})
	}
}

// TestOwnersAreListed guards against a slow owner that is chosen among entries that own no
// shard.
func TestOwnersAreListed(t *testing.T) {
	s := &Soak{fleet: bbrfleet.New(t.Context(), bbrfleet.Config{}), entries: []*entry{{name: "e1"}, {name: "e2"}, {name: "e3"}}}
	require.Empty(t, s.owners())
	s.fleet.Put(bbrclaim.ClaimKey(bbrclaim.LeadershipName), []byte(`{"entry":"e1"}`))
	s.fleet.Put(bbrclaim.ClaimKey("press/0"), []byte(`{"entry":"e3"}`))
	s.fleet.Put(bbrclaim.ClaimKey("proofs/0"), []byte(`{"entry":"e3"}`))
	require.Equal(t, []*entry{s.entries[2]}, s.owners())
}
