package bbrscheduler

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// Write is one job to be stored.
type Write struct {
	Job *bbrwork.Job
	// FinalState is empty while the job goes on; Progress is stored then.
	FinalState bbrwork.State
	Progress   []byte
	// HasProgress and HasCancel tell of a job that has ended whether the store may
	// have progress of it, and a demand to cancel it.
	HasProgress, HasCancel bool

	job     *job
	version int
}

// Batch is what is to be stored, and what may be acknowledged once all of it
// is.
type Batch struct {
	Writes []Write
	// Recorded is the lives to be listed for a successor; nil for no change.
	Recorded []bbrwork.Upstream
	// Horizon bounds the jobs that may be begun once it is stored; 0 tells a
	// successor nothing.
	Horizon bbrkv.Revision
	// acknowledgeable has what may be acknowledged; nil where writes are left out.
	acknowledgeable map[bbrwork.Incarnation]int64
}

// Complete tells whether the batch has all that is to be stored.
func (b Batch) Complete() bool { return b.acknowledgeable != nil }

// Head returns the batch with its first n writes.
func (b Batch) Head(n int) Batch {
	return Batch{Writes: b.Writes[:n], Recorded: b.Recorded, Horizon: b.Horizon}
}

// Batch returns what has to be stored now, at most limit jobs.
func (sched *Scheduler) Batch(limit int, now time.Time) Batch {
	var batch Batch
	ids := slices.Sorted(maps.Keys(sched.dirty))
	// Jobs that have ended go first: callers wait for them.
	slices.SortStableFunc(ids, func(a, b string) int {
		return cmp.Compare(len(sched.dirty[b].finalState), len(sched.dirty[a].finalState))
	})
	for _, id := range ids[:min(len(ids), limit)] {
		batch.Writes = append(batch.Writes, sched.dirty[id].write())
	}
	if len(ids) <= limit {
		batch.acknowledgeable = make(map[bbrwork.Incarnation]int64)
		for _, up := range sched.upstreams {
			batch.acknowledgeable[up.Incarnation] = up.applied
		}
	}
	batch.Recorded = sched.upstreamsToRecord()
	batch.Horizon = sched.horizon.next(sched.EarlierWorkLocated(now))
	return batch
}

func (j *job) write() Write {
	w := Write{Job: j.Job, FinalState: j.finalState, Progress: j.progress(), HasProgress: j.mayHaveStoredProgress, HasCancel: j.cancelled, job: j, version: j.version}
	// Also a transaction whose answer is lost may have stored it.
	j.mayHaveStoredProgress = j.mayHaveStoredProgress || j.finalState == ""
	return w
}

// Urgent tells whether something waits for being stored that a caller or a
// start waits for.
func (sched *Scheduler) Urgent() bool {
	for _, j := range sched.dirty {
		if j.finalState != "" {
			return true
		}
	}
	return sched.recordMissing() || sched.horizon.raiseNeeded
}

// NeedsHorizon tells whether a job waits for a further horizon.
func (sched *Scheduler) NeedsHorizon() bool { return sched.horizon.raiseNeeded }

// Dirty tells whether anything has to be stored or acknowledged.
func (sched *Scheduler) Dirty() bool { return len(sched.dirty) > 0 }

// upstreamsToRecord returns the lives on which work may run, or nil where the stored
// list says enough. Lives on which an earlier owner's work was not located stay
// listed.
func (sched *Scheduler) upstreamsToRecord() []bbrwork.Upstream {
	if !sched.recordMissing() && !sched.recordStale() {
		return nil
	}
	upstreams := []bbrwork.Upstream{}
	for _, up := range sched.sortedUpstreams() {
		if up.registered && (sched.toRecord[up.Incarnation] || sched.recorded[up.Incarnation]) || len(up.runs) > 0 || sched.unlocated[up.Incarnation] {
			upstreams = append(upstreams, up.Upstream)
		}
	}
	return upstreams
}

// recordMissing tells whether work waits for a life to be listed.
func (sched *Scheduler) recordMissing() bool {
	for incarnation := range sched.toRecord {
		if up := sched.upstreams[incarnation.ID]; up != nil && up.Incarnation == incarnation && !sched.recorded[incarnation] {
			return true
		}
	}
	return false
}

// recordStale tells whether a listed life is gone; a successor would look
// for it in vain.
func (sched *Scheduler) recordStale() bool {
	for incarnation := range sched.recorded {
		if up := sched.upstreams[incarnation.ID]; up == nil || up.Incarnation != incarnation || !up.registered && len(up.runs) == 0 {
			return true
		}
	}
	return false
}

// CanAcknowledge tells whether a batch without writes would still allow ends
// to be acknowledged.
func (sched *Scheduler) CanAcknowledge() bool {
	for _, up := range sched.upstreams {
		if up.acknowledged < up.applied {
			return true
		}
	}
	return false
}

// ApplyStored tells the ledger that all of a batch is stored, and at which revision;
// 0 where nothing had to be written.
func (sched *Scheduler) ApplyStored(batch Batch, revision bbrkv.Revision, now time.Time) {
	if revision != 0 {
		sched.horizon.observe(revision)
		sched.horizon.advance(batch.Horizon)
	}
	for _, write := range batch.Writes {
		if write.job.version == write.version {
			delete(sched.dirty, write.job.ID)
		}
		if write.FinalState != "" {
			sched.endedWithRuns[write.job.ID] = write.job
		}
	}
	if batch.Recorded != nil {
		clear(sched.recorded)
		clear(sched.toRecord)
		for _, up := range batch.Recorded {
			sched.recorded[up.Incarnation] = true
		}
	}
	for incarnation, applied := range batch.acknowledgeable {
		if up := sched.upstreams[incarnation.ID]; up != nil && up.StartMillis == incarnation.StartMillis {
			up.acknowledged = max(up.acknowledged, applied)
		}
	}
	sched.forgetEnded(now)
}

// forgetEnded drops jobs that are stored as ended and have no runs.
func (sched *Scheduler) forgetEnded(now time.Time) {
	sched.sweepEnded(now)
	for id, job := range sched.endedWithRuns {
		if !job.hasRuns() {
			sched.dropAdvice(job.Job)
			delete(sched.jobs, id)
			delete(sched.endedWithRuns, id)
			sched.endedJobs[id] = endedJob{at: now, state: job.finalState}
		}
	}
}

// sweepInterval is between two looks for ended jobs to forget.
const sweepInterval = time.Second

func (sched *Scheduler) sweepEnded(now time.Time) {
	if now.Sub(sched.endedSweptAt) < sweepInterval {
		return
	}
	sched.endedSweptAt = now
	for id, ended := range sched.endedJobs {
		if now.Sub(ended.at) > endedRetention {
			delete(sched.endedJobs, id)
		}
	}
}

// endedRetention is above the time for which a list or event may be on its way.
const endedRetention = time.Minute

func (j *job) hasRuns() bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, u := range s.units {
				if len(u.runs) > 0 {
					return true
				}
			}
		}
	}
	return false
}

// AddJob adds a job with the revision at which it was stored and its stored
// progress, which may be empty. A job that is known already is left as it is.
func (sched *Scheduler) AddJob(in *bbrwork.Job, storedRevision bbrkv.Revision, progress []byte, now time.Time) {
	sched.horizon.observe(storedRevision)
	if _, ended := sched.endedJobs[in.ID]; ended || sched.jobs[in.ID] != nil || in.Shard() != sched.Shard {
		return
	}
	policy := cmp.Or(sched.config.Queues[in.Queue].Policy(), in.Policy)
	j := newJob(in, policy, storedRevision, now)
	sched.jobs[in.ID] = j
	sched.recordArrival(j, now)
	if len(progress) == 0 {
		return
	}
	j.mayHaveStoredProgress = true
	var earlier Progress
	if err := json.Unmarshal(progress, &earlier); err != nil {
		sched.note(now, "Stored progress unreadable", "job", in.ID, "reason", err.Error())
		return
	}
	j.restore(&earlier, now)
	if j.completed() && !j.LongRunning() {
		sched.endJob(j, bbrwork.Completed, "all work units are stored as done", now)
	}
}

// Cancel ends a job on its submitter's demand.
func (sched *Scheduler) Cancel(id string, now time.Time) {
	job := sched.jobs[id]
	if job == nil || job.cancelled {
		return
	}
	job.cancelled = true
	sched.endJob(job, bbrwork.Cancelled, "cancelled by its submitter", now)
}

// runNumberGap is left between the run numbers of two owners: what an earlier
// one started on upstreams that cannot be asked is not known.
const runNumberGap = 16

// FinishLoading tells the ledger that all stored jobs are known, with the lives and the
// horizon that an earlier owner stored.
func (sched *Scheduler) FinishLoading(recorded []bbrwork.Upstream, inherited bbrkv.Revision, now time.Time) {
	if sched.firstOwner {
		return
	}
	sched.horizon.inherit(inherited)
	for _, up := range recorded {
		sched.RegisterUpstream(up, now)
		sched.upstreams[up.ID].registered = false
		sched.unlocated[up.Incarnation] = true
	}
	for _, job := range sched.jobs {
		for _, o := range job.occurrences {
			for _, s := range o.steps {
				for _, u := range s.units {
					u.lastRun += runNumberGap
				}
			}
		}
	}
}
