package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// restartDelay is how long a process that ended by itself is away.
	restartDelay = time.Second
	// ownEnds is how often the processes of a machine may not end by themselves, and
	// ownEndMachines on how many machines that is a fault.
	ownEnds        = 3
	ownEndMachines = 2
)

// supervise starts a process again after it has ended by itself, and counts these ends,
// until stop is closed.
func (e *entry) supervise(stop <-chan struct{}, ended func(e *entry)) {
	for {
		select {
		case <-stop:
			return
		case <-e.done:
		}
		ended(e)
		select {
		case <-stop:
			return
		case <-time.After(restartDelay):
		}
		if err := e.start(); err != nil {
			e.world.log.note("%s does not start again: %v", e.name, err)
			return
		}
	}
}

// runDue: among other jobs, a few come whose time lies in the far future.
func runDue(folder, program, record string, trouble bool) ([]string, error) {
	w, err := newWorld(folder, program, record, 2, 3)
	if err != nil {
		return nil, err
	}
	defer w.stopAll()
	w.log.quiet = true
	if err := w.startAll(); err != nil {
		return nil, err
	}
	const (
		traffic     = 25 * time.Second
		betweenJobs = 200 * time.Millisecond
		betweenFar  = 6 * time.Second
		farJobs     = 4
	)
	var mu sync.Mutex
	ends := map[string]int{}
	stop := make(chan struct{})
	var supervisors sync.WaitGroup
	for _, e := range w.entries {
		supervisors.Go(func() {
			e.supervise(stop, func(e *entry) {
				mu.Lock()
				defer mu.Unlock()
				ends[e.name]++
				w.log.note("%s has ended by itself, exit %s", e.name, e.cmd.ProcessState)
			})
		})
	}
	accepted, unanswered := 0, 0
	var clients sync.WaitGroup
	clients.Go(func() {
		n := 0
		for began := time.Now(); time.Since(began) < traffic; time.Sleep(betweenJobs) {
			j := &job{id: w.newID(), steps: []step{{Count: 2, CPU: 1000, MemMB: 500, EstimateMs: 500}}, duration: 500 * time.Millisecond}
			n++
			if w.submit(j, n) {
				accepted++
			} else {
				unanswered++
			}
		}
	})
	for n := range farJobs {
		due := time.Now().Add(time.Minute)
		j := &job{
			id: w.newID(), steps: []step{{Count: 1, CPU: 1000, MemMB: 500, EstimateMs: 500}}, duration: 500 * time.Millisecond,
			runCount: 1, first: due, interval: time.Minute,
		}
		if trouble {
			// The same time in microseconds, where milliseconds are expected.
			j.first = time.UnixMilli(due.UnixMicro())
		}
		w.log.note("client: a job with initial_delay_ms %d", j.first.UnixMilli())
		w.submit(j, n)
		time.Sleep(betweenFar)
	}
	clients.Wait()
	close(stop)
	supervisors.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.log.note("%d other jobs accepted, %d not accepted by any entry", accepted, unanswered)
	var often []string
	for _, e := range w.entries {
		w.log.note("%s ended by itself %d times", e.name, ends[e.name])
		if ends[e.name] >= ownEnds {
			often = append(often, fmt.Sprintf("Fault: the process of %s ended by itself %d times, with no disturbance there", e.name, ends[e.name]))
		}
	}
	if len(often) < ownEndMachines {
		often = nil
	}
	return w.finish(often), nil
}
