package bbrsoak

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/standin/bbrfleet"
)

const (
	checkInterval = 100 * time.Millisecond
	// maxCheckGap is the maximum time between two checks of one observation period. A
	// longer gap means that the machine was too busy, and observation starts anew.
	maxCheckGap = 5 * checkInterval
	// maxWait is how long a work unit that could run may wait when there are no faults.
	// For a long-running one, this time starts longRunningGrace after its last run.
	maxWait          = 3 * time.Second
	longRunningGrace = 6 * time.Second
	// calmBefore is how long there must have been no faults before the wait of
	// long-running work counts while faults are injected.
	calmBefore = 4 * time.Second
	// loggedGap is the time without a run from which a monitor of long-running work logs
	// that a work unit runs again.
	loggedGap = 2 * time.Second
)

// stallMonitor reports work units that could run but do not, while there are no faults.
type stallMonitor struct {
	soak *Soak
	// disturbances restricts the monitor to long-running work that ran before, and lets
	// its wait count from calmBefore after the last fault. It is nil for a monitor that
	// runs without faults.
	disturbances *disturbances
	lastCheck    time.Time
	// waitingSince is the time since which each work unit that could run has waited.
	waitingSince map[string]time.Time
	// lastRun is when each long-running work unit was last seen to run.
	lastRun map[string]time.Time
}

func newStallMonitor(s *Soak) *stallMonitor {
	return &stallMonitor{soak: s, waitingSince: make(map[string]time.Time), lastRun: make(map[string]time.Time)}
}

// run checks periodically until ctx ends.
func (m *stallMonitor) run(ctx context.Context) {
	checkRegularly(ctx, checkInterval, func() { m.check(m.soak.fleet.Upstreams(), m.soak.fleet.IsDone, time.Now()) })
}

// check compares the waiting work units with what the upstreams run.
func (m *stallMonitor) check(upstreams []bbrfleet.Upstream, done func(task string) bool, now time.Time) {
	if now.Sub(m.lastCheck) > maxCheckGap {
		m.startAnew(now)
	}
	m.lastCheck = now
	c := m.soak.callers
	c.mu.Lock()
	defer c.mu.Unlock()
	pools, running := c.poolUsage(upstreams)
	for _, job := range c.jobs {
		// The runs of a crashing job are too short to be seen.
		if job.accepted && !job.crashing && !job.cancelled && job.state == "" && !job.stalled {
			m.checkJob(job, pools[job.pool], running, done, now)
		}
	}
}

// describeLastRun returns how long ago a long-running work unit ran.
func (m *stallMonitor) describeLastRun(task string, now time.Time) string {
	last, ran := m.lastRun[task]
	if !ran {
		return ""
	}
	return fmt.Sprintf(", %v after its last run", now.Sub(last).Round(checkInterval))
}

// startAnew discards the waits observed so far. While faults are injected, each work unit
// that ran before has its whole grace period again.
func (m *stallMonitor) startAnew(now time.Time) {
	if m.disturbances == nil {
		clear(m.waitingSince)
	}
	for task := range m.waitingSince {
		m.waitingSince[task] = now.Add(longRunningGrace)
	}
}

// ignores reports whether a step's work unit that is not running is not monitored.
func (m *stallMonitor) ignores(s step, ran bool) bool {
	return m.disturbances != nil && !(s.LongRunning && ran)
}

// checkJob checks the work units of a job. The caller must hold the callers' mu.
func (m *stallMonitor) checkJob(job *submittedJob, pool *usage, running map[string]bool, done func(task string) bool, now time.Time) {
	next, tasks := job.nextStep(done)
	busy := false
	for _, task := range tasks {
		busy = busy || running[task]
	}
	for _, task := range tasks {
		since, waits := m.waitingSince[task]
		if m.disturbances != nil {
			since = later(since, m.disturbances.calmSince(now).Add(calmBefore))
		}
		switch {
		case running[task] && next.LongRunning:
			m.noteRun(task, now)
		case m.ignores(next, waits):
		case busy && !next.LongRunning:
			delete(m.waitingSince, task)
		case !pool.hasAmpleFreeCapacity(next):
			m.waitingSince[task] = later(since, now)
		case !waits:
			m.waitingSince[task] = now
		case now.Sub(since) >= maxWait:
			job.stalled = true
			m.soak.callers.reportFaultLocked("%s work unit %s could run, but has waited for %v without faults%s: it needs %d millicores and %d MB, pool %s has %d and %d, of which %d and %d are in use",
				now.Format(clockFormat), task, now.Sub(since).Round(checkInterval), m.describeLastRun(task, now), next.MilliCPU, next.MemoryMB, job.pool, pool.capacityMilliCPU, pool.capacityMB, pool.usedMilliCPU, pool.usedMB)
			return
		}
	}
}

// noteRun starts the grace period of a long-running work unit that runs.
func (m *stallMonitor) noteRun(task string, now time.Time) {
	last, ran := m.lastRun[task]
	if gap := now.Sub(last); m.disturbances != nil && ran && gap >= loggedGap {
		fmt.Fprintf(m.soak.Out, "%s work unit %s runs again, after %v\n", now.Format(clockFormat), task, gap.Round(checkInterval))
	}
	m.lastRun[task], m.waitingSince[task] = now, now.Add(longRunningGrace)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// usage is the capacity of a pool and how much of it is in use.
type usage struct {
	capacityMilliCPU, capacityMB int
	usedMilliCPU, usedMB         int
}

// hasAmpleFreeCapacity reports whether the pool could take a work unit twice and less
// than half of its capacity is in use.
func (pool *usage) hasAmpleFreeCapacity(s step) bool {
	return pool != nil && 2*s.MilliCPU <= pool.capacityMilliCPU-pool.usedMilliCPU && 2*s.MemoryMB <= pool.capacityMB-pool.usedMB &&
		2*pool.usedMilliCPU < pool.capacityMilliCPU && 2*pool.usedMB < pool.capacityMB
}

// poolUsage returns the usage of each pool and the set of running work units. The caller
// must hold mu.
func (c *callers) poolUsage(upstreams []bbrfleet.Upstream) (pools map[string]*usage, running map[string]bool) {
	pools, running = make(map[string]*usage), make(map[string]bool)
	for _, up := range upstreams {
		pool := pools[up.Pool]
		if pool == nil {
			pool = &usage{}
			pools[up.Pool] = pool
		}
		pool.capacityMilliCPU += bbrfleet.CapacityMilliCPU
		pool.capacityMB += bbrfleet.CapacityMB
		for _, task := range up.Tasks {
			running[task] = true
			s := c.stepOf(task)
			pool.usedMilliCPU += s.MilliCPU
			pool.usedMB += s.MemoryMB
		}
	}
	return pools, running
}

// stepOf returns the step of a work unit. The caller must hold mu.
func (c *callers) stepOf(task string) step {
	parts := strings.Split(task, ".")
	job := c.jobs[parts[0]]
	if job == nil || len(parts) < 3 {
		return step{}
	}
	number, err := strconv.Atoi(parts[2])
	if err != nil || number >= len(job.steps) {
		return step{}
	}
	return job.steps[number]
}
