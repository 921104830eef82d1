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
	changed int
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
	// applied has what may be acknowledged; nil where writes are left out.
	applied map[bbrwork.Life]int64
}

// Complete tells whether the batch has all that is to be stored.
func (b Batch) Complete() bool { return b.applied != nil }

// Head returns the batch with its first n writes.
func (b Batch) Head(n int) Batch {
	return Batch{Writes: b.Writes[:n], Recorded: b.Recorded, Horizon: b.Horizon}
}

// Batch returns what has to be stored now, at most limit jobs.
func (l *Scheduler) Batch(limit int, now time.Time) Batch {
	var batch Batch
	ids := slices.Sorted(maps.Keys(l.dirty))
	// Jobs that have ended go first: callers wait for them.
	slices.SortStableFunc(ids, func(a, b string) int {
		return cmp.Compare(len(l.dirty[b].final), len(l.dirty[a].final))
	})
	for _, id := range ids[:min(len(ids), limit)] {
		batch.Writes = append(batch.Writes, l.dirty[id].write())
	}
	if len(ids) <= limit {
		batch.applied = make(map[bbrwork.Life]int64)
		for _, up := range l.upstreams {
			batch.applied[up.Life] = up.applied
		}
	}
	batch.Recorded = l.entitlement()
	batch.Horizon = l.horizon.next(l.EarlierWorkLocated(now))
	return batch
}

func (j *job) write() Write {
	w := Write{Job: j.Job, FinalState: j.final, Progress: j.progress(), HasProgress: j.hasProgress, HasCancel: j.cancelled, job: j, changed: j.changed}
	// Also a transaction whose answer is lost may have stored it.
	j.hasProgress = j.hasProgress || j.final == ""
	return w
}

// Urgent tells whether something waits for being stored that a caller or a
// start waits for.
func (l *Scheduler) Urgent() bool {
	for _, j := range l.dirty {
		if j.final != "" {
			return true
		}
	}
	return l.entitlementMissing() || l.horizon.short
}

// NeedsHorizon tells whether a job waits for a further horizon.
func (l *Scheduler) NeedsHorizon() bool { return l.horizon.short }

// Dirty tells whether anything has to be stored or acknowledged.
func (l *Scheduler) Dirty() bool { return len(l.dirty) > 0 }

// entitlement returns the lives on which work may run, or nil where the stored
// list says enough. Lives on which an earlier owner's work was not located stay
// listed.
func (l *Scheduler) entitlement() []bbrwork.Upstream {
	if !l.entitlementMissing() && !l.entitlementStale() {
		return nil
	}
	lives := []bbrwork.Upstream{}
	for _, up := range l.sortedUpstreams() {
		if up.registered && (l.asked[up.Life] || l.entitled[up.Life]) || len(up.runs) > 0 || l.unlocated[up.Life] {
			lives = append(lives, up.Upstream)
		}
	}
	return lives
}

// entitlementMissing tells whether work waits for a life to be listed.
func (l *Scheduler) entitlementMissing() bool {
	for life := range l.asked {
		if up := l.upstreams[life.ID]; up != nil && up.Life == life && !l.entitled[life] {
			return true
		}
	}
	return false
}

// entitlementStale tells whether a listed life is gone; a successor would look
// for it in vain.
func (l *Scheduler) entitlementStale() bool {
	for life := range l.entitled {
		if up := l.upstreams[life.ID]; up == nil || up.Life != life || !up.registered && len(up.runs) == 0 {
			return true
		}
	}
	return false
}

// CanAcknowledge tells whether a batch without writes would still allow ends
// to be acknowledged.
func (l *Scheduler) CanAcknowledge() bool {
	for _, up := range l.upstreams {
		if up.acknowledged < up.applied {
			return true
		}
	}
	return false
}

// ApplyStored tells the ledger that all of a batch is stored, and at which revision;
// 0 where nothing had to be written.
func (l *Scheduler) ApplyStored(batch Batch, at bbrkv.Revision, now time.Time) {
	if at != 0 {
		l.horizon.learn(at)
		l.horizon.advance(batch.Horizon)
	}
	for _, write := range batch.Writes {
		if write.job.changed == write.changed {
			delete(l.dirty, write.job.ID)
		}
		if write.FinalState != "" {
			l.leaving[write.job.ID] = write.job
		}
	}
	if batch.Recorded != nil {
		clear(l.entitled)
		clear(l.asked)
		for _, up := range batch.Recorded {
			l.entitled[up.Life] = true
		}
	}
	for life, applied := range batch.applied {
		if up := l.upstreams[life.ID]; up != nil && up.Born == life.Born {
			up.acknowledged = max(up.acknowledged, applied)
		}
	}
	l.forget(now)
}

// forget drops jobs that are stored as ended and have no runs.
func (l *Scheduler) forget(now time.Time) {
	l.sweepEnded(now)
	for id, job := range l.leaving {
		if !job.busy() {
			l.dropAdvice(job.Job)
			delete(l.jobs, id)
			delete(l.leaving, id)
			l.endedJobs[id] = endedJob{at: now, state: job.final}
		}
	}
}

// sweepEvery is between two looks for ended jobs to forget.
const sweepEvery = time.Second

func (l *Scheduler) sweepEnded(now time.Time) {
	if now.Sub(l.swept) < sweepEvery {
		return
	}
	l.swept = now
	for id, ended := range l.endedJobs {
		if now.Sub(ended.at) > endedFor {
			delete(l.endedJobs, id)
		}
	}
}

// endedFor is above the time for which a list or event may be on its way.
const endedFor = time.Minute

func (j *job) busy() bool {
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
func (l *Scheduler) AddJob(in *bbrwork.Job, stored bbrkv.Revision, progress []byte, now time.Time) {
	l.horizon.learn(stored)
	if _, ended := l.endedJobs[in.ID]; ended || l.jobs[in.ID] != nil || in.Shard() != l.Shard {
		return
	}
	terms := cmp.Or(l.config.Queues[in.Queue].Terms(), in.Terms)
	j := newJob(in, terms, stored, now)
	l.jobs[in.ID] = j
	l.noteArrival(j, now)
	if len(progress) == 0 {
		return
	}
	j.hasProgress = true
	var before Progress
	if err := json.Unmarshal(progress, &before); err != nil {
		l.note(now, "Stored progress unreadable", "job", in.ID, "reason", err.Error())
		return
	}
	j.restore(&before, now)
	if j.completed() && !j.Lasting() {
		l.finishJob(j, bbrwork.Completed, "all work units are stored as done", now)
	}
}

// Cancel ends a job on its submitter's demand.
func (l *Scheduler) Cancel(id string, now time.Time) {
	job := l.jobs[id]
	if job == nil || job.cancelled {
		return
	}
	job.cancelled = true
	l.finishJob(job, bbrwork.Cancelled, "cancelled by its submitter", now)
}

// runNumberGap is left between the run numbers of two owners: what an earlier
// one started on upstreams that cannot be asked is not known.
const runNumberGap = 16

// FinishLoading tells the ledger that all stored jobs are known, with the lives and the
// horizon that an earlier owner stored.
func (l *Scheduler) FinishLoading(lives []bbrwork.Upstream, horizon bbrkv.Revision, now time.Time) {
	if l.fresh {
		return
	}
	l.horizon.inherit(horizon)
	for _, up := range lives {
		l.RegisterUpstream(up, now)
		l.upstreams[up.ID].registered = false
		l.unlocated[up.Life] = true
	}
	for _, job := range l.jobs {
		for _, o := range job.occurrences {
			for _, s := range o.steps {
				for _, u := range s.units {
					u.last += runNumberGap
				}
			}
		}
	}
}
