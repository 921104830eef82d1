package bbrsoak

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
)

// awaitJobs lets the jobs end in calm weather.
func (s *Soak) awaitJobs() {
	ctx := context.Background()
	unsettled := s.acceptedJobs()
	s.eventually(settleTimeout, func() bool {
		unsettled = slices.DeleteFunc(unsettled, func(job *submittedJob) bool { return s.isSettled(ctx, job) })
		return len(unsettled) == 0
	})
	for _, job := range unsettled {
		s.callers.reportFault("%s was accepted and has not ended: lasting %v, cancelled %v", job.id, job.longRunning, job.cancelled)
	}
}

// violations returns what broke a promise.
func (s *Soak) violations() []string {
	c := s.callers
	s.checkRefusedJobs()
	s.checkConfig(context.Background())
	facts := s.fleet.Facts()
	fmt.Fprintf(s.Out, "jobs %d, accepted %d, work units %d, starts %d, done %d, ended by planned work %d\n",
		len(c.jobs), len(s.acceptedJobs()), facts.Units, facts.Starts, facts.Done, len(facts.TakenAway))
	return append(facts.Faults, c.faults...)
}

func (s *Soak) acceptedJobs() []*submittedJob {
	var jobs []*submittedJob
	for _, id := range slices.Sorted(maps.Keys(s.callers.jobs)) {
		if job := s.callers.jobs[id]; job.accepted {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// isSettled tells whether a job has ended, is at work whole if it lasts, or is known
// to be stuck.
func (s *Soak) isSettled(ctx context.Context, job *submittedJob) bool {
	if s.callers.isStalled(job) {
		return true
	}
	if job.longRunning && !job.cancelled {
		return s.fleet.CountRunning(job.id) == longRunningUnits
	}
	if job.state == "" {
		s.callers.checkState(ctx, job, s.entries[0])
	}
	if job.cancelled && job.state == "" {
		s.callers.call(ctx, http.MethodDelete, s.entries[0], job, nil)
	}
	return job.state != ""
}

// checkRefusedJobs looks for work of jobs that were refused at each attempt.
func (s *Soak) checkRefusedJobs() {
	for id := range s.fleet.StartedJobs() {
		job := s.callers.jobs[id]
		if job == nil {
			s.callers.reportFault("%s was started, and nobody submitted it", id)
		} else if !job.accepted && !job.outcomeUnknown {
			s.callers.reportFault("%s was started, and each attempt to submit it was refused", id)
		}
	}
}

// checkConfig asks each entry for the newest configuration's own queue,
// and for that of the one before.
func (s *Soak) checkConfig(ctx context.Context) {
	newest := s.callers.configCount
	for _, e := range s.entries {
		applied := func() bool {
			status, _ := s.callers.send(ctx, http.MethodGet, e, "/"+extraQueue(newest)+"/", nil)
			before, _ := s.callers.send(ctx, http.MethodGet, e, "/"+extraQueue(newest-1)+"/", nil)
			return status == http.StatusOK && before == http.StatusNotFound
		}
		if !s.eventually(readyTimeout, applied) {
			s.callers.reportFault("%s does not obey configuration %d", e.name, newest)
		}
	}
}

func (s *Soak) checkWaves() {
	for wave := 1; wave <= s.callers.waveCount; wave++ {
		completed := func() bool {
			value, _ := s.fleet.Get(fmt.Sprintf("status/wave/%d", wave))
			return string(value) == `{"state":"completed"}`
		}
		if !s.eventually(settleTimeout, completed) {
			s.callers.reportFault("wave %d was not completed", wave)
		}
	}
}
