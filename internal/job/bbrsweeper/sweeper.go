// Package bbrsweeper removes the records of jobs after their retention period.
package bbrsweeper

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrlog"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const (
	// sweepInterval is the time for a sweep of all records. The IDs with each first digit
	// are swept separately, so that no read is large.
	sweepInterval = 30 * time.Second
	idDigits      = "0123456789abcdefABCDEF"
	// retentionMargin is added to the retention period: the clocks of entries differ, and
	// a submission that is repeated late must still find the record.
	retentionMargin = time.Minute
	// maxPrefixLength bounds how far a list is narrowed whose answer is lost.
	maxPrefixLength = 3
)

// Sweeper removes expired records while its entry is the fleet leader.
type Sweeper struct {
	Store *bbrkv.Store
	// Condition is that the claim of the fleet leadership is still in force.
	Condition bbrkv.Condition
	// Retention is how long callers can query the state of a job that has ended.
	Retention time.Duration
}

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	for next := 0; ; next = (next + 1) % len(idDigits) {
		bbrpause.For(ctx, sweepInterval/time.Duration(len(idDigits)))
		if ctx.Err() != nil {
			return
		}
		removed, err := s.Sweep(ctx, idDigits[next:next+1], time.Now())
		if err != nil || removed > 0 {
			klog.InfoS("Swept records of ended jobs", "removed", removed, "failed", err != nil, "reason", bbrlog.ErrorText(err))
		}
	}
}

// Sweep removes, for the jobs whose IDs have the prefix, the statuses that have
// expired at now, and the cancellation requests for jobs that have ended. It returns
// the number of records that it removed. If the list of the statuses is lost, which may be
// due to its size, the IDs are swept by one more digit each.
func (s *Sweeper) Sweep(ctx context.Context, idPrefix string, now time.Time) (int, error) {
	statuses, _, err := s.Store.ReadAll(ctx, bbrrecord.StatusKey(idPrefix))
	if errors.Is(err, bbrkv.ErrAnswerLost) && len(idPrefix) < maxPrefixLength {
		return s.sweepNarrower(ctx, idPrefix, now)
	}
	if err != nil || len(statuses) == 0 {
		return 0, err
	}
	cancellations, _, err := s.Store.ReadAll(ctx, bbrrecord.CancelPrefix)
	if err != nil {
		return 0, err
	}
	return s.remove(ctx, statuses, cancellations, now)
}

// sweepNarrower sweeps the IDs with the prefix by one more digit each, until that fails.
func (s *Sweeper) sweepNarrower(ctx context.Context, idPrefix string, now time.Time) (int, error) {
	removed := 0
	for _, digit := range idDigits {
		count, err := s.Sweep(ctx, idPrefix+string(digit), now)
		removed += count
		if err != nil {
			return removed, err
		}
	}
	return removed, nil
}

// remove removes what has expired of the records that were read, and returns the number of
// records that it removed.
func (s *Sweeper) remove(ctx context.Context, statuses, cancellations []bbrkv.Item, now time.Time) (int, error) {
	endTimes := s.endTimes(statuses)
	expired := append(s.expiredStatuses(endTimes, statuses, now), obsoleteCancellations(endTimes, cancellations)...)
	removed := 0
	for batch := range slices.Chunk(expired, maxRemovals) {
		_, err := s.Store.Commit(ctx, s.removal(batch))
		var conflict *bbrkv.Conflict
		switch {
		case errors.As(err, &conflict):
			klog.V(1).InfoS("Records of ended jobs have changed, sweeping them later", "records", len(batch))
		case err != nil:
			return removed, err
		default:
			removed += len(batch)
		}
	}
	return removed, nil
}

// entriesPerRemoval is the number of a transaction's entries for a record that it removes.
const entriesPerRemoval = 2

// maxRemovals bounds the records that are removed in a transaction, beside the condition of the
// claim.
const maxRemovals = (bbrkv.MaxTransactionSize - 1) / entriesPerRemoval

// removal returns the transaction that removes the records as they were read: if it is done late, it
// must not remove the records of a later job with the same ID.
func (s *Sweeper) removal(batch []bbrkv.Item) bbrkv.Transaction {
	transaction := bbrkv.Transaction{Conditions: []bbrkv.Condition{s.Condition}}
	for _, item := range batch {
		transaction.Conditions = append(transaction.Conditions, bbrkv.Condition{Key: item.Key, Revision: item.Revision})
		transaction.Removals = append(transaction.Removals, item.Key)
	}
	return transaction
}

// endTimes returns the times at which jobs ended, by job ID.
func (s *Sweeper) endTimes(statuses []bbrkv.Item) map[string]time.Time {
	endTimes := make(map[string]time.Time)
	for _, item := range statuses {
		var status bbrrecord.Status
		if err := json.Unmarshal(item.Value, &status); err != nil {
			klog.ErrorS(err, "Failed to decode the status of a job", "key", item.Key)
			continue
		}
		if status.State != "" {
			endTimes[bbrrecord.JobID(item.Key)] = status.At
		}
	}
	return endTimes
}

// obsoleteCancellations returns the cancellation requests for jobs that have ended. They came too
// late for the owner to remove them with the job.
func obsoleteCancellations(endTimes map[string]time.Time, cancellations []bbrkv.Item) []bbrkv.Item {
	return slices.DeleteFunc(slices.Clone(cancellations), func(item bbrkv.Item) bool {
		_, ended := endTimes[bbrrecord.JobID(item.Key)]
		return !ended
	})
}

// expiredStatuses returns the statuses whose retention period has passed, in the order of their keys.
func (s *Sweeper) expiredStatuses(endTimes map[string]time.Time, statuses []bbrkv.Item, now time.Time) []bbrkv.Item {
	expired := slices.DeleteFunc(slices.Clone(statuses), func(item bbrkv.Item) bool {
		endedAt, ended := endTimes[bbrrecord.JobID(item.Key)]
		return !ended || now.Sub(endedAt) <= s.Retention+retentionMargin
	})
	slices.SortFunc(expired, func(a, b bbrkv.Item) int { return cmp.Compare(a.Key, b.Key) })
	return expired
}
