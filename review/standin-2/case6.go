package main

import (
	"fmt"
	"time"
)

const (
	// memoryMB is limits.memory_mb of the pages: a process that exceeds it is killed.
	memoryMB = 284
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 300 * time.Millisecond
	// scheduledJobs is the number of jobs with occurrences, one a second.
	scheduledJobs = 14
	// manyRuns is the run_count of these jobs: one run a minute for 60 days. fewRuns is
	// that of the run without the disturbance.
	manyRuns, fewRuns = 60 * 24 * 60, 3
	// finish is finish_s of the pages.
	finish = 14 * time.Second
)

// guard plays the platform's memory limit: it kills a process that exceeds it, and starts
// it again.
func (w *world) guard(e *entry, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(100 * time.Millisecond):
		}
		w.mu.Lock()
		mb := e.residentMB()
		e.peakMB = max(e.peakMB, mb)
		if mb <= memoryMB {
			w.mu.Unlock()
			continue
		}
		e.overLimit++
		e.expected = true
		w.logf("entry %s takes %d MB, more than %d: killed, for the %d. time", e.name, mb, memoryMB, e.overLimit)
		e.cmd.Process.Kill()
		done := e.done
		w.mu.Unlock()
		<-done
		time.Sleep(restartDelay)
		select {
		case <-ended:
			return
		default:
		}
		w.mu.Lock()
		e.start()
		w.mu.Unlock()
	}
}

// schedules hands in jobs that run once a minute for 60 days, beside small ordinary jobs.
func schedules(dir, record string, trouble bool) []string {
	w, es := newWorld(dir, record, 8, 4)
	ended := make(chan struct{})
	for _, e := range es {
		go w.guard(e, ended)
	}
	q := queues[0]
	runs := fewRuns
	if trouble {
		runs = manyRuns
	}
	begin := time.Now()
	var small []*job
	scheduled := 0
	for n := 0; time.Since(begin) < 60*time.Second; n++ {
		j := &job{id: newID(), spec: "small", attempts: 3, Steps: []step{{Count: 2, CPU: 500, Mem: 500, Estimate: 400, dur: 400 * time.Millisecond}}}
		small = append(small, j)
		go w.submit(es, q, j)
		if n >= 4 && n < 4+scheduledJobs {
			s := &job{id: newID(), spec: "each minute", attempts: 3, runCount: runs, first: time.Now().Add(time.Hour).UnixMilli(), every: 60_000,
				Steps: []step{{Count: 1, CPU: 500, Mem: 500, Estimate: 400, dur: 400 * time.Millisecond}}}
			if w.submit(es, q, s) {
				scheduled++
			}
		}
		time.Sleep(time.Second)
	}
	// finish_s after the end of the traffic, an accepted job that can run must run.
	time.Sleep(finish)
	w.mu.Lock()
	waiting := make(map[*job]bool)
	for _, j := range small {
		if !j.accepted.IsZero() && !w.begunOrDone(j) {
			waiting[j] = true
		}
	}
	w.mu.Unlock()
	var unknown []string
	for n, j := range small {
		if j.accepted.IsZero() || n%10 != 0 {
			continue
		}
		if status, state := w.state(es[n/10%len(es)], q, j); status != 200 {
			unknown = append(unknown, fmt.Sprintf("%s: %d", j.id, status))
		} else if state == "" {
			unknown = append(unknown, j.id+": no state")
		}
	}
	time.Sleep(3 * time.Second)
	close(ended)
	w.mu.Lock()
	defer func() { w.mu.Unlock(); endAll(es) }()
	accepted, done, lost := 0, 0, 0
	for _, j := range small {
		if !j.accepted.IsZero() {
			accepted++
		}
		if w.isDone(j) {
			done++
		}
		if waiting[j] && !w.begunOrDone(j) {
			lost++
		}
	}
	killed := 0
	for _, e := range es {
		w.logf("entry %s: exceeded its memory %d times, peak %d MB", e.name, e.overLimit, e.peakMB)
		if e.overLimit >= 3 {
			killed++
		}
	}
	w.logf("%d scheduled jobs accepted; small jobs: %d accepted, %d done; %d did not begin within 3 s, %v after the end of the traffic, with all minions idle", scheduled, accepted, done, lost, finish)
	w.logf("queries without an answer: %v", unknown)
	broken := w.breaks
	if lost > 0 {
		broken = append(broken, fmt.Sprintf("LOST: %d accepted jobs have nothing running for 3 s, finish_s after the end of the traffic", lost))
	}
	if killed >= 2 {
		broken = append(broken, fmt.Sprintf("Fault: %d of %d entries exceeded their memory three times or more", killed, len(es)))
	}
	return broken
}

// begunOrDone reports whether a work unit of the job runs, or all are done. The caller holds
// w.mu.
func (w *world) begunOrDone(j *job) bool {
	for i := range j.Steps[0].Count {
		if u := w.units[fmt.Sprintf("%s.0.0.%d", j.id, i)]; u != nil && len(u.active) > 0 {
			return true
		}
	}
	return w.isDone(j)
}

// isDone reports whether all work units of a job of one step are done. The caller holds w.mu.
func (w *world) isDone(j *job) bool {
	for i := range j.Steps[0].Count {
		if u := w.units[fmt.Sprintf("%s.0.0.%d", j.id, i)]; u == nil || u.doneAt.IsZero() {
			return false
		}
	}
	return true
}
