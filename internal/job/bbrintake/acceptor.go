package bbrintake

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const (
	// jobEntries is the number of a transaction's entries for a job: a condition and
	// two puts. A cancelled ID has one put less.
	jobEntries = 3
	maxBatch   = bbrkv.MaxTransactionSize / jobEntries
	// batchDelay is how long a job waits for others to be stored in the same
	// transaction.
	batchDelay = 3 * time.Millisecond
	// maxWaiting bounds the jobs that wait for a transaction; more are refused.
	maxWaiting = 500
	// maxTransactionsInFlight bounds the concurrent transactions.
	maxTransactionsInFlight = 4
)

// submission is a job that waits to be stored or, without one, the record that an ID is cancelled.
type submission struct {
	id, organisation string
	// job is nil for a cancelled ID, and record the job's value in the store.
	job    *bbrwork.Job
	record []byte
	// status is the status to be stored, and replaces the revision of the record of a cancelled ID
	// that it replaces; 0 for none.
	status   bbrrecord.Status
	replaces bbrkv.Revision
	// deadline is the end of the caller's timeout.
	deadline time.Time
	// result receives the code of the answer.
	result chan bbrcode.Code
	// stored is the revision of the transaction that stored the job; 0 if unknown.
	stored bbrkv.Revision
}

// Acceptor stores accepted jobs and cancelled IDs, several in a transaction.
type Acceptor struct {
	Store *bbrkv.Store

	waiting chan *submission
	wg      sync.WaitGroup
}

// NewAcceptor returns an acceptor that stores jobs once Run is called.
func NewAcceptor(store *bbrkv.Store) *Acceptor {
	return &Acceptor{Store: store, waiting: make(chan *submission, maxWaiting)}
}

// Accept stores the job. It returns the code of the answer and, if known, the revision
// at which the job was stored, otherwise 0. The caller's timeout ends at deadline.
func (a *Acceptor) Accept(job *bbrwork.Job, deadline time.Time) (bbrcode.Code, bbrkv.Revision) {
	record, err := a.encode(job)
	switch {
	case errors.Is(err, errRecordTooLarge):
		klog.InfoS("Refusing a job that exceeds the store's largest value", "job", job.ID, "bytes", len(record), "limit", a.Store.MaxValueBytes)
		return bbrcode.BadJob, 0
	case err != nil:
		klog.InfoS("Refusing a job that cannot be encoded", "job", job.ID, "reason", err.Error())
		return bbrcode.BadJob, 0
	}
	s := &submission{id: job.ID, organisation: job.Organisation, job: job, record: record, status: bbrrecord.StatusOf(job), deadline: deadline}
	return a.store(s), s.stored
}

// cancelUnknown stores the record that the ID is cancelled, which replaces the one with the
// revision; 0 for none. It returns UnknownJob if that is stored, and AlreadyStored if there is a job
// instead.
func (a *Acceptor) cancelUnknown(id, organisation string, record bbrrecord.Status, replaces bbrkv.Revision, deadline time.Time) bbrcode.Code {
	return a.store(&submission{id: id, organisation: organisation, status: record, replaces: replaces, deadline: deadline})
}

// store waits until the submission has an answer, and returns its code.
func (a *Acceptor) store(s *submission) bbrcode.Code {
	s.result = make(chan bbrcode.Code, 1)
	select {
	case a.waiting <- s:
	default:
		return bbrcode.QueueFull
	}
	return <-s.result
}

var errRecordTooLarge = errors.New("the job's record exceeds the store's largest value")

// encode returns the job's value in the store. The error is errRecordTooLarge if the store
// does not take a value of that size.
func (a *Acceptor) encode(job *bbrwork.Job) ([]byte, error) {
	record, err := bbrrecord.EncodeJob(job)
	if err != nil {
		return nil, err
	}
	if limit := a.Store.MaxValueBytes; limit > 0 && len(record) > limit {
		return record, errRecordTooLarge
	}
	return record, nil
}

// full reports whether a job would be refused, as too many wait to be stored.
func (a *Acceptor) full() bool { return len(a.waiting) == cap(a.waiting) }

// Run stores jobs until ctx ends.
func (a *Acceptor) Run(ctx context.Context) {
	slots := make(chan struct{}, maxTransactionsInFlight)
	for {
		batch, ok := a.collect(ctx)
		if !ok {
			return
		}
		slots <- struct{}{}
		w := &writer{store: a.Store, batch: batch, slots: slots}
		a.wg.Go(func() { w.run(ctx) })
	}
}

// collect waits for a job, and for batchDelay or a full batch after it. It returns
// false if ctx ends before there is a job.
func (a *Acceptor) collect(ctx context.Context) ([]*submission, bool) {
	var batch []*submission
	select {
	case <-ctx.Done():
		return nil, false
	case first := <-a.waiting:
		batch = append(batch, first)
	}
	delayPassed := time.After(batchDelay)
	for len(batch) < maxBatch {
		select {
		case next := <-a.waiting:
			batch = append(batch, next)
		case <-delayPassed:
			return batch, true
		}
	}
	return batch, true
}

// writer stores one batch.
type writer struct {
	store *bbrkv.Store
	batch []*submission
	slots chan struct{}
	// answerLost means that the answer to an earlier attempt was lost, so that the
	// attempt may have been committed. The writer tries to find out until
	// unknownDeadline.
	answerLost      bool
	unknownDeadline time.Time
}

func (w *writer) run(ctx context.Context) {
	defer func() { <-w.slots }()
	for len(w.batch) > 0 {
		first, duplicates := splitDuplicates(w.batch)
		w.batch, w.answerLost = first, false
		for len(w.batch) > 0 {
			w.attempt(ctx, time.Now())
		}
		w.batch = duplicates
	}
}

// splitDuplicates returns the first submission of each ID, and the others. In one
// transaction, the condition that an ID is not stored would hold for all of them, and copies
// for different cells would become several jobs.
func splitDuplicates(batch []*submission) (first, duplicates []*submission) {
	seen := make(map[string]bool, len(batch))
	for _, s := range batch {
		if seen[s.id] {
			duplicates = append(duplicates, s)
			continue
		}
		seen[s.id] = true
		first = append(first, s)
	}
	return first, duplicates
}

// attempt commits the rest of the batch and answers the submissions whose outcome is
// known.
func (w *writer) attempt(ctx context.Context, now time.Time) {
	w.answerExpired(now)
	if len(w.batch) == 0 {
		return
	}
	revision, err := w.store.Commit(ctx, w.transaction())
	var conflict *bbrkv.Conflict
	switch {
	case err == nil:
		w.answer(func(s *submission) bbrcode.Code {
			s.stored = revision
			return s.storedCode()
		})
	case errors.As(err, &conflict):
		w.answer(func(s *submission) bbrcode.Code { return s.conflictCode(conflict, now) })
	case errors.Is(err, bbrkv.ErrAnswerLost):
		if !w.answerLost {
			w.answerLost, w.unknownDeadline = true, time.Now().Add(unknownTimeout)
		}
	case w.answerLost:
		time.Sleep(unknownRetryDelay)
	case errors.Is(err, bbrkv.ErrRefused):
		w.answer(func(*submission) bbrcode.Code { return bbrcode.StoreUnavailable })
	default:
		w.answer(func(*submission) bbrcode.Code { return bbrcode.BadJob })
	}
}

const (
	// unknownRetryDelay is the pause after a refused attempt while an earlier answer is
	// lost.
	unknownRetryDelay = 60 * time.Millisecond
	// unknownTimeout bounds the time for attempts after a lost answer. It is short, as
	// the caller may find an entry that reaches the store while this one does not.
	unknownTimeout = 600 * time.Millisecond
	// deadlineMargin is the part of the caller's timeout that is reserved for the answer.
	deadlineMargin = 300 * time.Millisecond
)

// answerExpired answers the submissions whose deadline is near, and all of them once
// unknownDeadline has passed. Nothing was stored if no answer was lost.
func (w *writer) answerExpired(now time.Time) {
	w.answer(func(s *submission) bbrcode.Code {
		switch {
		case w.answerLost && now.After(w.unknownDeadline):
			return bbrcode.StoreWriteUnknown
		case now.Before(s.deadline.Add(-deadlineMargin)):
			return 0
		case w.answerLost:
			return bbrcode.StoreWriteUnknown
		default:
			return bbrcode.StoreUnavailable
		}
	})
}

// answer answers each submission with the code that decide returns. A submission for
// which that is 0 stays in the batch.
func (w *writer) answer(decide func(s *submission) bbrcode.Code) {
	var remaining []*submission
	for _, s := range w.batch {
		if code := decide(s); code != 0 {
			s.result <- code
			continue
		}
		remaining = append(remaining, s)
	}
	w.batch = remaining
}

// storedCode returns the code of a submission that is stored.
func (s *submission) storedCode() bbrcode.Code {
	if s.job == nil {
		return bbrcode.UnknownJob
	}
	return bbrcode.Accepted
}

// conflictCode returns the code of a submission whose ID has a record among the conflicting items,
// and 0 for one that is to be tried again: without a record, or in place of the record that others
// cancelled the ID.
func (s *submission) conflictCode(conflict *bbrkv.Conflict, now time.Time) bbrcode.Code {
	item, stored := conflict.Items[bbrrecord.StatusKey(s.id)]
	if !stored {
		s.replaces = 0
		return 0
	}
	if s.replaces != 0 && item.Revision == s.replaces {
		return 0
	}
	var status bbrrecord.Status
	if err := json.Unmarshal(item.Value, &status); err != nil {
		klog.ErrorS(err, "Failed to decode the status of a stored job", "key", item.Key, "revision", item.Revision)
		return bbrcode.AlreadyStored
	}
	code := codeOfStored(status, s.organisation)
	switch {
	case code == bbrcode.CancelledBefore && s.job == nil:
		return bbrcode.UnknownJob
	case code != 0:
		return code
	case s.job == nil:
		s.status = status.AlsoCancelledBy(s.organisation, now.Round(0))
	}
	s.replaces = item.Revision
	return 0
}

// codeOfStored returns the code of a job of the organisation whose ID has the status, and 0 if it
// may be stored in place of that.
func codeOfStored(status bbrrecord.Status, organisation string) bbrcode.Code {
	switch {
	case status.IsJob() && belongsToOther(status.Organisation, organisation):
		return bbrcode.ForeignJob
	case status.IsJob():
		return bbrcode.AlreadyStored
	case status.IsCancelledBy(organisation):
		return bbrcode.CancelledBefore
	default:
		return 0
	}
}

func (w *writer) transaction() bbrkv.Transaction {
	var transaction bbrkv.Transaction
	for _, s := range w.batch {
		key := bbrrecord.StatusKey(s.id)
		transaction.Conditions = append(transaction.Conditions, bbrkv.Condition{Key: key, Revision: s.replaces})
		transaction.Puts = append(transaction.Puts, bbrkv.Put{Key: key, Value: bbrrecord.Encode(s.status)})
		if s.job != nil {
			transaction.Puts = append(transaction.Puts, bbrkv.Put{Key: bbrrecord.JobKey(s.job.Shard(), s.id), Value: s.record})
		}
	}
	return transaction
}
