package bbrintake

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const (
	// jobEntries is what a job takes of a transaction: a condition and two puts.
	jobEntries = 3
	maxBatch   = bbrkv.MaxTransactionSize / jobEntries
	// batchDelay is how long a job waits for others to share its transaction.
	batchDelay = 3 * time.Millisecond
	maxWaiting = 500
	// maxTransactionsInFlight bounds the transactions on their way at once.
	maxTransactionsInFlight = 4
)

// submission is a job that waits for being stored.
type submission struct {
	job *bbrwork.Job
	// deadline is when the caller leaves.
	deadline time.Time
	result   chan bbrcode.Code
	// stored is the revision of the transaction that stored the job; 0 where it
	// is not known.
	stored bbrkv.Revision
}

// Acceptor stores jobs, several in a transaction.
type Acceptor struct {
	Store *bbrkv.Store

	waiting chan *submission
	wg      sync.WaitGroup
}

// NewAcceptor returns an acceptor that accepts nothing until Run.
func NewAcceptor(store *bbrkv.Store) *Acceptor {
	return &Acceptor{Store: store, waiting: make(chan *submission, maxWaiting)}
}

// Accept stores the job and returns the code of the answer, and the revision at
// which the job was stored where that is known. by is when the caller leaves.
func (a *Acceptor) Accept(job *bbrwork.Job, deadline time.Time) (bbrcode.Code, bbrkv.Revision) {
	s := &submission{job: job, deadline: deadline, result: make(chan bbrcode.Code, 1)}
	select {
	case a.waiting <- s:
	default:
		return bbrcode.QueueFull, 0
	}
	code := <-s.result
	return code, s.stored
}

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

// collect waits for a job and gathers those that come with it.
func (a *Acceptor) collect(ctx context.Context) ([]*submission, bool) {
	var batch []*submission
	select {
	case <-ctx.Done():
		return nil, false
	case first := <-a.waiting:
		batch = append(batch, first)
	}
	batchFull := time.After(batchDelay)
	for len(batch) < maxBatch {
		select {
		case next := <-a.waiting:
			batch = append(batch, next)
		case <-batchFull:
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
	// answerLost means that an earlier sending may have been carried out; settleBy is
	// until when the writer asks for what became of it.
	answerLost      bool
	unknownDeadline time.Time
}

func (w *writer) run(ctx context.Context) {
	defer func() { <-w.slots }()
	for len(w.batch) > 0 {
		w.attempt(ctx, time.Now())
	}
}

// attempt commits what is left of the batch and answers what is settled.
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
			return bbrcode.Accepted
		})
	case errors.As(err, &conflict):
		w.answer(func(s *submission) bbrcode.Code { return conflictCode(conflict, s) })
	case errors.Is(err, bbrkv.ErrAnswerLost):
		if !w.answerLost {
			w.answerLost, w.unknownDeadline = true, time.Now().Add(unknownTimeout)
		}
	case w.answerLost:
		time.Sleep(unknownRetryDelay)
	case errors.Is(err, bbrkv.ErrRefused):
		w.answer(func(*submission) bbrcode.Code { return bbrcode.StoreAway })
	default:
		w.answer(func(*submission) bbrcode.Code { return bbrcode.BadJob })
	}
}

const (
	// unknownRetryDelay is between two attempts to settle a lost answer.
	unknownRetryDelay = 60 * time.Millisecond
	// unknownTimeout bounds the attempts: another entry may reach the store where this
	// one does not, so the caller is told soon.
	unknownTimeout = 600 * time.Millisecond
	// deadlineMargin is left of the caller's time for the answer.
	deadlineMargin = 300 * time.Millisecond
)

// answerExpired answers those whose caller is about to leave. Nothing was stored if
// no answer was lost.
func (w *writer) answerExpired(now time.Time) {
	w.answer(func(s *submission) bbrcode.Code {
		switch {
		case w.answerLost && now.After(w.unknownDeadline):
			return bbrcode.StoreUnsettled
		case now.Before(s.deadline.Add(-deadlineMargin)):
			return 0
		case w.answerLost:
			return bbrcode.StoreUnsettled
		default:
			return bbrcode.StoreAway
		}
	})
}

// answer gives each submission the code that settled returns; 0 leaves it.
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

// conflictCode returns the code for a job that the store turned out to have already,
// or 0.
func conflictCode(conflict *bbrkv.Conflict, s *submission) bbrcode.Code {
	if _, stored := conflict.Items[bbrrecord.StatusKey(s.job.ID)]; stored {
		return bbrcode.AlreadyStored
	}
	return 0
}

func (w *writer) transaction() bbrkv.Transaction {
	var transaction bbrkv.Transaction
	for _, s := range w.batch {
		transaction.Conditions = append(transaction.Conditions, bbrkv.Condition{Key: bbrrecord.StatusKey(s.job.ID)})
		transaction.Puts = append(transaction.Puts,
			bbrkv.Put{Key: bbrrecord.StatusKey(s.job.ID), Value: bbrrecord.Encode(bbrrecord.StatusOf(s.job))},
			bbrkv.Put{Key: bbrrecord.JobKey(s.job.Shard(), s.job.ID), Value: bbrrecord.Encode(s.job)})
	}
	return transaction
}
