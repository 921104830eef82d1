package bbrintake

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// A submission may be stored seconds after its caller has given up: the store was slow, its answer
// was lost and the write is done late, or a copy of the request arrives. So the answer that there is
// no such job is given only once the store has a record that the ID is cancelled. It makes the
// conditions of all submissions on their way fail, and is kept as long as the status of a job.

// Cancellation is a request to cancel a job.
type Cancellation struct {
	ID string
	// Queue is the queue that the request addresses, and Organisation that of its caller.
	Queue        *bbrwork.Queue
	Organisation string
	// Deadline is the end of the caller's timeout.
	Deadline time.Time
}

// Cancel stores a cancellation request for a job or, if there is none, that its ID is cancelled.
func (i *Intake) Cancel(ctx context.Context, c Cancellation, now time.Time) bbrcode.Code {
	for range cancelAttempts {
		code, err := i.tryCancel(ctx, c, now)
		if err == nil {
			return code
		}
		if errors.Is(err, bbrkv.ErrRefused) {
			return bbrcode.StoreUnavailable
		}
		if ctx.Err() != nil {
			break
		}
	}
	return bbrcode.StoreWriteUnknown
}

// cancelAttempts bounds the attempts to store a cancellation request when the answers
// of the store are lost.
const cancelAttempts = 3

// errStatusChanged means that the status of a job changed between its read and a write that
// depends on it.
var errStatusChanged = errors.New("the job's status has changed")

// tryCancel makes one attempt to store a cancellation request. A job that has ended
// needs none.
func (i *Intake) tryCancel(ctx context.Context, c Cancellation, now time.Time) (bbrcode.Code, error) {
	item, err := i.Store.Get(ctx, bbrrecord.StatusKey(c.ID))
	if errors.Is(err, bbrkv.ErrNotFound) {
		return i.cancelUnknown(c, bbrrecord.CancelledUnknown(c.Queue.Name, c.Queue.Service, c.Organisation, now.Round(0)), 0, now)
	}
	if err != nil {
		return 0, err
	}
	var status bbrrecord.Status
	if err := json.Unmarshal(item.Value, &status); err != nil {
		return 0, err
	}
	switch {
	case status.IsCancelledBy(c.Organisation):
		return bbrcode.UnknownJob, nil
	case !status.IsJob():
		return i.cancelUnknown(c, status.AlsoCancelledBy(c.Organisation, now.Round(0)), item.Revision, now)
	case belongsToOther(status.Organisation, c.Organisation):
		return bbrcode.ForeignJob, nil
	case status.State != "":
		return bbrcode.CancelStored, nil
	}
	_, err = i.Store.Commit(ctx, bbrkv.Transaction{
		Conditions: []bbrkv.Condition{{Key: item.Key, Revision: item.Revision}},
		Puts:       []bbrkv.Put{{Key: bbrrecord.CancelKey(status.Shard(), c.ID), Value: []byte("{}")}},
	})
	return bbrcode.CancelStored, err
}

// cancelUnknown stores the record for an ID without a job. replaces is the revision of the record
// that it replaces; 0 for none. The error is errStatusChanged if there is a job meanwhile.
func (i *Intake) cancelUnknown(c Cancellation, record bbrrecord.Status, replaces bbrkv.Revision, now time.Time) (bbrcode.Code, error) {
	if !i.UnknownCancels.take(c.Organisation, now) {
		return bbrcode.TooManyUnknown, nil
	}
	code := i.Acceptor.cancelUnknown(c.ID, c.Organisation, record, replaces, c.Deadline)
	if code == bbrcode.AlreadyStored {
		return 0, errStatusChanged
	}
	return code, nil
}
