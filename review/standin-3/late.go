package main

import (
	"encoding/json"
	"math/rand"
	"strings"
	"time"
)

// lateOrder is an order to start that got no answer, and that is carried out seconds later.
type lateOrder struct {
	m        *minion
	target   string
	in       callBody
	received time.Time
}

// holdBack makes the next order to start the job's first run one without an answer. The minion
// does not carry it out now.
func (f *fleet) holdBack(j *jobSpec) chan lateOrder {
	held := make(chan lateOrder, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	j.heldBack = held
	return held
}

// takesLate reports whether an order is to be left without an answer. mu is held.
func (f *fleet) takesLate(m *minion, path, target string, in callBody) bool {
	if path != "/run-start" {
		return false
	}
	u := f.unit(in.Task)
	if u == nil || u.job.heldBack == nil {
		return false
	}
	held := u.job.heldBack
	u.job.heldBack = nil
	f.record("order to start %s run %d on %s: no answer", in.Task, in.Run, m.machine)
	held <- lateOrder{m, target, in, time.Now()}
	return true
}

// runLate keeps a service at work. With trouble, some orders to start get no answer. The minion
// goes on with its other work. The system starts the work unit elsewhere. Some seconds later the
// minion crashes and is back under its ID, and takes the order that was meant for its former life.
func runLate(w *world, trouble bool, length, after time.Duration) {
	f := w.f
	routes := w.deployment(map[string]int{"alpha": 6, "beta": 3, "spare": 3}, amount{32000, 131072, 0}, false)
	r := routes["q-alpha"]
	end := time.Now().Add(length)
	traffic := make(chan struct{})
	go func() {
		defer close(traffic)
		for time.Now().Before(end) {
			work := 400 + rand.Intn(800)
			w.send(newJob(r, stepSpec{Count: 6, CPU: 2300, Mem: 4000, EstimateMs: float64(work), WorkMs: work}), r, end.Add(5*time.Second))
			time.Sleep(400 * time.Millisecond)
		}
	}()
	time.Sleep(4 * time.Second)
	for n := 0; trouble && time.Now().Before(end.Add(-14*time.Second)); n++ {
		step := stepSpec{Count: 1, CPU: 1000, Mem: 1000, EstimateMs: 600, WorkMs: 600}
		if n%2 == 1 {
			step = stepSpec{Count: 1, CPU: 1000, Mem: 1000, Lasts: true, EstimateMs: 600}
		}
		j := newJob(r, step)
		held := f.holdBack(j)
		w.send(j, r, end)
		var late lateOrder
		select {
		case late = <-held:
		case <-time.After(4 * time.Second):
			w.record("no order to start %s came", j.id)
			continue
		}
		w.disturb("an order gets no answer", 0)
		for time.Since(late.received) < 8*time.Second && !f.settled(j) {
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		f.mu.Lock()
		if late.m.id != late.target || late.m.state != "up" {
			w.record("%s has left", late.m.machine)
			f.mu.Unlock()
			continue
		}
		w.disturb("crash of "+late.m.machine, 500*time.Millisecond)
		late.m.lose("down")
		f.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		f.mu.Lock()
		late.m.boot(false)
		f.mu.Unlock()
		time.Sleep(after)
		status, body := late.m.carryOut("/run-start", late.target, late.in, true)
		w.record("%s is back and carries out the order %v after it was sent: %d %v", late.m.machine, time.Since(late.received).Round(time.Millisecond), status, body["reason"])
		time.Sleep(2 * time.Second)
		if step.Lasts {
			w.cancel(j, r)
		}
	}
	<-traffic
	w.clients.Wait()
}

// settled reports whether the job's unit has ended done, which is taken note of, or runs.
func (f *fleet) settled(j *jobSpec) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.units {
		if u.job == j && (!u.noted.IsZero() || j.steps[u.step].Lasts && len(u.running) > 0) {
			return true
		}
	}
	return false
}

// ownerOf returns the entry that has the claim of a service's shard, or nil.
func (w *world) ownerOf(service string) *entry {
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	for k, it := range w.s.items {
		var in struct {
			Entry string `json:"entry"`
		}
		if !strings.HasPrefix(k, "bbr/fleet/") || !strings.HasSuffix(k, "/"+service+"/0") || json.Unmarshal(it.Value, &in) != nil {
			continue
		}
		for _, e := range w.entries {
			if e.name == in.Entry {
				return e
			}
		}
	}
	return nil
}

// runReplaced keeps a service at work. With trouble, an order to start gets no answer and is carried out
// some seconds later; its sender is killed at once. The successor starts the work unit elsewhere. The
// minion crashes, is back under its ID, and takes the order of the replaced owner.
func runReplaced(w *world, trouble bool, length, after time.Duration) {
	f := w.f
	routes := w.deployment(map[string]int{"alpha": 6, "beta": 3, "spare": 3}, amount{32000, 131072, 0}, false)
	r := routes["q-alpha"]
	end := time.Now().Add(length)
	traffic := make(chan struct{})
	go func() {
		defer close(traffic)
		for time.Now().Before(end) {
			work := 400 + rand.Intn(800)
			w.send(newJob(r, stepSpec{Count: 6, CPU: 2300, Mem: 4000, EstimateMs: float64(work), WorkMs: work}), r, end.Add(5*time.Second))
			time.Sleep(400 * time.Millisecond)
		}
	}()
	time.Sleep(4 * time.Second)
	for trouble && time.Now().Before(end.Add(-20*time.Second)) {
		j := newJob(r, stepSpec{Count: 1, CPU: 1000, Mem: 1000, Lasts: true, EstimateMs: 600})
		held := f.holdBack(j)
		w.send(j, r, end)
		var late lateOrder
		select {
		case late = <-held:
		case <-time.After(4 * time.Second):
			w.record("no order to start %s came", j.id)
			continue
		}
		w.disturb("an order gets no answer", 0)
		owner := w.ownerOf("alpha")
		if owner == nil {
			w.record("the shard has no owner")
			continue
		}
		owner.kill(3500 * time.Millisecond)
		for time.Since(late.received) < 10*time.Second && !f.settled(j) {
			time.Sleep(20 * time.Millisecond)
		}
		// The order is carried out 2 s after it was sent at the earliest.
		time.Sleep(max(300*time.Millisecond, time.Until(late.received.Add(1700*time.Millisecond))))
		f.mu.Lock()
		if !w.f.runs(j) || late.m.id != late.target || late.m.state != "up" {
			w.record("%s has left, or %s doesn't run", late.m.machine, j.id)
			f.mu.Unlock()
			continue
		}
		w.disturb("crash of "+late.m.machine, 500*time.Millisecond)
		late.m.lose("down")
		f.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		f.mu.Lock()
		late.m.boot(false)
		f.mu.Unlock()
		time.Sleep(after)
		status, body := late.m.carryOut("/run-start", late.target, late.in, true)
		w.record("%s is back and carries out the order %v after it was sent: %d %v", late.m.machine, time.Since(late.received).Round(time.Millisecond), status, body["reason"])
		time.Sleep(3 * time.Second)
		w.cancel(j, r)
		time.Sleep(2 * time.Second)
	}
	<-traffic
	w.clients.Wait()
}

// runs reports whether something of the job runs. mu is held.
func (f *fleet) runs(j *jobSpec) bool {
	for _, u := range f.units {
		if u.job == j && len(u.running) > 0 {
			return true
		}
	}
	return false
}
