package bbrscheduler

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrinterference"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// Write is one job to be stored.
type Write struct {
	Job *bbrwork.Job
	// FinalState is empty until the job has ended; Progress is stored until then.
	FinalState bbrwork.State
	Progress   []byte
	// HasProgress and HasCancel report, for a job that has ended, whether the store
	// may hold progress of it and a request to cancel it.
	HasProgress, HasCancel bool
	// Crashes is the crash record to be stored; nil for no change. RemoveCrashes means
	// that the store may hold one that has to be removed.
	Crashes       []byte
	RemoveCrashes bool
	// Code says why the job has ended; 0 if its final state says it.
	Code bbrcode.Code

	job                                 *job
	version, crashVersion, orderVersion int
	// storesOrders means that starts wait for run numbers in Progress.
	storesOrders bool
}

// Batch is what has to be stored, and which run ends may be acknowledged once all
// of it is.
type Batch struct {
	Writes []Write
	// Recorded has the incarnations to be recorded for a successor; nil for no
	// change.
	Recorded []bbrwork.Upstream
	// Horizon is the horizon to store; the jobs within it may be started once it is
	// stored. It is 0, which gives a successor no bound, while earlier work is not
	// located and the horizon of earlier owners is unknown.
	Horizon bbrkv.Revision
	// OrdersStored means that a successor knows the highest run number that can have been
	// ordered of each long-running work unit.
	OrdersStored bool
	// Interference is to be stored with the rest, but is no reason to store; nil for no
	// change.
	Interference *bbrinterference.Record
	// acknowledgeable has the run ends that may be acknowledged; nil if writes are
	// left out.
	acknowledgeable map[bbrwork.Incarnation]int64
}

// StoresCrashes reports whether the batch has a crash record, for which starts wait.
func (b Batch) StoresCrashes() bool {
	return slices.ContainsFunc(b.Writes, func(w Write) bool { return w.Crashes != nil })
}

// StoresOrders reports whether the batch has run numbers, for which starts wait.
func (b Batch) StoresOrders() bool {
	return slices.ContainsFunc(b.Writes, func(w Write) bool { return w.storesOrders })
}

// Complete reports whether the batch has all that has to be stored.
func (b Batch) Complete() bool { return b.acknowledgeable != nil }

// Head returns the batch with only its first n writes.
func (b Batch) Head(n int) Batch {
	return Batch{Writes: b.Writes[:n], Recorded: b.Recorded, Horizon: b.Horizon, OrdersStored: b.OrdersStored, Interference: b.Interference}
}

// Batch returns what has to be stored now, with at most limit jobs.
func (sched *Scheduler) Batch(limit int, now time.Time) Batch {
	var batch Batch
	ids := slices.Sorted(maps.Keys(sched.dirty))
	// Ended jobs go first: callers wait for them.
	slices.SortStableFunc(ids, func(a, b string) int {
		return cmp.Compare(len(sched.dirty[b].finalState), len(sched.dirty[a].finalState))
	})
	for _, id := range ids[:min(len(ids), limit)] {
		batch.Writes = append(batch.Writes, sched.write(sched.dirty[id], now))
	}
	if len(ids) <= limit {
		batch.acknowledgeable = make(map[bbrwork.Incarnation]int64)
		for _, up := range sched.upstreams {
			batch.acknowledgeable[up.Incarnation] = up.acknowledgeable()
		}
	}
	batch.Recorded = sched.upstreamsToRecord()
	batch.Interference = sched.interferenceToStore(now)
	batch.OrdersStored = sched.storesOrders(now)
	batch.Horizon = sched.horizon.next(sched.EarlierWorkKnown(now))
	return batch
}

// write returns what has to be stored of a job.
func (sched *Scheduler) write(j *job, now time.Time) Write {
	w := Write{Job: j.Job, FinalState: j.finalState, HasProgress: j.mayHaveStoredProgress, HasCancel: j.cancelled,
		Code: j.endCode, job: j, version: j.version, crashVersion: j.crashVersion, orderVersion: j.orderVersion, storesOrders: !j.ordersStored()}
	if j.finalState == "" {
		dropped := 0
		w.Progress, dropped = j.progress(sched.maxValueBytes())
		if dropped > 0 {
			sched.note(now, "Progress stored without all checkpoints and failures, which exceed the largest value", "job", j.ID, "left out", dropped, "bytes", len(w.Progress))
		}
	}
	switch {
	case j.finalState != "":
		w.RemoveCrashes = j.mayHaveStoredCrashes
	case !j.crashesStored():
		w.Crashes = j.crashRecord(sched.maxValueBytes())
		w.RemoveCrashes = w.Crashes == nil && j.mayHaveStoredCrashes
		j.mayHaveStoredCrashes = j.mayHaveStoredCrashes || w.Crashes != nil
	}
	j.storedUnbegun = !j.begun
	// A transaction whose answer is lost may have stored the progress too.
	j.mayHaveStoredProgress = j.mayHaveStoredProgress || j.finalState == ""
	return w
}

// Urgent reports whether a caller or a start waits for something to be stored.
func (sched *Scheduler) Urgent() bool {
	for _, j := range sched.dirty {
		if j.finalState != "" || !j.crashesStored() || !j.ordersStored() {
			return true
		}
	}
	return sched.recordMissing() || sched.horizon.raiseNeeded
}

// NeedsHorizon reports whether a job waits for a higher horizon to be stored.
func (sched *Scheduler) NeedsHorizon() bool { return sched.horizon.raiseNeeded }

// Dirty reports whether a job has to be stored.
func (sched *Scheduler) Dirty() bool { return len(sched.dirty) > 0 }

// upstreamsToRecord returns the incarnations to be recorded for a successor, or nil
// if the stored list suffices. Incarnations on which work of an earlier owner has
// not been located, or that listed runs or ends of jobs that are not loaded yet, stay
// recorded.
func (sched *Scheduler) upstreamsToRecord() []bbrwork.Upstream {
	if !sched.recordMissing() && !sched.recordStale() {
		return nil
	}
	upstreams := []bbrwork.Upstream{}
	for _, up := range sched.sortedUpstreams() {
		if up.registered && (sched.toRecord[up.Incarnation] || sched.recorded[up.Incarnation]) || len(up.runs) > 0 || up.holdsUnknown() || sched.unlocated[up.Incarnation] || sched.hasTrialOn(up.Incarnation) {
			upstreams = append(upstreams, up.Upstream)
		}
	}
	return upstreams
}

// recordMissing reports whether work waits for an incarnation to be recorded.
func (sched *Scheduler) recordMissing() bool {
	for incarnation := range sched.toRecord {
		if up := sched.upstreams[incarnation.ID]; up != nil && up.Incarnation == incarnation && !sched.recorded[incarnation] {
			return true
		}
	}
	return false
}

// recordStale reports whether a recorded incarnation is gone. A successor would
// look for it in vain.
func (sched *Scheduler) recordStale() bool {
	for incarnation := range sched.recorded {
		up := sched.upstreams[incarnation.ID]
		if up == nil || up.Incarnation != incarnation || !up.registered && len(up.runs) == 0 && !up.holdsUnknown() && !sched.hasTrialOn(incarnation) {
			return true
		}
	}
	return false
}

// CanAcknowledge reports whether storing a batch, even one without writes, would
// allow run ends to be acknowledged.
func (sched *Scheduler) CanAcknowledge() bool {
	for _, up := range sched.upstreams {
		if up.acknowledged < up.acknowledgeable() {
			return true
		}
	}
	return false
}

// ApplyStored records that all of a batch is stored. revision is the store's
// revision, or 0 if nothing had to be written.
func (sched *Scheduler) ApplyStored(batch Batch, revision bbrkv.Revision, now time.Time) {
	if revision != 0 {
		sched.horizon.observe(revision)
		sched.horizon.advance(batch.Horizon)
		if batch.Interference != nil {
			sched.interference.RecordStored(*batch.Interference)
		}
	}
	for _, write := range batch.Writes {
		if write.job.version == write.version {
			delete(sched.dirty, write.job.ID)
		}
		write.job.storedCrashVersion = max(write.job.storedCrashVersion, write.crashVersion)
		write.job.storedOrderVersion = max(write.job.storedOrderVersion, write.orderVersion)
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
	sched.recordTransaction(revision, now)
	for incarnation, applied := range batch.acknowledgeable {
		if up := sched.upstreams[incarnation.ID]; up != nil && up.StartMillis == incarnation.StartMillis {
			up.acknowledged = max(up.acknowledged, applied)
		}
	}
	sched.forgetEnded(now)
}

// forgetEnded drops the jobs whose end is stored and that have no runs.
func (sched *Scheduler) forgetEnded(now time.Time) {
	sched.sweepEnded(now)
	for id, job := range sched.endedWithRuns {
		if !job.hasRuns() {
			sched.dropJob(job)
			delete(sched.endedWithRuns, id)
			sched.endedJobs[id] = endedJob{at: now, state: job.finalState}
		}
	}
}

// sweepInterval is the time between two sweeps of endedJobs.
const sweepInterval = time.Second

// sweepEnded forgets jobs that ended long ago, and jobs that need not be awaited any more. While jobs are loaded, a list that was read
// before their end may still name them.
func (sched *Scheduler) sweepEnded(now time.Time) {
	if sched.Loading() || now.Sub(sched.endedSweptAt) < sweepInterval {
		return
	}
	sched.endedSweptAt = now
	for id, ended := range sched.endedJobs {
		if now.Sub(ended.at) > endedRetention {
			delete(sched.endedJobs, id)
		}
	}
	for id, left := range sched.departures {
		if now.Sub(left.at) > endedRetention {
			delete(sched.departures, id)
		}
	}
	if sched.EarlierWorkKnown(now) {
		sched.loading.missing, sched.loading.cancelled = nil, nil
	}
}

// endedRetention exceeds the time for which a list or event may be in transit.
const endedRetention = time.Minute

func (j *job) hasRuns() bool {
	return j.runCount > 0
}

// AddJob adds a job with the revision at which it was stored and its stored
// progress, which may be empty. A known job is left unchanged, and one that went to another
// cell comes back with a higher revision only. A malformed one is ignored: an owner that ended
// on it would take each of its successors along.
//
// What is known of a job that arrives while jobs are loaded is applied: its crash record, and
// the runs and ends that upstreams listed before.
func (sched *Scheduler) AddJob(in *bbrwork.Job, storedRevision bbrkv.Revision, progress []byte, now time.Time) {
	sched.horizon.observe(storedRevision)
	sched.noteReturn(in, storedRevision)
	if _, ended := sched.endedJobs[in.ID]; ended || sched.jobs[in.ID] != nil || in.Shard() != sched.Shard || sched.hasDeparted(in.ID, storedRevision) {
		return
	}
	if err := in.Validate(); err != nil {
		sched.note(now, "Ignoring malformed job", "job", in.ID, "reason", err.Error())
		sched.RecordMissing(in.ID, now)
		return
	}
	policy := cmp.Or(sched.config.Queues[in.Queue].Policy(), in.Policy)
	j := newJob(in, policy, storedRevision, sched.runTimes, &sched.held, now)
	sched.jobs[in.ID] = j
	if in.Transfer == nil {
		sched.recordArrival(j, now)
	} else {
		j.begun, j.mayHaveStoredProgress = in.Transfer.Started, true
		if len(progress) == 0 {
			progress = in.Transfer.Progress
		}
	}
	sched.restoreProgress(j, progress, now)
	if !sched.EarlierWorkKnown(now) {
		sched.skipRunNumbers(j, now)
	}
	if j.holdDue(now); j.numbers.total > 1 || len(j.occurrences) == 0 {
		sched.unheld[j.ID] = j
	}
	sched.applyKept(j, now)
}

// restoreProgress restores the stored progress of a job, which may be empty.
func (sched *Scheduler) restoreProgress(j *job, progress []byte, now time.Time) {
	if len(progress) == 0 {
		return
	}
	j.mayHaveStoredProgress = true
	var earlier Progress
	if err := json.Unmarshal(progress, &earlier); err != nil {
		sched.note(now, "Decoding of stored progress failed", "job", j.ID, "reason", err.Error())
		j.ordersUnknown = true
		return
	}
	j.restore(&earlier, now)
	sched.inheritLateStarts(j, now)
	j.storedUnbegun = !j.begun
	if j.completed() && !j.LongRunning() {
		sched.endJob(j, bbrwork.Completed, "all work units are stored as done", now)
	}
}

// Cancel ends a job at its submitter's request. A job that is awaited ends when it
// arrives.
func (sched *Scheduler) Cancel(id string, now time.Time) {
	if sched.awaits(id, now) {
		if sched.loading.cancelled == nil {
			sched.loading.cancelled = make(map[string]bool)
		}
		sched.loading.cancelled[id] = true
	}
	job := sched.jobs[id]
	if job == nil || job.cancelled {
		return
	}
	job.cancelled = true
	sched.endJob(job, bbrwork.Cancelled, "cancelled by its submitter", now)
}

// runNumberGap is the gap between the run numbers of two owners, since the runs
// that an earlier owner started on unreachable upstreams are not known.
const runNumberGap = 16

// skipRunNumbers skips the run numbers that an earlier owner may have used for work units of
// the job.
func (sched *Scheduler) skipRunNumbers(j *job, now time.Time) {
	if sched.firstOwner || j.storedRevision > sched.horizon.inherited {
		return
	}
	j.skipRunNumbers(now.Add(maxClockDifference))
}

// maxClockDifference is how far the clock of an earlier owner may have been ahead.
const maxClockDifference = time.Minute
