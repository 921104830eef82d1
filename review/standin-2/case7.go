package main

import (
	"time"
)

const (
	// lateAfter is how long after a minion left the order unanswered it restarts, and
	// downTime how long it is down.
	lateAfter, downTime = 3 * time.Second, 300 * time.Millisecond
	// carriedOutAfter is how long after the restart the order is carried out.
	carriedOutAfter = 20 * time.Millisecond
	// rounds bounds the attempts.
	rounds = 6
)

// lateStart lets a minion leave the order to start a work unit unanswered, start again under
// its id, and then carry out the order.
func lateStart(dir, record string, trouble bool) []string {
	poolOf = func(int) string { return "alpha" }
	rackOf = func(number int) string { return []string{"r1", "r2"}[number%2] }
	w, es := newWorld(dir, record, 8, 3)
	q := queues[0]
	for round := range rounds {
		w.lateRound(es, q, round, trouble)
		w.mu.Lock()
		broken := len(w.breaks)
		w.mu.Unlock()
		if broken > 0 {
			break
		}
	}
	w.mu.Lock()
	broken := w.breaks
	w.mu.Unlock()
	endAll(es)
	return broken
}

func (w *world) lateRound(es []*entry, q queue, round int, trouble bool) {
	j := &job{id: newID(), spec: "six seconds", attempts: 3, Steps: []step{{Count: 1, CPU: 4000, Mem: 1000, Estimate: 6000, dur: 6 * time.Second}}}
	var at *minion
	var order call
	kept := make(chan struct{})
	w.mu.Lock()
	w.keep = func(m *minion, path string, c call) bool {
		if !trouble || path != "/run-start" || c.Task != j.id+".0.0.0" || at != nil {
			return false
		}
		at, order = m, c
		w.logf("order to start %s run %d gets no answer from %s", c.Task, c.Run, m.id)
		close(kept)
		return true
	}
	w.mu.Unlock()
	w.submit(es, q, j)
	if !trouble {
		time.Sleep(8 * time.Second)
		return
	}
	select {
	case <-kept:
	case <-time.After(5 * time.Second):
		return
	}
	sent := time.Now()
	w.mu.Lock()
	rack := "r1"
	if at.rack == "r1" {
		rack = "r2"
	}
	w.mu.Unlock()
	// Other work on the other rack: the work unit, once it starts again, joins it there.
	other := &job{id: newID(), spec: "other", attempts: 3, Steps: []step{{Count: 2, CPU: 9000, Mem: 1000, Estimate: 7000, dur: 7 * time.Second, Requires: rack, Anti: 1}}}
	w.submit(es, q, other)
	time.Sleep(time.Until(sent.Add(lateAfter)))
	w.mu.Lock()
	w.logf("minion %s crashes, %d runs", at.id, len(at.run))
	for _, r := range at.run {
		w.gone(r, "crash")
	}
	at.state = "down"
	at.kick()
	w.mu.Unlock()
	time.Sleep(downTime)
	w.mu.Lock()
	at.life()
	at.register()
	w.logf("minion %s has started again under its id, born %d", at.id, at.born)
	w.mu.Unlock()
	time.Sleep(carriedOutAfter)
	w.mu.Lock()
	status, reason := at.do("/run-start", at.id, order, true, "")
	w.logf("the order of %.1f s before is carried out on %s: %d %s", time.Since(sent).Seconds(), at.id, status, reason)
	w.mu.Unlock()
	time.Sleep(7 * time.Second)
}
