package bbrscheduler

import (
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrruntime"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// runTimes predicts the run times of work units, by queue.
type runTimes map[string]*bbrruntime.Predictor

// of returns how long a work unit of a queue's job is expected to run.
func (r runTimes) of(queue string, spec *bbrwork.Step) time.Duration {
	if spec.LongRunning {
		return spec.Estimate
	}
	return r[queue].Predict(spec.Estimate)
}

// criticalPath returns the longest path of expected work through the steps of a job.
func (r runTimes) criticalPath(in *bbrwork.Job) time.Duration {
	predicted := bbrwork.Job{Steps: slices.Clone(in.Steps)}
	for i := range predicted.Steps {
		predicted.Steps[i].Estimate = r.of(in.Queue, &in.Steps[i])
	}
	return predicted.CriticalPath()
}

// learnRunTime learns from a run that has ended as done. The middle one of a step tells how
// long the others run, and what to expect of the queue's later jobs; those that end
// earlier are the shortest.
func (sched *Scheduler) learnRunTime(r *run, now time.Time) {
	s := r.unit.step
	if ended := len(s.units) - s.unitsLeft + 1; 2*ended < len(s.units) {
		return
	}
	if !r.fromStart || s.learned || s.spec.LongRunning || s.spec.DataRack != "" && !r.up.HasLabel(s.spec.DataRack) {
		return
	}
	taken := now.Sub(r.orderedAt)
	predictor := sched.runTimes[s.job.Queue]
	if predictor == nil {
		predictor = &bbrruntime.Predictor{}
		sched.runTimes[s.job.Queue] = predictor
	}
	predictor.Observe(s.spec.Estimate, taken)
	s.learned, s.runTime = true, taken
	s.job.updatePaths()
}

// minTellingPercent is the progress from which a run's own speed tells when it ends.
const minTellingPercent = 5

// expectedEnd returns when the run is expected to end: by its progress if that tells, and
// otherwise by the expected run time of its step.
func (r *run) expectedEnd() time.Time {
	if !r.fromStart || r.percent < minTellingPercent {
		return r.orderedAt.Add(r.unit.step.runTime)
	}
	elapsed := r.listedAt.Sub(r.orderedAt)
	return r.orderedAt.Add(elapsed * fullPercent / time.Duration(r.percent))
}
