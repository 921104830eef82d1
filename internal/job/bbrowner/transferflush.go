package bbrowner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrtransfer"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// fixedTransferEntries is the number of a transfer transaction's entries besides those of jobs:
// the conditions of both claims and of the sequence, and the sequence.
const fixedTransferEntries = 4

// transferEntries returns the number of a transaction's entries for a job: the conditions of
// its status and of no cancellation request, its status, its record in both cells, and its
// other records.
func transferEntries(t *pendingTransfer) int {
	count := 5
	if t.StoresProgress {
		count++
	}
	if t.HasProgress {
		count++
	}
	if t.HasCrashes {
		count++
	}
	return count
}

// addTransfer adds the entries for a job, as many as transferEntries returns.
func addTransfer(transaction *bbrkv.Transaction, t *pendingTransfer, record []byte) {
	id, from, to := t.Job.ID, t.Job.Shard(), t.Moved.Shard()
	transaction.Conditions = append(transaction.Conditions,
		bbrkv.Condition{Key: bbrrecord.StatusKey(id), Revision: t.StoredRevision},
		bbrkv.Condition{Key: bbrrecord.CancelKey(from, id)})
	transaction.Puts = append(transaction.Puts,
		bbrkv.Put{Key: bbrrecord.StatusKey(id), Value: bbrrecord.Encode(bbrrecord.StatusOf(t.Moved))},
		bbrkv.Put{Key: bbrrecord.JobKey(to, id), Value: record})
	if t.StoresProgress {
		transaction.Puts = append(transaction.Puts, bbrkv.Put{Key: bbrrecord.ProgressKey(to, id), Value: t.Moved.Transfer.Progress})
	}
	transaction.Removals = append(transaction.Removals, bbrrecord.JobKey(from, id))
	if t.HasProgress {
		transaction.Removals = append(transaction.Removals, bbrrecord.ProgressKey(from, id))
	}
	if t.HasCrashes {
		transaction.Removals = append(transaction.Removals, bbrrecord.CrashesKey(from, id))
	}
}

// flushTransfers stores the pending transfers, in one transaction or several.
func (f *flusher) flushTransfers(ctx context.Context) error {
	for {
		batch := f.owner.takePending()
		if len(batch) == 0 {
			return nil
		}
		if err := f.storeTransfers(ctx, batch, time.Now()); err != nil {
			f.withdrawPending(time.Now())
			return err
		}
	}
}

// storeTransfers stores a batch of transfers to one shard. It returns an error if nothing more
// can be stored now.
func (f *flusher) storeTransfers(ctx context.Context, batch []pendingTransfer, now time.Time) error {
	o := f.owner
	batch, records := f.encodeTransfers(batch, now)
	if len(batch) == 0 {
		return nil
	}
	o.mu.Lock()
	// The sequence record bounds what a successor has to look for, as in each transaction.
	state := o.scheduler.Batch(0, now)
	o.mu.Unlock()
	state.Writes, state.Recorded, state.Interference = nil, nil, nil
	commits := &o.commits
	commits.number++
	key, to := bbrrecord.SequenceKey(o.Shard), batch[0].Moved.Shard()
	record := bbrrecord.Sequence{Token: int64(o.Held.Token), Number: commits.number, Horizon: state.Horizon, OrdersStored: state.OrdersStored}
	owner := bbrkv.Condition{Key: bbrclaim.ClaimKey(to.String()), Revision: batch[0].token}
	transaction := bbrkv.Transaction{
		Conditions: []bbrkv.Condition{o.Held.Condition(), {Key: key, Revision: commits.revision}, owner},
		Puts:       []bbrkv.Put{{Key: key, Value: bbrrecord.Encode(record)}},
	}
	for i := range batch {
		addTransfer(&transaction, &batch[i], records[i])
	}
	revision, err := f.commitUntilKnown(ctx, transaction, commits.number)
	var unmet *unmetTransfer
	switch {
	case err == nil:
		commits.revision = revision
		f.applyStored(state.Head(0), revision)
		f.endTransfers(batch, revision, func(*pendingTransfer) TransferOutcome { return TransferStored }, time.Now())
	case errors.As(err, &unmet):
		f.endTransfers(batch, 0, func(t *pendingTransfer) TransferOutcome { return unmet.outcome(t, owner) }, time.Now())
	case errors.Is(err, errReplaced), ctx.Err() != nil:
		// The outcome is unknown, or another owner has the shard: the jobs start no more here.
		return err
	default:
		f.endTransfers(batch, 0, func(*pendingTransfer) TransferOutcome { return TransferRefused }, time.Now())
		return err
	}
	return nil
}

// encodeTransfers returns the transfers whose job records the store takes, with the records,
// and ends the others.
func (f *flusher) encodeTransfers(batch []pendingTransfer, now time.Time) (fitting []pendingTransfer, records [][]byte) {
	for _, t := range batch {
		record, err := bbrrecord.EncodeJob(t.Moved)
		if limit := f.owner.Store.MaxValueBytes; err != nil || limit > 0 && len(record) > limit {
			f.endTransfers([]pendingTransfer{t}, 0, func(*pendingTransfer) TransferOutcome { return TransferTooLarge }, now)
			continue
		}
		fitting, records = append(fitting, t), append(records, record)
	}
	return fitting, records
}

// endTransfers passes the outcome of transfers to the scheduler, and the jobs that are stored
// in another cell to their new owner. revision is that of the transaction; 0 if it was not, and
// will not be, committed.
func (f *flusher) endTransfers(batch []pendingTransfer, revision bbrkv.Revision, outcome func(t *pendingTransfer) TransferOutcome, now time.Time) {
	o := f.owner
	o.mu.Lock()
	for i := range batch {
		t := &batch[i]
		o.scheduler.EndTransfer(t.OutgoingTransfer, revision, now)
		result := outcome(t)
		o.countTransfers(result, 1)
		klog.InfoS("Transfer of a job to another cell ended", "shard", o.Shard, "token", o.Held.Token, "job", t.Job.ID, "to", t.cell, "outcome", result, "revision", revision)
		if revision != 0 {
			o.transfers.sent = append(o.transfers.sent, bbrtransfer.Sent{Cell: t.cell, Needs: t.Needs, At: now, Stored: revision})
		}
	}
	o.requestPlan()
	o.mu.Unlock()
	if revision == 0 || o.NotifyOwner == nil {
		return
	}
	for i := range batch {
		o.NotifyOwner(batch[i].Moved, revision, now)
	}
}

// withdrawPending ends the transfers that were not sent, so that their jobs may start here.
func (f *flusher) withdrawPending(now time.Time) {
	for batch := f.owner.takePending(); len(batch) > 0; batch = f.owner.takePending() {
		f.endTransfers(batch, 0, func(*pendingTransfer) TransferOutcome { return TransferRefused }, now)
	}
}

// unmetTransfer is the error of a transaction of which a condition is not met, although the
// owner has its claim and has committed nothing else: it has not been committed and never will
// be, as the revision of a status only rises, a cancellation request remains until its job
// ends, and a claim that ended does not come back.
type unmetTransfer struct {
	conflict *bbrkv.Conflict
}

func (u *unmetTransfer) Error() string { return "a condition of the transfer is not met" }

// outcome returns what the conflict means for a transfer. owner is the condition of the claim
// of the destination.
func (u *unmetTransfer) outcome(t *pendingTransfer, owner bbrkv.Condition) TransferOutcome {
	switch {
	case u.conflict.Items[owner.Key].Revision != owner.Revision:
		return TransferOwnerChanged
	case u.conflict.Items[bbrrecord.CancelKey(t.Job.Shard(), t.Job.ID)].Revision != 0:
		return TransferCancelled
	case u.conflict.Items[bbrrecord.StatusKey(t.Job.ID)].Revision != t.StoredRevision:
		return TransferStatusChanged
	default:
		return TransferOtherFailed
	}
}

// keepsShard reports whether the conflict shows that the owner's claim and sequence are as its
// transaction requires, so that another condition is not met.
func (f *flusher) keepsShard(conflict *bbrkv.Conflict) bool {
	held := f.owner.Held.Condition()
	return conflict.Items[held.Key].Revision == held.Revision && conflict.Items[bbrrecord.SequenceKey(f.owner.Shard)].Revision == f.owner.commits.revision
}
