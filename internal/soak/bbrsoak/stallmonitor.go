package bbrsoak

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/standin/bbrfleet"
)

const (
	checkInterval = 100 * time.Millisecond
	// maxCheckGap between two looks is for them to count as one stretch: the machine
	// was too busy else.
	maxCheckGap = 5 * checkInterval
	// maxWait is how long a work unit that could run may wait in calm weather, and
	// lastingWait how long after its last run this begins for one that lasts.
	maxWait          = 3 * time.Second
	longRunningGrace = 6 * time.Second
)

// stallMonitor looks, in calm weather, for work units that could run and do not.
type stallMonitor struct {
	soak      *Soak
	lastCheck time.Time
	// waitingSince has from when each work unit that could run has waited.
	waitingSince map[string]time.Time
}

func newStallMonitor(s *Soak) *stallMonitor {
	return &stallMonitor{soak: s, waitingSince: make(map[string]time.Time)}
}

// run looks until ctx ends.
func (w *stallMonitor) run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.check(w.soak.fleet.Upstreams(), w.soak.fleet.IsDone, time.Now())
		}
	}
}

// check judges what waits beside what the upstreams run.
func (w *stallMonitor) check(upstreams []bbrfleet.Upstream, done func(task string) bool, now time.Time) {
	if now.Sub(w.lastCheck) > maxCheckGap {
		clear(w.waitingSince)
	}
	w.lastCheck = now
	c := w.soak.callers
	c.mu.Lock()
	defer c.mu.Unlock()
	pools, running := c.poolUsage(upstreams)
	for _, job := range c.jobs {
		if job.accepted && !job.cancelled && job.state == "" && !job.stalled {
			w.checkJob(job, pools[job.pool], running, done, now)
		}
	}
}

// checkJob looks at the work units of a job; the callers' mu is held.
func (w *stallMonitor) checkJob(job *submittedJob, pool *usage, running map[string]bool, done func(task string) bool, now time.Time) {
	next, tasks := job.nextStep(done)
	busy := false
	for _, task := range tasks {
		busy = busy || running[task]
	}
	for _, task := range tasks {
		switch since, waits := w.waitingSince[task]; {
		case running[task] && next.LongRunning:
			w.waitingSince[task] = now.Add(longRunningGrace)
		case busy && !next.LongRunning:
			delete(w.waitingSince, task)
		case !pool.hasAmpleFreeCapacity(next):
			w.waitingSince[task] = later(since, now)
		case !waits:
			w.waitingSince[task] = now
		case now.Sub(since) >= maxWait:
			job.stalled = true
			w.soak.callers.reportFaultLocked("%s could run and has waited in calm weather for %v: it needs %d thousandths of a core and %d MB, %s has %d and %d, %d and %d in use",
				task, now.Sub(since).Round(checkInterval), next.MilliCPU, next.MemoryMB, job.pool, pool.capacityMilliCPU, pool.capacityMB, pool.usedMilliCPU, pool.usedMB)
			return
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// usage is the room of a pool and what is in use of it.
type usage struct {
	capacityMilliCPU, capacityMB int
	usedMilliCPU, usedMB         int
}

// hasAmpleFreeCapacity tells whether there is room for a work unit twice over, and under half is
// in use.
func (pool *usage) hasAmpleFreeCapacity(s step) bool {
	return pool != nil && 2*s.MilliCPU <= pool.capacityMilliCPU-pool.usedMilliCPU && 2*s.MemoryMB <= pool.capacityMB-pool.usedMB &&
		2*pool.usedMilliCPU < pool.capacityMilliCPU && 2*pool.usedMB < pool.capacityMB
}

// poolUsage returns the room of each pool and what runs; mu is held.
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

// stepOf returns the step of a work unit; mu is held.
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
