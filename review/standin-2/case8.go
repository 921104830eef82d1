package main

import (
	"fmt"
	"time"
)

const (
	// rackSize is the number of minions of a rack.
	rackSize = 4
	// trafficTime is how long clients hand in jobs after the loss.
	trafficTime = 20 * time.Second
)

// rackLost loses the rack that has all minions of one service for good. The other service is
// idle, and has as many.
func rackLost(dir, record string, trouble bool) []string {
	poolOf = func(number int) string { return []string{"alpha", "beta"}[number/rackSize] }
	w, es := newWorld(dir, record, 2*rackSize, 3)
	q := queues[0]
	time.Sleep(4 * time.Second)
	if trouble {
		w.mu.Lock()
		for _, m := range w.minions {
			if m.rack == "r1" {
				m.lose()
			}
		}
		w.mu.Unlock()
	}
	time.Sleep(contact)
	var jobs []*job
	for begin := time.Now(); time.Since(begin) < trafficTime; time.Sleep(2 * time.Second) {
		j := &job{id: newID(), spec: "small", attempts: 3, Steps: []step{{Count: 2, CPU: 2000, Mem: 500, Estimate: 1000, dur: time.Second}}}
		jobs = append(jobs, j)
		w.submit(es, q, j)
	}
	time.Sleep(finish + 3*time.Second)
	var broken []string
	w.mu.Lock()
	idle, orders := 0, 0
	for _, m := range w.minions {
		if m.state == "up" && len(m.run) == 0 {
			idle++
		}
		orders += m.moves
	}
	accepted, begun := 0, 0
	for _, j := range jobs {
		if !j.accepted.IsZero() {
			accepted++
		}
		if w.begunOrDone(j) {
			begun++
		}
	}
	w.logf("%d machines are idle, %d were moved; %d jobs accepted in the last %v, %d have begun", idle, orders, accepted, time.Since(jobs[0].accepted).Round(time.Second), begun)
	if begun < accepted {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d accepted jobs have not begun, with %d machines idle and none moved in %v", accepted-begun, accepted, idle, time.Since(jobs[0].accepted).Round(time.Second)))
	}
	broken = append(broken, w.breaks...)
	w.mu.Unlock()
	endAll(es)
	return broken
}
