package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrtransfer"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// A job of which nothing runs or can still begin to run may go to the same service's shard in
// another cell. From BeginTransfer until the outcome of the transaction is known, nothing of it
// starts here.

const (
	// transferDelay is how long work waits for capacity before its job may go to another
	// cell: work that ends meanwhile gives it capacity here, at no cost.
	transferDelay = 800 * time.Millisecond
	// splitDelay is how long long-running work of which nothing runs waits for capacity for all
	// of its work units before it goes where only some fit: the fleet delivers instances
	// meanwhile if it has them.
	splitDelay = 3 * time.Second
	// transferPause is the time, for each earlier transfer of the job and at most
	// maxTransferPauses times, for which a job stays in a cell. It bounds how often a job
	// moves while several cells are short of capacity by turns.
	transferPause     = time.Second
	maxTransferPauses = 8
	// transferRetryDelay is the time after a transfer that was not committed.
	transferRetryDelay = time.Second
	// maxOfferEvaluated bounds the waiting steps for which an offer keeps capacity. A shard
	// with more of them offers none.
	maxOfferEvaluated = 128
)

// transferState is the state of a job's transfer to another cell.
type transferState struct {
	// leaving means that the transaction may be in flight.
	leaving bool
	// notBefore is when the job may be considered again.
	notBefore time.Time
	// returned is the record with which the job came back before the outcome of its transfer
	// was known here; nil if it did not.
	returned       *bbrwork.Job
	returnedStored bbrkv.Revision
}

// departure is the transfer of a job that this owner has stored.
type departure struct {
	at     time.Time
	stored bbrkv.Revision
}

// OutgoingTransfer is a job that is to be stored in another cell.
type OutgoingTransfer struct {
	Job *bbrwork.Job
	// Moved is the record of the job for the other cell.
	Moved *bbrwork.Job
	// StoredRevision is the revision of the job's record and of its status.
	StoredRevision bbrkv.Revision
	// StoresProgress means that the progress in Moved is to be stored by itself as well.
	StoresProgress bool
	// HasProgress and HasCrashes report whether the store may hold progress and a crash
	// record of the job in this cell.
	HasProgress, HasCrashes bool
	// Needs is what the job waits for, and Waited for how long.
	Needs  []bbrtransfer.Need
	Waited time.Duration
}

// TransferCandidates returns the jobs that wait for capacity and may go to another cell, at most
// limit of them, those that have waited longest first. cellsFor returns the other cells that
// can run a job. It returns nil while jobs are loaded or the upstreams of a new owner have not
// all answered.
func (sched *Scheduler) TransferCandidates(limit int, cellsFor func(job *bbrwork.Job) []int, now time.Time) []bbrtransfer.Job {
	if sched.Loading() || now.Sub(sched.claimedAt) < roomSettleTime {
		return nil
	}
	p := sched.survey(now)
	var jobs []bbrtransfer.Job
	evaluated := 0
	seen := make(map[*job]bool)
	for _, w := range p.waitingSteps() {
		j := w.step.job
		if evaluated >= maxEvaluated || len(jobs) >= limit || now.Sub(w.since) < transferDelay {
			break
		}
		if seen[j] || !p.mayTransfer(j) {
			continue
		}
		seen[j] = true
		cells := cellsFor(j.Job)
		if len(cells) == 0 {
			continue
		}
		evaluated++
		if needs := p.transferNeeds(j); len(needs) > 0 {
			jobs = append(jobs, bbrtransfer.Job{ID: j.ID, Since: w.since, Needs: needs, Cells: cells})
		}
	}
	return jobs
}

// mayTransfer reports whether the job may go to another cell: nothing of it runs or can still
// begin to run, and nothing of this owner's state refers to its work units.
func (p *planner) mayTransfer(j *job) bool {
	pause := time.Duration(min(j.transferCount(), maxTransferPauses)) * transferPause
	if j.finalState != "" || j.cancelled || j.transfer.leaving || p.now.Before(j.transfer.notBefore) || p.now.Sub(j.learnedAt) < pause {
		return false
	}
	return !j.hasRuns() && !j.hasLateStarts(p.now) && !p.mayHaveUnlocatedRuns(j) && !p.sched.hasSuspects(j) && !p.sched.hasDestination(j)
}

// transferCount returns how often the job went to another cell.
func (j *job) transferCount() int {
	if j.Transfer == nil {
		return 0
	}
	return j.Transfer.Count
}

// hasSuspects reports whether an upstream crashed under a work unit of the job.
func (sched *Scheduler) hasSuspects(j *job) bool {
	for u := range sched.suspects {
		if u.step.job == j {
			return true
		}
	}
	return false
}

// hasDestination reports whether capacity is kept for a work unit of the job that left a
// vacated upstream.
func (sched *Scheduler) hasDestination(j *job) bool {
	for _, v := range sched.vacancies.list {
		for u := range v.destinations {
			if u.step.job == j {
				return true
			}
		}
	}
	return false
}

// transferNeeds returns what the runnable steps of the job wait for. It returns nil if one of
// them waits for something else than capacity.
func (p *planner) transferNeeds(j *job) []bbrtransfer.Need {
	var needs []bbrtransfer.Need
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.idleUnits == 0 || s.unitsLeft == 0 || !s.runnable(p.now) {
				continue
			}
			w := p.wait(s, true)
			if !w.reason.wantsCapacity() || !p.mayLeaveData(s, w.since) {
				return nil
			}
			needs = append(needs, s.transferNeed(p.now.Sub(w.since)))
		}
	}
	return needs
}

// transferNeed returns what the idle work units of the step need that has waited for the time.
// The members of a gang stay together, and so do long-running work units for splitDelay.
func (s *step) transferNeed(waited time.Duration) bbrtransfer.Need {
	return bbrtransfer.Need{Allocation: s.spec.Allocation(), Units: s.idleUnits, Label: s.spec.Label, MaxPerUpstream: s.spec.MaxPerUpstream,
		Whole: s.spec.Gang || s.spec.LongRunning && waited < splitDelay, OneUpstream: s.spec.Gang && s.spec.SameRack}
}

// mayLeaveData reports whether the step has waited at least as long as it takes longer in
// another cell, where its data is not.
func (p *planner) mayLeaveData(s *step, since time.Time) bool {
	if s.spec.DataRack == "" || s.spec.LongRunning {
		return true
	}
	return p.now.Sub(since) >= time.Duration((p.sched.Timing.RemoteDataFactor-1)*float64(s.runTime))
}

// wantsCapacity reports whether the reason is a lack of capacity or of upstreams that another
// cell may have.
func (r Reason) wantsCapacity() bool {
	switch r {
	case ReasonNoUsableUpstream, ReasonCapacityUsedByFiniteWork, ReasonCapacityForFew, ReasonCapacityFragmented, ReasonCapacityUsedByLongRunningWork,
		ReasonCapacityReserved, ReasonReservationHeld, ReasonGangPartlyFits, ReasonMaxPerUpstream, ReasonTooLarge, ReasonLabelMissing:
		return true
	default:
		return false
	}
}

// BeginTransfer begins the transfer of a job to a cell and returns what has to be stored. It
// returns false if the job may not go there any more.
func (sched *Scheduler) BeginTransfer(id string, cell int, now time.Time) (OutgoingTransfer, bool) {
	j := sched.jobs[id]
	p := sched.survey(now)
	if j == nil || !p.mayTransfer(j) {
		return OutgoingTransfer{}, false
	}
	out := OutgoingTransfer{Job: j.Job, StoredRevision: j.storedRevision, HasProgress: j.mayHaveStoredProgress, HasCrashes: j.mayHaveStoredCrashes}
	transfer := &bbrwork.Transfer{Count: j.transferCount() + 1, Started: j.begun}
	// The upstreams of this cell say nothing to the other one: no start is on its way.
	j.eachUnit(func(_ int, u *unit) { u.clearTarget() })
	if j.hasProgress() {
		dropped := 0
		if transfer.Progress, dropped = j.progress(sched.maxValueBytes() / transferProgressShare); dropped > 0 {
			j.transfer.notBefore = now.Add(endedRetention)
			return OutgoingTransfer{}, false
		}
		out.StoresProgress = j.begun || j.mayHaveStoredProgress
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.idleUnits > 0 && s.unitsLeft > 0 && s.runnable(now) {
				_, since := s.longestIdle()
				waited := now.Sub(since)
				out.Needs, out.Waited = append(out.Needs, s.transferNeed(waited)), max(out.Waited, waited)
			}
		}
	}
	moved := *j.Job
	moved.Cell, moved.Transfer = cell, transfer
	out.Moved = &moved
	j.transfer.leaving = true
	return out, true
}

// transferProgressShare is the part of the largest value, one in transferProgressShare, that
// progress may take in the record of a job: its encoding takes a third more there.
const transferProgressShare = 4

// EndTransfer records that a transfer is stored as of revision, or that it has certainly not
// been and never will be if revision is 0.
func (sched *Scheduler) EndTransfer(out OutgoingTransfer, revision bbrkv.Revision, now time.Time) {
	j := sched.jobs[out.Job.ID]
	if j == nil || j.Job != out.Job {
		return
	}
	j.transfer.leaving = false
	if revision == 0 {
		j.transfer.notBefore = now.Add(transferRetryDelay)
		return
	}
	sched.dropJob(j)
	delete(sched.dirty, j.ID)
	sched.departures[j.ID] = departure{at: now, stored: revision}
	if returned := j.transfer; returned.returned != nil {
		sched.AddJob(returned.returned, returned.returnedStored, nil, now)
	}
}

// hasDeparted reports whether the record of the job is one from before it went to another cell.
func (sched *Scheduler) hasDeparted(id string, storedRevision bbrkv.Revision) bool {
	left, known := sched.departures[id]
	return known && storedRevision <= left.stored
}

// noteReturn keeps a record of a known job that is newer than the known one: the job has left,
// and come back, before the outcome of its transfer is known.
func (sched *Scheduler) noteReturn(in *bbrwork.Job, storedRevision bbrkv.Revision) {
	if j := sched.jobs[in.ID]; j != nil && j.transfer.leaving && storedRevision > max(j.storedRevision, j.transfer.returnedStored) && in.Shard() == sched.Shard {
		j.transfer.returned, j.transfer.returnedStored = in, storedRevision
	}
}

// Offer returns the groups of upstreams with capacity for the work of other cells: what is
// free and cannot be used by work that waits here. It returns nil while that is not known.
func (sched *Scheduler) Offer(now time.Time) []bbrtransfer.Group {
	if sched.Loading() || now.Sub(sched.claimedAt) < roomSettleTime || !sched.EarlierWorkLocated(now) {
		return nil
	}
	p := sched.survey(now)
	var upstreams []bbrtransfer.Upstream
	for _, up := range p.usable {
		if up.hold == nil && up.vacancy == nil && !up.health.suspect(now) && !sched.isDestination(up) && !now.Before(up.refusedUntil) {
			upstreams = append(upstreams, bbrtransfer.Upstream{Free: up.free(), Labels: up.Labels[:max(0, len(up.Labels)-1)]})
		}
	}
	waiting := p.waitingSteps()
	if len(waiting) > maxOfferEvaluated {
		return nil
	}
	for _, w := range waiting {
		need := w.step.transferNeed(now.Sub(w.since))
		need.Label = ""
		bbrtransfer.Place([]bbrtransfer.Need{need}, upstreams)
	}
	return bbrtransfer.GroupUpstreams(upstreams)
}
