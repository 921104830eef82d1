package main

import (
	"fmt"
	"syscall"
	"time"
)

// dark is how long a killed process is away.
const dark = 3500 * time.Millisecond

// runEnds: the process that runs a job is killed shortly before the job's many small work
// units end, and another process takes over.
func runEnds(folder, program, record string, trouble bool) ([]string, error) {
	w, err := newWorld(folder, program, record, 2, 3)
	if err != nil {
		return nil, err
	}
	defer w.stopAll()
	w.log.quiet = true
	if err := w.startAll(); err != nil {
		return nil, err
	}
	const units = 1400
	closing := time.Now().Add(20 * time.Second)
	j := &job{id: w.newID(), steps: []step{{Count: units, CPU: 20, MemMB: 80, EstimateMs: 12_000}}, until: closing}
	if !w.submit(j, 0) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	if !waitFor(time.Until(closing)-time.Second, func() bool { return w.log.startsOf(j.id) == units }) {
		return nil, fmt.Errorf("only %d work units started", w.log.startsOf(j.id))
	}
	w.log.note("all %d work units run, %d and %d on the two minions", units, w.minions[0].runs(), w.minions[1].runs())
	time.Sleep(time.Until(closing.Add(-300 * time.Millisecond)))
	killed := w.entryNamed(w.store.lastConditionalWriter())
	if trouble {
		killed.signal(syscall.SIGKILL)
	}
	for range int(dark / (100 * time.Millisecond)) {
		time.Sleep(100 * time.Millisecond)
		w.log.note("done %d; listed and not taken note of: %d and %d; running %d and %d; starts %d", w.log.doneUnits(j.id),
			w.minions[0].unlisted(), w.minions[1].unlisted(), w.minions[0].runs(), w.minions[1].runs(), w.log.startsOf(j.id))
	}
	if trouble {
		if err := killed.start(); err != nil {
			return nil, err
		}
	}
	waitFor(30*time.Second, func() bool { return w.state(j.id, 0) == "completed" })
	w.log.note("client: GET %s -> %s", j.id, w.state(j.id, 0))
	time.Sleep(2 * time.Second)
	w.log.note("%d work units, %d starts", units, w.log.startsOf(j.id))
	return w.finish(w.log.twice()), nil
}

// runReborn: an idle minion crashes, starts again a second later under its id, and registers
// at once; then some jobs come.
func runReborn(folder, program, record string, trouble bool) ([]string, error) {
	w, err := newWorld(folder, program, record, 8, 3)
	if err != nil {
		return nil, err
	}
	defer w.stopAll()
	if err := w.startAll(); err != nil {
		return nil, err
	}
	const (
		rounds       = 10
		jobsPerRound = 4
		betweenJobs  = 60 * time.Millisecond
	)
	for round := range rounds {
		m := w.minions[round%len(w.minions)]
		if trouble {
			m.crash()
		}
		time.Sleep(time.Second)
		if trouble {
			if err := m.start(); err != nil {
				return nil, err
			}
			w.log.note("minion %s starts again under its id", m.id)
		}
		var jobs []*job
		for n := range jobsPerRound {
			j := &job{id: w.newID(), steps: []step{{Count: 24, CPU: 2000, MemMB: 2000, EstimateMs: 2000}}, duration: 2 * time.Second}
			if !w.submit(j, n) {
				return nil, fmt.Errorf("a job was not accepted")
			}
			jobs = append(jobs, j)
			time.Sleep(betweenJobs)
		}
		for n, j := range jobs {
			waitFor(10*time.Second, func() bool { return w.state(j.id, n) == "completed" })
		}
		time.Sleep(2 * time.Second)
		if len(w.log.twice()) > 0 {
			break
		}
	}
	return w.finish(w.log.twice()), nil
}

// runRepeat: a scheduled job with many occurrences is accepted, the process that runs it is
// killed, and starts again. Other jobs of the queue come all the time.
func runRepeat(folder, program, record string, trouble bool) ([]string, error) {
	w, err := newWorld(folder, program, record, 16, 3)
	if err != nil {
		return nil, err
	}
	defer w.stopAll()
	w.log.quiet = true
	if err := w.startAll(); err != nil {
		return nil, err
	}
	const (
		minutes   = 14 * 24 * 60
		calm      = 12 * time.Second
		traffic   = 30 * time.Second
		finish    = 14 * time.Second
		waits     = 3 * time.Second
		betweenMs = 400
	)
	part := step{Count: 1, CPU: 1000, MemMB: 500, EstimateMs: 8000}
	second, third := part, part
	second.After, third.After = []int{0}, []int{1}
	repeat := &job{id: w.newID(), steps: []step{part, second, third}, duration: 8 * time.Second, runCount: minutes, first: time.Now(), interval: time.Minute}
	if !w.submit(repeat, 0) {
		return nil, fmt.Errorf("the scheduled job was not accepted")
	}
	time.Sleep(4 * time.Second)
	if trouble {
		e := w.entryNamed(w.store.lastConditionalWriter())
		e.signal(syscall.SIGKILL)
		time.Sleep(dark)
		if err := e.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(calm)
	var jobs []*job
	accepted := map[string]time.Time{}
	for began := time.Now(); time.Since(began) < traffic; time.Sleep(betweenMs * time.Millisecond) {
		j := &job{id: w.newID(), steps: []step{{Count: 2, CPU: 1000, MemMB: 500, EstimateMs: 500}}, duration: 500 * time.Millisecond}
		if w.submit(j, len(jobs)) {
			jobs = append(jobs, j)
			accepted[j.id] = time.Now()
		}
	}
	time.Sleep(finish)
	used := 0
	for _, m := range w.minions {
		used += m.used()
	}
	if 2*used >= headroomCPU*len(w.minions) {
		return nil, fmt.Errorf("half of the capacity is in use")
	}
	var violations []string
	states := map[string]int{}
	for i, j := range jobs {
		state := w.state(j.id, i)
		states[state]++
		first, started := w.log.firstStart(j.id)
		switch waited := first.Sub(accepted[j.id]); {
		case !started:
			violations = append(violations, fmt.Sprintf("LOST: job %s was accepted at %.3f; nothing of it has started up to %.3f; state %q", j.id, w.log.seconds(accepted[j.id]), w.log.seconds(time.Now()), state))
		case waited > waits:
			violations = append(violations, fmt.Sprintf("LOST: job %s was accepted at %.3f and had nothing running for %s", j.id, w.log.seconds(accepted[j.id]), waited))
		}
	}
	w.log.note("%d s after the end of the traffic: %d jobs by state: %v; %d thousandths of a core in use on %d minions", int(finish.Seconds()), len(jobs), states, used, len(w.minions))
	return w.finish(violations), nil
}
