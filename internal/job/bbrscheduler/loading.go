package bbrscheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrcrash"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// An owner plans while its stored jobs still arrive one by one. What upstreams list of a job
// that has not arrived is kept until it does: a run stays on its upstream and its lease is
// renewed, and an end is not acknowledged. So a job is known with all its located runs and
// ends before anything of it starts. The same holds after loading, for jobs that were accepted
// after the claim and that an earlier owner may have started before it learned of it.

// loadPhase is how far the loading of the stored jobs is.
type loadPhase uint8

const (
	loadNotBegun loadPhase = iota
	loadBegun
	loadFinished
)

// loading is what is known of jobs that have not arrived.
type loading struct {
	phase   loadPhase
	begunAt time.Time
	// unknown has the jobs of which upstreams listed runs or ends.
	unknown map[string]*unknownJob
	// missing has the jobs that the store does not have. It is empty once earlier work is known.
	missing map[string]bool
	// cancelled has the awaited jobs whose cancellation was requested. It is empty once earlier
	// work is known.
	cancelled map[string]bool
	// crashes has the stored crash records.
	crashes map[string]*storedCrashes
	// runsAdopted, endsApplied and endsDropped count what became of listed runs and ends.
	runsAdopted, endsApplied, endsDropped int
}

// unknownJob is what upstreams listed of a job that has not arrived.
type unknownJob struct {
	// runs has the runs in the unknownRuns of all upstreams.
	runs map[unknownPlace]bool
	// lastRuns has the highest listed run number of each work unit.
	lastRuns map[bbrwork.Unit]int
	ends     []unappliedEnd
	crashes  []unknownCrash
}

// unknownPlace is where a run of a job that has not arrived is.
type unknownPlace struct {
	up  *upstream
	key runKey
}

// unappliedEnd is the end of a run, and the silence of the upstream before it was listed.
type unappliedEnd struct {
	up     *upstream
	end    bbrwork.RunEnd
	before silence
}

// unknownRun is a run of a job that has not arrived. since is when it was first listed, and
// sent when the renewal was sent that last listed it.
type unknownRun struct {
	run         bbrwork.Run
	since, sent time.Time
}

// unknownCrash is the end of an incarnation under a run of a job that has not arrived. proven
// means that the run accuses no long-running work unit.
type unknownCrash struct {
	unit   bbrwork.Unit
	crash  bbrcrash.Crash
	proven bool
}

// BeginLoading records the incarnations and the horizon that an earlier owner stored. From
// now on the stored jobs are added, in any order, until FinishLoading. InheritOrders and
// RestoreCrashes are called before.
func (sched *Scheduler) BeginLoading(recorded []bbrwork.Upstream, inherited bbrkv.Revision, now time.Time) {
	sched.loading.phase, sched.loading.begunAt = loadBegun, now
	for _, account := range sched.accounts {
		account.Unknown = true
	}
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
		sched.skipRunNumbers(job, now)
	}
	sched.accuseLostTrials(now)
}

// Loading reports whether stored jobs may be missing. Until then the counts of jobs and of
// what they need are partial: WaitingByQueue, Demand, Room, Load, JobCount and State.
func (sched *Scheduler) Loading() bool { return sched.loading.phase == loadBegun }

// EarlierWorkKnown reports whether all jobs are loaded, earlier work is located, and all jobs
// that it belongs to are known. Until then, the jobs that MissingJobs returns are to be read by
// key, also after FinishLoading.
func (sched *Scheduler) EarlierWorkKnown(now time.Time) bool {
	return sched.EarlierWorkLocated(now) && !sched.Loading() && len(sched.loading.unknown) == 0
}

// MissingJobs returns the IDs of at most limit jobs that have not been added and of which
// upstreams listed runs or ends, those with runs first: their upstreams take no work.
func (sched *Scheduler) MissingJobs(limit int) []string {
	unknown := sched.loading.unknown
	ids := slices.SortedFunc(maps.Keys(unknown), func(a, b string) int {
		return cmp.Or(cmp.Compare(min(1, len(unknown[b].runs)), min(1, len(unknown[a].runs))), cmp.Compare(a, b))
	})
	return ids[:min(len(ids), limit)]
}

// RecordMissing records that the store does not have a job that MissingJobs returned before
// it was read. The job has ended: its runs are to be stopped, and its ends do not count.
func (sched *Scheduler) RecordMissing(id string, now time.Time) {
	if !sched.awaits(id, now) {
		return
	}
	sched.markMissing(id)
	sched.forgetUnknown(id, now)
}

func (sched *Scheduler) markMissing(id string) {
	if sched.loading.missing == nil {
		sched.loading.missing = make(map[string]bool)
	}
	sched.loading.missing[id] = true
}

// FinishLoading records that all stored jobs have been added. It returns the IDs of the crash
// records whose job does not exist, sorted. Jobs that MissingJobs still returns are taken not to
// exist: they are to be read by key before, as the list may lack jobs that were accepted meanwhile.
func (sched *Scheduler) FinishLoading(now time.Time) []string {
	l := &sched.loading
	missing := len(l.missing) + len(l.unknown)
	for _, id := range slices.Sorted(maps.Keys(l.unknown)) {
		sched.markMissing(id)
		sched.forgetUnknown(id, now)
	}
	for _, account := range sched.accounts {
		account.Unknown = false
	}
	stale := slices.Sorted(maps.Keys(l.crashes))
	if !l.begunAt.IsZero() {
		sched.note(now, "All stored jobs loaded", "after", now.Sub(l.begunAt).Round(time.Millisecond), "jobs", len(sched.jobs), "ended", len(sched.endedJobs),
			"missing", missing, "runsAdopted", l.runsAdopted, "endsApplied", l.endsApplied, "endsDropped", l.endsDropped, "staleCrashRecords", len(stale))
	}
	sched.loading = loading{phase: loadFinished, begunAt: l.begunAt, missing: l.missing, cancelled: l.cancelled}
	return stale
}

// awaits reports whether the job may be stored and has not been added. After loading, that
// holds while an earlier owner's work may still be listed first: the job may have been accepted
// after the claim, and its event not have arrived.
func (sched *Scheduler) awaits(id string, now time.Time) bool {
	if sched.loading.phase == loadNotBegun || sched.jobs[id] != nil || sched.loading.missing[id] {
		return false
	}
	if _, ended := sched.endedJobs[id]; ended {
		return false
	}
	return sched.Loading() || !sched.EarlierWorkLocated(now) || sched.loading.unknown[id] != nil
}

// unknownJob returns what is known of a job that has not arrived.
func (sched *Scheduler) unknownJob(id string) *unknownJob {
	if sched.loading.unknown == nil {
		sched.loading.unknown = make(map[string]*unknownJob)
	}
	unknown := sched.loading.unknown[id]
	if unknown == nil {
		unknown = &unknownJob{runs: make(map[unknownPlace]bool), lastRuns: make(map[bbrwork.Unit]int)}
		sched.loading.unknown[id] = unknown
	}
	return unknown
}

// keepRun keeps a run that the upstream listed in its answer to a renewal sent at sent.
func (sched *Scheduler) keepRun(up *upstream, running bbrwork.Run, sent, now time.Time) {
	key := runKey{running.Unit, running.Number}
	kept := up.unknownRuns[key]
	if kept == nil {
		if up.unknownRuns == nil {
			up.unknownRuns = make(map[runKey]*unknownRun)
		}
		kept = &unknownRun{since: now}
		up.unknownRuns[key] = kept
		unknown := sched.unknownJob(key.unit.Job)
		unknown.runs[unknownPlace{up, key}] = true
		unknown.lastRuns[key.unit] = max(unknown.lastRuns[key.unit], key.number)
		sched.boundByLongestLease(up, now)
	}
	kept.run, kept.sent = running, sent
}

// dropUnknownRun removes a run that is no longer on the upstream, or that is adopted.
func (sched *Scheduler) dropUnknownRun(up *upstream, key runKey) {
	if up.unknownRuns[key] == nil {
		return
	}
	delete(up.unknownRuns, key)
	delete(sched.unknownJob(key.unit.Job).runs, unknownPlace{up, key})
}

// dropUnknownRuns removes all runs of unknown jobs from an upstream.
func (sched *Scheduler) dropUnknownRuns(up *upstream) {
	for key := range up.unknownRuns {
		sched.dropUnknownRun(up, key)
	}
}

// keepEnd keeps an end. The upstream is not told that it was read.
func (sched *Scheduler) keepEnd(up *upstream, end bbrwork.RunEnd, before silence) {
	unknown := sched.unknownJob(end.Unit.Job)
	unknown.ends = append(unknown.ends, unappliedEnd{up, end, before})
	up.unapplied = append(up.unapplied, end.Sequence)
	sched.dropUnknownRun(up, runKey{end.Unit, end.Run})
}

// applied records that an end that was kept needs to be kept no longer.
func (e *unappliedEnd) applied() {
	if at, found := slices.BinarySearch(e.up.unapplied, e.end.Sequence); found {
		e.up.unapplied = slices.Delete(e.up.unapplied, at, at+1)
	}
}

// acknowledgeable returns the sequence number of the last end up to which all were applied.
func (up *upstream) acknowledgeable() int64 {
	if len(up.unapplied) > 0 {
		return min(up.applied, up.unapplied[0]-1)
	}
	return up.applied
}

// hasRuns reports whether runs of known or unknown jobs are on the upstream.
func (up *upstream) hasRuns() bool { return len(up.runs) > 0 || len(up.unknownRuns) > 0 }

// holdsUnknown reports whether the upstream has runs or ends of unknown jobs.
func (up *upstream) holdsUnknown() bool { return len(up.unknownRuns) > 0 || len(up.unapplied) > 0 }

// forgetUnknown drops what is kept of a job that does not exist. Its runs become orphans.
func (sched *Scheduler) forgetUnknown(id string, now time.Time) {
	unknown := sched.loading.unknown[id]
	if unknown == nil {
		return
	}
	for place := range unknown.runs {
		delete(place.up.unknownRuns, place.key)
		sched.addOrphan(place.up, place.key, now)
	}
	for i := range unknown.ends {
		unknown.ends[i].applied()
	}
	sched.loading.endsDropped += len(unknown.ends)
	delete(sched.loading.unknown, id)
}

// applyKept applies to a job that has just arrived what was kept of it.
func (sched *Scheduler) applyKept(j *job, now time.Time) {
	l := &sched.loading
	record := l.crashes[j.ID]
	delete(l.crashes, j.ID)
	delete(l.missing, j.ID)
	if record != nil {
		sched.applyCrashRecord(j, record, now)
	}
	if unknown := l.unknown[j.ID]; unknown != nil {
		sched.applyUnknown(j, unknown, now)
		delete(l.unknown, j.ID)
	}
	if record != nil {
		sched.settleKeptTrials(j, record)
	}
	if l.cancelled[j.ID] {
		delete(l.cancelled, j.ID)
		sched.Cancel(j.ID, now)
	}
}

// applyUnknown applies the listed ends and adopts the listed runs.
func (sched *Scheduler) applyUnknown(j *job, unknown *unknownJob, now time.Time) {
	for i := range unknown.ends {
		e := &unknown.ends[i]
		sched.applyEnd(e.up, e.end, e.before, now)
		e.applied()
	}
	sched.loading.endsApplied += len(unknown.ends)
	sched.adoptUnknownRuns(j, unknown, now)
	for name, number := range unknown.lastRuns {
		if u := j.findUnit(name); u != nil {
			u.lastRun = max(u.lastRun, number)
			sched.unitListed(u)
		}
	}
	for _, c := range unknown.crashes {
		u := j.findUnit(c.unit)
		if u != nil && !u.done && !(c.proven && u.step.spec.LongRunning) && !u.crashes.HasRun(c.crash.Run) {
			sched.accuse(u, c.crash, now)
		}
	}
}

// adoptUnknownRuns adopts the kept runs of the job, as of the time when they were first
// listed.
func (sched *Scheduler) adoptUnknownRuns(j *job, unknown *unknownJob, now time.Time) {
	type adopted struct {
		*run
		*unknownRun
	}
	var runs []adopted
	for _, place := range slices.SortedFunc(maps.Keys(unknown.runs), compareUnknownPlaces) {
		up, key := place.up, place.key
		kept := up.unknownRuns[key]
		delete(up.unknownRuns, key)
		u := j.findUnit(key.unit)
		if u == nil {
			sched.addOrphan(up, key, now)
			continue
		}
		r := sched.addAdopted(u, key.number, up, now)
		r.orderedAt, r.confirmedAt = kept.since, kept.since
		runs = append(runs, adopted{r, kept})
	}
	sched.loading.runsAdopted += len(runs)
	for _, a := range runs {
		sched.applyRun(a.up, a.key(), a.unknownRun.run, a.sent, now)
		sched.locate(a.run, a.sent)
	}
}

func compareUnknownPlaces(a, b unknownPlace) int {
	return cmp.Or(cmp.Compare(a.up.ID, b.up.ID), cmp.Compare(a.key.number, b.key.number), cmp.Compare(a.key.unit.String(), b.key.unit.String()))
}

// recordUnknownCrashes records the end of an incarnation for its runs of unknown jobs, which
// earlier owners started. others is the number of known runs that may have caused it.
func (sched *Scheduler) recordUnknownCrashes(up *upstream, others int, now time.Time) {
	failedAt := up.failedAt(now)
	for key, kept := range up.unknownRuns {
		unknown := sched.unknownJob(key.unit.Job)
		unknown.crashes = append(unknown.crashes, unknownCrash{
			unit:   key.unit,
			proven: kept.run.Percent == fullPercent && failedAt.Sub(kept.since) >= provenAfter,
			crash: bbrcrash.Crash{
				Upstream: up.ID, StartMillis: up.StartMillis, Run: key.number, At: now, Age: max(0, now.Sub(kept.since)),
				Others: others + len(up.unknownRuns) - 1, Certain: true,
			},
		})
	}
}

// usageUnknown reports whether runs of organisations may exist that are not counted: runs of
// jobs that have not arrived are listed, or may be where earlier work is not located.
func (sched *Scheduler) usageUnknown(now time.Time) bool {
	if sched.Loading() && !sched.EarlierWorkLocated(now) {
		return true
	}
	for _, unknown := range sched.loading.unknown {
		if len(unknown.runs) > 0 {
			return true
		}
	}
	return false
}

// capUnknown reports whether the step's organisation has a cap whose use is not known.
func (p *planner) capUnknown(s *step) bool {
	account := p.sched.accounts[s.job.Organisation]
	return account != nil && account.Cap != (bbrwork.Resources{}) && p.sched.usageUnknown(p.now)
}

// waitsForAllJobs reports whether nothing may start until all jobs are loaded, as no horizon
// can be stored.
func (sched *Scheduler) waitsForAllJobs() bool {
	return sched.Loading() && sched.horizon.inherited == unboundedHorizon
}

// mayFitBesideUnknown reports whether a work unit of the step may fit on an upstream that
// takes no work only because it lists runs of jobs that are still to be loaded.
func (p *planner) mayFitBesideUnknown(s *step) bool {
	return slices.ContainsFunc(p.sched.sortedUpstreams(), func(up *upstream) bool {
		return len(up.unknownRuns) > 0 && up.reached && up.acceptsWorkOnceKnown(p.now) && up.HasLabel(s.spec.Label) && s.spec.Allocation().Fits(up.free())
	})
}
