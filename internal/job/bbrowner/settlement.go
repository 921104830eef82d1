package bbrowner

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// transactionOutcome is how a transaction of the flusher ended, as named in the metrics.
type transactionOutcome string

// Outcomes of transactions.
const (
	transactionStored transactionOutcome = "stored"
	// transactionFoundStored means that its answer was lost, and a repetition showed that it
	// is stored.
	transactionFoundStored transactionOutcome = "foundStored"
	transactionReplaced    transactionOutcome = "replaced"
	transactionRefused     transactionOutcome = "refused"
	// transactionAbandoned means that the owner ended before the outcome was known.
	transactionAbandoned transactionOutcome = "abandoned"
)

const (
	// unsettledLogAfter is the age from which an unsettled transaction is logged, and
	// unsettledLogInterval the time between two such lines.
	unsettledLogAfter    = time.Second
	unsettledLogInterval = time.Second
)

// settlement is the transaction of the flusher whose outcome is not known yet, and the
// horizon that starts wait for. The owner's lock guards it.
type settlement struct {
	// since is when the transaction was first sent; zero if there is none. attempts counts
	// how often it was sent.
	since    time.Time
	attempts int
	// entries and bytes are its size.
	entries, bytes int
	loggedAt       time.Time
	// horizonWantedAt is when a job first waited for the horizon that is not stored yet; zero
	// if none waits.
	horizonWantedAt time.Time
}

// beginTransaction records that a transaction is sent for the first time. The returned
// function records its outcome.
func (o *Owner) beginTransaction(transaction *bbrkv.Transaction, now time.Time) func(outcome transactionOutcome, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.settlement.since, o.settlement.attempts = now, 1
	o.settlement.entries, o.settlement.bytes = transaction.Size(), transactionBytes(transaction)
	return func(outcome transactionOutcome, end time.Time) {
		o.Metrics.Transaction(string(outcome), end.Sub(now))
		o.mu.Lock()
		defer o.mu.Unlock()
		o.settlement.since = time.Time{}
	}
}

// repeatTransaction records that the transaction is to be sent again.
func (o *Owner) repeatTransaction() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.settlement.attempts++
}

// outcomeOfConflict returns the outcome of a transaction whose conflict was resolved with
// the error.
func outcomeOfConflict(err error) transactionOutcome {
	if err != nil {
		return transactionReplaced
	}
	return transactionFoundStored
}

// transactionBytes returns the size of the transaction's keys and values.
func transactionBytes(transaction *bbrkv.Transaction) int {
	size := 0
	for _, put := range transaction.Puts {
		size += len(put.Key) + len(put.Value)
	}
	for _, key := range transaction.Removals {
		size += len(key)
	}
	return size
}

// recordHorizon records whether a job waits for a horizon to be stored, and for how long
// one did. The caller holds the lock.
func (o *Owner) recordHorizon(now time.Time) {
	s := &o.settlement
	switch wanted := o.scheduler.NeedsHorizon(); {
	case wanted && s.horizonWantedAt.IsZero():
		s.horizonWantedAt = now
	case !wanted && !s.horizonWantedAt.IsZero():
		o.Metrics.HorizonWait(now.Sub(s.horizonWantedAt))
		s.horizonWantedAt = time.Time{}
	}
}

// reportUnsettled updates the gauge of the unsettled transaction, and logs one that has not
// been settled for long. The caller holds the lock.
func (o *Owner) reportUnsettled(now time.Time) {
	s := &o.settlement
	if s.since.IsZero() {
		o.Metrics.SetUnsettled(o.Shard.String(), 0)
		return
	}
	age := now.Sub(s.since)
	o.Metrics.SetUnsettled(o.Shard.String(), age)
	if age < unsettledLogAfter || now.Sub(s.loggedAt) < unsettledLogInterval {
		return
	}
	s.loggedAt = now
	wanted := time.Duration(0)
	if !s.horizonWantedAt.IsZero() {
		wanted = now.Sub(s.horizonWantedAt)
	}
	klog.InfoS("Transaction not settled", "shard", o.Shard, "token", o.Held.Token, "age", age.Round(time.Millisecond), "attempts", s.attempts, "entries", s.entries, "bytes", s.bytes,
		"horizonWanted", wanted.Round(time.Millisecond))
}
