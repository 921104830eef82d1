package main

import (
	"fmt"
	"time"
)

const (
	// smallJobs is the number of jobs that wait, each of one work unit of two cores.
	smallJobs = 8
	// fullJobs is the number of minions that are full.
	fullJobs = 7
)

// failedStarts fills all minions but one, and loses that one just before further jobs come:
// they wait, as their starts fail and there is no other room.
func failedStarts(dir, record string, trouble bool) []string {
	w, es := newWorld(dir, record, fullJobs+1, 3)
	for n := range fullJobs {
		j := &job{id: newID(), spec: "long", attempts: 3, Steps: []step{{Count: 1, CPU: 16000, Mem: 1000, Estimate: longTime.Milliseconds(), dur: longTime}}}
		w.submit(es, queues[n%2], j)
	}
	time.Sleep(6 * time.Second)
	w.mu.Lock()
	var idle []*minion
	for _, m := range w.minions {
		if m.state == "up" && len(m.run) == 0 {
			idle = append(idle, m)
		}
	}
	w.logf("%d minions are idle", len(idle))
	w.mu.Unlock()
	if len(idle) != 1 {
		endAll(es)
		check(fmt.Errorf("%d minions are idle", len(idle)))
	}
	q := queues[0]
	for _, other := range queues {
		if other.service == idle[0].pool {
			q = other
		}
	}
	if trouble {
		w.mu.Lock()
		idle[0].lose()
		w.mu.Unlock()
	}
	var jobs []*job
	for range smallJobs {
		j := &job{id: newID(), spec: "small", attempts: 3, Steps: []step{{Count: 1, CPU: 2000, Mem: 500, Estimate: 500, dur: 500 * time.Millisecond}}}
		jobs = append(jobs, j)
		w.submit(es, q, j)
	}
	var broken []string
	time.Sleep(visible + countAge)
	for round := range 8 {
		time.Sleep(time.Second)
		broken = append(broken, w.compareCounts(es, q, jobs, fmt.Sprintf("in round %d", round+1))...)
	}
	w.mu.Lock()
	broken = append(broken, w.breaks...)
	w.mu.Unlock()
	endAll(es)
	return broken
}
