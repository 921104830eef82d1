package main

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	// visible is visible_ms of the pages, and countAge how old a count of waiting jobs may be.
	visible, countAge = 3 * time.Second, 2 * time.Second
	// configApply is config_apply_ms, and contact contact_ms of the pages.
	configApply, contact = 2 * time.Second, 3 * time.Second
	// longJobs is the number of jobs, each of which needs a whole minion for longTime.
	longJobs = 40
	longTime = 100 * time.Second
)

// waiting asks an entry how many jobs of the queue wait.
func (w *world) waiting(e *entry, q queue) (int, bool) {
	status, answer := w.call(e, "GET", q.prefix, nil)
	var v struct {
		Waiting *int `json:"waiting"`
	}
	if status != 200 || json.Unmarshal(answer, &v) != nil || v.Waiting == nil {
		return 0, false
	}
	return *v.Waiting, true
}

// notBegun returns how many of the jobs were accepted before the time and have not begun.
func (w *world) notBegun(jobs []*job, before time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, j := range jobs {
		j.mu.Lock()
		if !j.accepted.IsZero() && j.accepted.Before(before) && !j.started {
			count++
		}
		j.mu.Unlock()
	}
	return count
}

// rerouted fills all minions, so that jobs of a queue wait, and lets the operator send the
// queue to another service.
func rerouted(dir, record string, trouble bool) []string {
	w, es := newWorld(dir, record, 8, 3)
	q := queues[0]
	var jobs []*job
	for range longJobs {
		j := &job{id: newID(), spec: "long", attempts: 3, Steps: []step{{Count: 1, CPU: 16000, Mem: 1000, Estimate: longTime.Milliseconds(), dur: longTime}}}
		jobs = append(jobs, j)
		w.submit(es, q, j)
	}
	time.Sleep(8 * time.Second)
	broken := w.compareCounts(es, q, jobs, "before the change")
	if trouble {
		version := config(7)
		for _, route := range version["routes"].([]map[string]any) {
			if route["name"] == q.name {
				route["service"] = "beta"
			}
		}
		w.st.put("op/config", version)
		w.mu.Lock()
		w.logf("op/config: version 7 sends %s to beta", q.name)
		w.mu.Unlock()
	}
	// Long after the change, all entries are in touch and have applied it.
	time.Sleep(configApply + contact + countAge)
	for round := range 10 {
		broken = append(broken, w.compareCounts(es, q, jobs, fmt.Sprintf("in round %d after the change", round+1))...)
		time.Sleep(time.Second)
	}
	w.mu.Lock()
	broken = append(broken, w.breaks...)
	w.mu.Unlock()
	endAll(es)
	return broken
}

// compareCounts compares what each entry gives as waiting with the jobs that have not begun.
func (w *world) compareCounts(es []*entry, q queue, jobs []*job, when string) []string {
	var broken []string
	for _, e := range es {
		count, ok := w.waiting(e, q)
		left := w.notBegun(jobs, time.Now().Add(-visible-countAge))
		w.mu.Lock()
		w.logf("%s: %s gives %d as waiting; %d accepted jobs have not begun", when, e.name, count, left)
		w.mu.Unlock()
		if ok && 2*count < left {
			broken = append(broken, fmt.Sprintf("MIXED: %s, %s gives %d as waiting, under half of the %d accepted jobs that have not begun", when, e.name, count, left))
		}
	}
	return broken
}
