package bbrsoak

import (
	"context"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/standin/bbrfleet"
)

// startMonitor reports accepted jobs that could run and of which nothing runs, or has
// ended, in time after the last fault.
type startMonitor struct {
	soak *Soak
	// lastFault is when the last fault ended.
	lastFault time.Time
	// carried is how long the fleet may take for what waits: to pass all of it over the link
	// of a single entry, and to run it.
	carried   time.Duration
	lastCheck time.Time
	// delayed is the time in which the soak test itself was delayed.
	delayed time.Duration
	// started has the jobs of which a work unit was seen to run, or to have ended.
	started map[string]bool
	// late is the number of jobs that did not start in time.
	late int
}

// maxReportedJobs is how many jobs that did not start in time are reported one by one.
const maxReportedJobs = 5

// newStartMonitor returns a monitor of the jobs that are accepted until now and later.
func newStartMonitor(s *Soak, now time.Time) *startMonitor {
	m := &startMonitor{soak: s, lastFault: now, lastCheck: now, started: make(map[string]bool)}
	c := s.callers
	c.mu.Lock()
	defer c.mu.Unlock()
	var bytes int
	var work time.Duration
	for _, job := range c.jobs {
		if job.accepted && !job.longRunning {
			bytes += base64Size(job.storedBytes)
			work += job.cpuTime()
		}
	}
	m.carried = time.Duration(bytes)*time.Second/linkBytesPerSecond + work/time.Duration(max(1, s.UpstreamCount/len(pools)))*milliCPUPerCore/bbrfleet.CapacityMilliCPU
	return m
}

const milliCPUPerCore = 1000

// base64Size returns the size of so many bytes on the wire.
func base64Size(byteCount int) int { return (byteCount + 2) / 3 * 4 }

// run checks periodically until ctx ends.
func (m *startMonitor) run(ctx context.Context) {
	checkRegularly(ctx, checkInterval, func() { m.check(m.soak.fleet.Upstreams(), m.soak.fleet.IsDone, time.Now()) })
}

// finish reports how many jobs did not start in time, if not all were reported.
func (m *startMonitor) finish() {
	if m.late > maxReportedJobs {
		m.soak.callers.reportFault("%d jobs that could run did not start in time after the last fault", m.late)
	}
}

// limit returns how long a job may wait for its start after the last fault: until its
// shard is loaded, until work starts, and for what waits beside it.
func (m *startMonitor) limit() time.Duration { return takeoverLimit + maxWait + m.carried + m.delayed }

// check looks for accepted jobs whose time has passed.
func (m *startMonitor) check(upstreams []bbrfleet.Upstream, done func(task string) bool, now time.Time) {
	if gap := now.Sub(m.lastCheck); gap > maxCheckGap {
		m.delayed += gap
	}
	m.lastCheck = now
	c := m.soak.callers
	c.mu.Lock()
	defer c.mu.Unlock()
	_, running := c.poolUsage(upstreams)
	for _, job := range c.jobs {
		if !job.accepted || job.cancelled || job.stalled || job.state != "" || m.started[job.id] {
			continue
		}
		if job.anyUnit(func(task string) bool { return running[task] || done(task) }) {
			m.started[job.id] = true
		} else if waited := now.Sub(later(m.lastFault, job.acceptedAt)); waited > m.limit() {
			job.stalled = true
			if m.late++; m.late > maxReportedJobs {
				continue
			}
			c.reportFaultLocked("%s job %s in pool %s was accepted at %s and could run, but nothing of it runs %v after the last fault, limit %v", now.Format(clockFormat), job.id, job.pool,
				job.acceptedAt.Format(clockFormat), now.Sub(m.lastFault).Round(checkInterval), m.limit().Round(checkInterval))
		}
	}
}
