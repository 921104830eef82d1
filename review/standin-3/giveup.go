package main

import (
	"encoding/json"
	"time"
)

// handInOnce submits a job once. If the outcome isn't known, its client gives up and cancels it at
// other entries, until it is told that the job is cancelled or doesn't exist. With cancel it does so in
// any case.
func (w *world) handInOnce(j *jobSpec, q *route, cancel bool) {
	defer w.clients.Done()
	body, _ := json.Marshal(map[string]any{"spec": j.spec, "steps": j.steps})
	w.f.mu.Lock()
	j.sent, j.route = time.Now(), q
	w.f.jobs[j.id] = j
	w.f.mu.Unlock()
	status, _ := w.call(w.any(), "POST", q, j.id, body)
	w.record("POST %s (%s): %d", j.id, j.queue, status)
	w.f.mu.Lock()
	switch status {
	case 200:
		j.accepted = time.Now()
		j.replies[200]++
	case 0, 502, 504:
		j.noAnswer++
	default:
		j.replies[status]++
	}
	w.f.mu.Unlock()
	if status == 0 || status == 502 || status == 504 || status == 200 && cancel {
		w.cancel(j, q)
	}
}

// runGiveUp keeps a service at work with jobs of three steps. With trouble, answers of the store are
// lost for a while, and the writes are done 1 to 6 s later.
func runGiveUp(w *world, trouble bool, length time.Duration) {
	routes := w.deployment(map[string]int{"alpha": 6, "beta": 3, "spare": 3}, amount{32000, 131072, 0}, false)
	r := routes["q-alpha"]
	end := time.Now().Add(length)
	lostFrom := time.Now().Add(5 * time.Second)
	lostUntil := lostFrom.Add(4200 * time.Millisecond)
	lost := false
	for n := 0; time.Now().Before(end); n++ {
		now := time.Now()
		if during := now.After(lostFrom) && now.Before(lostUntil); trouble && during != lost {
			lost = during
			faults := storeFaults{}
			if lost {
				w.disturb("answers of the store are lost, the writes are done late", lostUntil.Sub(now))
				faults = storeFaults{lost: 0.485, late: true}
			} else {
				w.record("the store is well again")
			}
			for _, e := range w.entries {
				e.port.set(faults)
			}
		}
		step := stepSpec{Count: 1, CPU: 500, Mem: 500, EstimateMs: 1600, WorkMs: 1600}
		steps := []stepSpec{step, step, step, step}
		for i := 1; i < len(steps); i++ {
			steps[i].After = []int{i - 1}
		}
		w.clients.Add(1)
		go w.handInOnce(newJob(r, steps...), r, n%20 == 0)
		time.Sleep(20 * time.Millisecond)
	}
	w.clients.Wait()
	time.Sleep(8 * time.Second)
}
