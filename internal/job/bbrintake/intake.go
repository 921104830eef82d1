package bbrintake

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbritem"
)

// Intake answers callers' questions and takes their jobs.
type Intake struct {
	Acceptor *Acceptor
	Store    *bbritem.Store
	// Config returns the configuration in force, or nil.
	Config func() *bbrwork.Config
	// AskOwner returns the state of a job from its service's owner, where there is
	// one that knows; nil where owners cannot be asked.
	AskOwner func(ctx context.Context, service, id string, now time.Time) (state bbrwork.State, known bool)
	// TellOwner tells the service's owner of a job that was stored just now, at
	// the revision, and does not wait; nil for nobody. The owner would hear of it
	// from the store a little later.
	TellOwner func(job *bbrwork.Job, stored bbritem.Revision, now time.Time)
	// StoreAnswers tells whether the store answered lately.
	StoreAnswers func(now time.Time) bool
}

// Submit stores a job of the queue.
func (i *Intake) Submit(job *bbrwork.Job, queue *bbrwork.Queue, id string, by, now time.Time) bbrcode.Code {
	if !i.StoreAnswers(now) {
		return bbrcode.StoreAway
	}
	job.ID, job.Queue, job.Service, job.Accepted = id, queue.Name, queue.Service, now.Round(0)
	code, stored := i.Acceptor.Accept(job, by)
	if stored != 0 && i.TellOwner != nil {
		i.TellOwner(job, stored, now)
	}
	return code
}

// State returns the state of a job of the queue, from its owner or else from
// the store. That a job does not exist is told by the store only.
func (i *Intake) State(ctx context.Context, queue *bbrwork.Queue, id string, now time.Time) (bbrwork.State, bbrcode.Code) {
	if i.AskOwner != nil {
		if state, known := i.AskOwner(ctx, queue.Service, id, now); known {
			return state, bbrcode.StateTold
		}
	}
	state, err := i.ended(ctx, id)
	if errors.Is(err, bbritem.ErrNotFound) {
		state, err = i.active(ctx, id)
	}
	if errors.Is(err, bbritem.ErrNotFound) {
		// The job may have ended between the two reads.
		state, err = i.ended(ctx, id)
	}
	switch {
	case errors.Is(err, bbritem.ErrNotFound):
		return "", bbrcode.UnknownJob
	case err != nil:
		return "", bbrcode.StoreAway
	default:
		return state, bbrcode.StateTold
	}
}

func (i *Intake) ended(ctx context.Context, id string) (bbrwork.State, error) {
	item, err := i.Store.Get(ctx, bbrrecord.EndedKey(id))
	if err != nil {
		return "", err
	}
	var record bbrrecord.Ended
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return "", err
	}
	return record.State, nil
}

// active returns the state of a job that has not ended.
func (i *Intake) active(ctx context.Context, id string) (bbrwork.State, error) {
	item, err := i.Store.Get(ctx, bbrrecord.JobKey(id))
	if err != nil {
		return "", err
	}
	var job bbrwork.Job
	if err := json.Unmarshal(item.Value, &job); err != nil {
		return "", err
	}
	_, err = i.Store.Get(ctx, bbrrecord.ProgressKey(job.Service, id))
	if errors.Is(err, bbritem.ErrNotFound) {
		return bbrwork.Pending, nil
	}
	return bbrwork.Running, err
}

// Cancel stores a demand to cancel a job.
func (i *Intake) Cancel(ctx context.Context, id string) bbrcode.Code {
	for range cancelAttempts {
		code, err := i.tryCancel(ctx, id)
		if err == nil {
			return code
		}
		if errors.Is(err, bbritem.ErrRefused) {
			return bbrcode.StoreAway
		}
		if ctx.Err() != nil {
			break
		}
	}
	return bbrcode.StoreUnsettled
}

// cancelAttempts bounds the tries of a cancellation whose answers are lost.
const cancelAttempts = 3

func (i *Intake) tryCancel(ctx context.Context, id string) (bbrcode.Code, error) {
	item, err := i.Store.Get(ctx, bbrrecord.JobKey(id))
	if errors.Is(err, bbritem.ErrNotFound) {
		_, err := i.ended(ctx, id)
		if errors.Is(err, bbritem.ErrNotFound) {
			return bbrcode.UnknownJob, nil
		}
		return bbrcode.CancelStored, err
	}
	if err != nil {
		return 0, err
	}
	_, err = i.Store.Commit(ctx, bbritem.Transaction{
		Conditions: []bbritem.Condition{{Key: bbrrecord.JobKey(id), Revision: item.Revision}},
		Puts:       []bbritem.Put{{Key: bbrrecord.CancelKey(id), Value: []byte("{}")}},
	})
	return bbrcode.CancelStored, err
}

// Waiting returns how many jobs of the queue have nothing started.
func (i *Intake) Waiting(ctx context.Context, queue *bbrwork.Queue) (int, bbrcode.Code) {
	item, err := i.Store.Get(ctx, bbrrecord.SequenceKey(queue.Service))
	if errors.Is(err, bbritem.ErrNotFound) {
		return 0, bbrcode.StateTold
	}
	if err != nil {
		return 0, bbrcode.StoreAway
	}
	var record bbrrecord.Sequence
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return 0, bbrcode.StoreAway
	}
	return record.Waiting[queue.Name], bbrcode.StateTold
}
