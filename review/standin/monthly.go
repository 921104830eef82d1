package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// earlyBound is how long before its time a work unit may start.
const earlyBound = 250 * time.Millisecond

// runMonthly: among other jobs, one comes that is to run once a month for ever, so to speak.
func runMonthly(folder, program, record string, trouble bool) ([]string, error) {
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
		month       = 30 * 24 * time.Hour
		traffic     = 15 * time.Second
		betweenJobs = 300 * time.Millisecond
	)
	monthly := &job{
		id: w.newID(), steps: []step{{Count: 1, CPU: 1000, MemMB: 500, EstimateMs: 500}}, duration: 500 * time.Millisecond,
		runCount: 2400, first: time.Now().Add(time.Hour), interval: month,
	}
	if trouble {
		monthly.runCount = 12_000
	}
	if !w.submit(monthly, 0) {
		w.log.note("the monthly job was not accepted")
	}
	n := 0
	for began := time.Now(); time.Since(began) < traffic; time.Sleep(betweenJobs) {
		n++
		w.submit(&job{id: w.newID(), steps: []step{{Count: 2, CPU: 1000, MemMB: 500, EstimateMs: 500}}, duration: 500 * time.Millisecond}, n)
	}
	return w.finish(w.log.early(monthly)), nil
}

// early returns the violations of the rule ORDER: the starts of a scheduled job's work units
// before their time.
func (r *recorder) early(j *job) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []string
	for task, starts := range r.starts {
		if jobOf(task) != j.id {
			continue
		}
		occurrence, err := strconv.Atoi(strings.Split(task, ".")[1])
		if err != nil {
			continue
		}
		for _, s := range starts {
			// The time to wait can exceed what time.Duration holds.
			wait := j.first.Sub(s.at).Seconds() + float64(occurrence)*j.interval.Seconds()
			if wait > earlyBound.Seconds() {
				found = append(found, fmt.Sprintf("ORDER: %s is started on %s at %.3f, %.0f years before its time", task, s.minion, r.seconds(s.at), wait/(365.25*24*3600)))
			}
		}
	}
	return found
}
