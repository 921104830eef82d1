package bbrintake

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrfairshare"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// Intake accepts jobs, cancels them and answers queries about them.
type Intake struct {
	Acceptor *Acceptor
	Store    *bbrkv.Store
	// Config returns the configuration in force; nil before there is one.
	Config func() *bbrwork.Config
	// Cells returns the division of the fleet into cells.
	Cells func() *bbrcell.Cells
	// ChooseCell returns the cell for a new job of a service whose home cell is homeCell,
	// modulo the number of cells; nil for the choice by bbrcell.Cells alone.
	ChooseCell func(cells *bbrcell.Cells, job *bbrwork.Job, homeCell int, now time.Time) int
	// PreviewCell returns the cell that ChooseCell would, and why, without counting the
	// choice; nil if ChooseCell is.
	PreviewCell func(cells *bbrcell.Cells, job *bbrwork.Job, homeCell int, now time.Time) (int, bbrcell.Reason)
	// Jobs caches the shards and the organisations of jobs.
	Jobs JobCache
	// QueryOwner queries the owner of the shard for the state of a job. It returns false
	// if there is no owner or the owner does not know the state. QueryOwner is nil if
	// owners cannot be queried.
	QueryOwner func(ctx context.Context, shard bbrwork.Shard, id string, now time.Time) (state bbrwork.State, known bool)
	// NotifyOwner notifies the owner of the job's shard, without waiting, that the job
	// was stored at the revision. Without it, the owner learns of the job from the store,
	// a little later. It may be nil.
	NotifyOwner func(job *bbrwork.Job, stored bbrkv.Revision, now time.Time)
	// OwnerToken returns the token of the shard's owner, and false if it has none. If it is
	// nil, the reports of all shards are trusted.
	OwnerToken func(shard bbrwork.Shard) (bbrkv.Revision, bool)
	// ExpectedWait returns what the owner of the shard has lately reported about new jobs of
	// the organisation in the queue; false if nothing is known. It is nil unless jobs are
	// refused by share.
	ExpectedWait func(shard bbrwork.Shard, organisation, queue string, now time.Time) (bbrfairshare.Wait, bool)
	// Backlogs bounds the backlogs of the shards; nil means that they are not bounded.
	Backlogs *Backlogs
	// Memory bounds the memory that owners need for the jobs; nil means that it is not bounded.
	Memory *MemoryBound
	// FormerServices has the services that queues had before.
	FormerServices FormerServices
	// ReroutedServices returns the services that have open jobs of a queue although it is routed
	// to another one, as their owners have stored it. It may be nil.
	ReroutedServices func(queue string) []string
	// StoreAvailable reports whether the store has answered recently.
	StoreAvailable func(now time.Time) bool
	// UnknownCancels bounds the cancellations of IDs without a job; the zero value allows
	// cancelRate of each organisation.
	UnknownCancels CancelBudget

	// counts has the counts of the jobs of shards without a report.
	counts storedCounts
}

// Submit stores a job of the queue and notifies its owner. The caller's timeout ends
// at deadline. retryAfter is when a refused caller should retry; 0 for the code's own
// time.
func (i *Intake) Submit(ctx context.Context, job *bbrwork.Job, queue *bbrwork.Queue, id string, deadline, now time.Time) (answer bbrcode.Code, retryAfter time.Duration) {
	if !i.StoreAvailable(now) {
		return bbrcode.StoreUnavailable, 0
	}
	assign(job, queue, id, now)
	job.Cell = i.chooseCell(job, now)
	if retryAfter, refused := i.refuseBeyondShare(ctx, job, queue, now); refused {
		return bbrcode.BeyondShare, retryAfter
	}
	if i.refuseFullBacklog(ctx, job, now) {
		return bbrcode.BacklogFull, 0
	}
	if code := i.refuseBeyondMemory(ctx, job, now); code != 0 {
		return code, 0
	}
	code, stored := i.Acceptor.Accept(job, deadline)
	if stored == 0 {
		return code, 0
	}
	i.Jobs.Add(id, jobPlace{shard: job.Shard(), organisation: job.Organisation})
	if i.NotifyOwner != nil {
		i.NotifyOwner(job, stored, now)
	}
	return code, 0
}

// assign sets what a job gets from its queue and its acceptance, except its cell.
func assign(job *bbrwork.Job, queue *bbrwork.Queue, id string, now time.Time) {
	job.ID, job.Queue, job.Service, job.Accepted = id, queue.Name, queue.Service, now.Round(0)
	job.Policy = queue.Policy()
}

// chooseCell returns the cell for a new job.
func (i *Intake) chooseCell(job *bbrwork.Job, now time.Time) int {
	cells, homeCell := i.Cells(), i.Config().ServiceIndex(job.Service)
	if i.ChooseCell == nil {
		return cells.ChooseForJob(job, homeCell)
	}
	return i.ChooseCell(cells, job, homeCell, now)
}

// State returns the state of a job of the queue for a caller of the organisation. It
// queries the job's owner first, as that saves reads of the store. Only the store can
// tell that a job does not exist.
func (i *Intake) State(ctx context.Context, queue *bbrwork.Queue, id, organisation string, now time.Time) (bbrwork.State, bbrcode.Code) {
	place, located := i.locate(id, queue.Service)
	if located {
		if belongsToOther(place.organisation, organisation) {
			return "", bbrcode.ForeignJob
		}
		if state, known := i.queryOwner(ctx, place.shard, id, now); known {
			return state, bbrcode.StateReported
		}
	}
	status, err := i.readStatus(ctx, id)
	switch {
	case errors.Is(err, bbrkv.ErrNotFound):
		return "", bbrcode.UnknownJob
	case err != nil:
		return "", bbrcode.StoreUnavailable
	case !status.IsJob():
		return "", bbrcode.UnknownJob
	}
	stored := jobPlace{shard: status.Shard(), organisation: status.Organisation}
	if belongsToOther(status.Organisation, organisation) {
		return "", bbrcode.ForeignJob
	}
	if status.State != "" {
		return status.State, bbrcode.StateReported
	}
	i.Jobs.Add(id, stored)
	if shard := status.Shard(); !located || shard != place.shard {
		if state, known := i.queryOwner(ctx, shard, id, now); known {
			return state, bbrcode.StateReported
		}
	}
	return i.activeState(ctx, status, id)
}

// locate returns where a job of the service runs and whom it belongs to, as far as that
// is known without a read of the store. A service with one shard is known to run all its
// jobs there; where there are organisations, the store must tell whose job it is.
func (i *Intake) locate(id, service string) (jobPlace, bool) {
	if place, known := i.Jobs.Get(id); known {
		return place, true
	}
	return jobPlace{shard: bbrwork.Shard{Service: service}}, i.Config().Organisations == nil && i.Cells().Count() == 1
}

// queryOwner returns the state of a job as the owner of the shard reports it.
func (i *Intake) queryOwner(ctx context.Context, shard bbrwork.Shard, id string, now time.Time) (bbrwork.State, bool) {
	if i.QueryOwner == nil {
		return "", false
	}
	return i.QueryOwner(ctx, shard, id, now)
}

// readStatus reads the status record of a job.
func (i *Intake) readStatus(ctx context.Context, id string) (bbrrecord.Status, error) {
	var status bbrrecord.Status
	item, err := i.Store.Get(ctx, bbrrecord.StatusKey(id))
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal(item.Value, &status)
}

// mayBeStored reports whether the job may be stored already, or its ID be cancelled, so that the
// answer that it was not accepted must come from the store.
func (i *Intake) mayBeStored(ctx context.Context, job *bbrwork.Job) bool {
	status, err := i.readStatus(ctx, job.ID)
	if err != nil {
		return !errors.Is(err, bbrkv.ErrNotFound)
	}
	return status.IsJob() || status.IsCancelledBy(job.Organisation)
}

// activeStateReads bounds the reads of a job's status and progress while the job changes its
// cell or ends between them.
const activeStateReads = 3

// storedState returns the state of a job that has not ended, by its progress. Progress that
// cannot be decoded counts as that of a job that has begun.
func storedState(progress bbrkv.Item) bbrwork.State {
	state, err := bbrscheduler.StoredState(progress.Value)
	if err != nil {
		klog.ErrorS(err, "Failed to decode the progress of a job", "key", progress.Key, "revision", progress.Revision)
		return bbrwork.Running
	}
	return state
}

// activeState returns the state of a job that had not ended, as it is stored: a job without
// progress is pending, unless its status has changed since it was read.
func (i *Intake) activeState(ctx context.Context, status bbrrecord.Status, id string) (bbrwork.State, bbrcode.Code) {
	for range activeStateReads {
		progress, err := i.Store.Get(ctx, bbrrecord.ProgressKey(status.Shard(), id))
		if err == nil {
			return storedState(progress), bbrcode.StateReported
		}
		if !errors.Is(err, bbrkv.ErrNotFound) {
			return "", bbrcode.StoreUnavailable
		}
		read, err := i.readStatus(ctx, id)
		switch {
		case err != nil:
			return "", bbrcode.StoreUnavailable
		case read.State != "":
			return read.State, bbrcode.StateReported
		case read.Shard() == status.Shard():
			return bbrwork.Pending, bbrcode.StateReported
		}
		status = read
	}
	return "", bbrcode.StoreUnavailable
}
