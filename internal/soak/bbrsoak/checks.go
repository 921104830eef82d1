package bbrsoak

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"
)

// awaitJobs waits until the jobs have ended, without faults.
func (s *Soak) awaitJobs() {
	ctx := context.Background()
	unsettled, deadline := s.acceptedJobs(), time.Now().Add(settleTimeout)
	s.eventually(settleTimeout, func() bool {
		unsettled = slices.DeleteFunc(unsettled, func(job *submittedJob) bool { return time.Now().Before(deadline) && s.isSettled(ctx, job) })
		return len(unsettled) == 0
	})
	for _, job := range unsettled {
		s.callers.reportFault("job %s was accepted and has not ended: long-running %v, cancelled %v", job.id, job.longRunning, job.cancelled)
	}
}

// violations returns the violations of guarantees.
func (s *Soak) violations() []string {
	c := s.callers
	s.checkRefusedJobs()
	s.checkConfig(context.Background())
	facts := s.fleet.Facts()
	fmt.Fprintf(s.Out, "jobs %d, accepted %d, work units %d, starts %d, done %d, ended by planned work %d\n",
		len(c.jobs), len(s.acceptedJobs()), facts.Units, facts.Starts, facts.Done, len(facts.TakenAway))
	var shardLoads loads
	shardLoads.readLogs(s)
	fmt.Fprintln(s.Out, &shardLoads)
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

// isSettled reports whether a job has ended, runs completely if it is long-running, or
// is known to be stalled.
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

// checkRefusedJobs checks that no job runs that was refused at each attempt, or of which its caller was
// told that it does not exist.
func (s *Soak) checkRefusedJobs() {
	for id := range s.fleet.StartedJobs() {
		job := s.callers.jobs[id]
		if job == nil {
			s.callers.reportFault("job %s was started, but was never submitted", id)
		} else if !job.accepted && !job.outcomeUnknown {
			s.callers.reportFault("job %s was started, but each attempt to submit it was refused", id)
		} else if job.unknown {
			s.callers.reportFault("job %s was started, but its caller was told that there is none when it cancelled it", id)
		}
	}
}

// checkConfig checks that each entry serves the extra queue of the newest configuration to
// a caller with a new key, but not the queue of the previous one, nor a caller with its
// key.
func (s *Soak) checkConfig(ctx context.Context) {
	newest := s.callers.configCount
	for _, e := range s.entries {
		applied := func() bool {
			status, _ := s.callers.send(ctx, http.MethodGet, e, "/"+extraQueue(newest)+"/", rotatedKey(newest), nil)
			previous, _ := s.callers.send(ctx, http.MethodGet, e, "/"+extraQueue(newest-1)+"/", mainKey, nil)
			revoked, _ := s.callers.send(ctx, http.MethodGet, e, "/"+extraQueue(newest)+"/", rotatedKey(newest-1), nil)
			return status == http.StatusOK && previous == http.StatusNotFound && revoked == http.StatusUnauthorized
		}
		if !s.eventually(readyTimeout, applied) {
			s.callers.reportFault("entry %s has not applied configuration %d", e.name, newest)
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
