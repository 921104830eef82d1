package bbrowner

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrtransfer"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const (
	// flushPause is the pause after a flush, so that the next transaction stores
	// several ends.
	flushPause      = 20 * time.Millisecond
	flushRetryDelay = 100 * time.Millisecond
	// waitingReportInterval bounds the age of the stored counts of waiting jobs while
	// they change.
	waitingReportInterval = 700 * time.Millisecond
	// finalFlushTimeout bounds the time for storing after the owner's end.
	finalFlushTimeout = time.Second
	// fixedEntries is the number of a transaction's entries besides those of jobs: two
	// conditions, the sequence, and possibly the recorded upstreams and the report. The
	// record of interfering images is one more in the transactions that have it.
	fixedEntries = 5
	maxWrites    = bbrkv.MaxTransactionSize - fixedEntries
	// maxTransactionBytes bounds the writes of a transaction, except for a single one that is
	// larger: an entry with a small link must be able to send it within the time of a call.
	// Starts wait for an urgent transaction, so that it has fewer.
	maxTransactionBytes       = 128 << 10
	maxUrgentTransactionBytes = 8 << 10
)

// commitState is what the owner knows of its own transactions.
type commitState struct {
	// revision is that of the sequence record as last committed, and number that of the
	// last transaction, whether committed or not.
	revision bbrkv.Revision
	number   int64
	// waiting, drained, demand and offer are from the report that was stored last, at
	// reportedAt.
	waiting    map[string]int
	reportedAt time.Time
	drained    []string
	demand     bbrscheduler.Demand
	offer      *bbrtransfer.Offer
	// rerouted has the queues for which this owner has stored a record of rerouted queues.
	rerouted map[string]bool
}

// report is what an owner reports besides the progress of jobs, as in
// bbrrecord.Report.
type report struct {
	waiting map[string]int
	drained []string
	demand  bbrscheduler.Demand
	beyond  []bbrscheduler.OrganisationShare
	offer   *bbrtransfer.Offer
	// backlogBytes is never 0.
	backlogBytes, heldBytes int
	reroutes                rerouteChanges
}

// flusher stores the changes of the scheduler's state. It continues for a short time
// after the owner's end, so that a successor finds what was done.
type flusher struct {
	owner *Owner
	// lastReport is the report as of reportedAt, and reportTook how long its computation took.
	lastReport report
	reportedAt time.Time
	reportTook time.Duration
	// shortened means that the last transaction left writes or a report out because starts
	// waited for it. The next one leaves nothing out, so that bulk is stored as well while
	// starts wait all the time.
	shortened bool
}

func (f *flusher) run(ctx context.Context) {
	// The end of ctx does not cancel a transaction in flight. The final one depends on
	// its outcome, as its condition is the revision of the transaction before.
	storeCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(finalFlushTimeout, cancel) })()
	timer := time.NewTicker(demandReportInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			f.finalFlush(storeCtx)
			return
		case <-f.owner.flushNow:
		case <-timer.C:
		}
		if err := f.flush(storeCtx); err != nil {
			bbrpause.For(ctx, flushRetryDelay)
			signal(f.owner.flushNow)
			continue
		}
		bbrpause.For(ctx, flushPause)
	}
}

// finalFlush stores what is not stored yet, if the claim is still confirmed.
func (f *flusher) finalFlush(ctx context.Context) {
	if f.owner.scheduler == nil || !f.owner.Confirmed(time.Now()) {
		return
	}
	if err := f.flush(ctx); err != nil {
		klog.InfoS("Final flush failed", "shard", f.owner.Shard, "reason", err.Error())
	}
}

// flush stores all changes, in one transaction or several, and the pending transfers. After an
// error, it gives those up that were not sent: their jobs may start here.
func (f *flusher) flush(ctx context.Context) error {
	for {
		more, err := f.flushBatch(ctx, time.Now())
		if err != nil {
			f.withdrawPending(time.Now())
			return err
		}
		if !more {
			return f.flushTransfers(ctx)
		}
	}
}

// flushBatch stores one batch and reports whether there are more.
func (f *flusher) flushBatch(ctx context.Context, now time.Time) (bool, error) {
	o := f.owner
	o.mu.Lock()
	batch := o.scheduler.Batch(maxWrites, now)
	needsHorizon := o.scheduler.NeedsHorizon()
	loading := o.scheduler.Loading()
	var current report
	if !loading {
		current = f.currentReport(now)
	}
	canAcknowledge := o.scheduler.CanAcknowledge()
	o.mu.Unlock()
	urgent := (needsHorizon || batch.Recorded != nil) && !f.shortened
	batch, complete := fitTransaction(batch, urgent)
	if room := leaveRoom(batch, current.reroutes.count()); len(room.Writes) < len(batch.Writes) {
		batch, complete = room, false
	}
	// While jobs are loaded, the counts would be partial. The last owner's report stays.
	storeReport := !loading && f.mustStoreReport(&current, now)
	if urgent && storeReport {
		storeReport, complete = false, false
	}
	f.shortened = urgent && !complete
	if len(batch.Writes) == 0 && batch.Recorded == nil && !needsHorizon && !storeReport {
		if canAcknowledge {
			f.applyStored(batch, 0)
		}
		return false, nil
	}
	if err := f.commit(ctx, batch, current, storeReport, now); err != nil {
		return false, err
	}
	f.applyStored(batch, o.commits.revision)
	if batch.Recorded != nil || needsHorizon || batch.StoresCrashes() || batch.StoresOrders() {
		o.requestPlan()
	}
	return !complete, nil
}

const (
	// minReportTTL and maxReportTTL bound the age up to which a report is reused instead of
	// computed anew.
	minReportTTL = 50 * time.Millisecond
	maxReportTTL = 400 * time.Millisecond
	// reportTimeShare is the part of the owner's time, one in reportTimeShare, that reports
	// may take: with a large backlog, one takes several milliseconds.
	reportTimeShare = 25
	// maxReleasable bounds the releasable upstreams in a report; the next report
	// has others.
	maxReleasable = 16
	// maxReportedShares bounds the organisations beyond their shares in a report.
	maxReportedShares = 8
)

// reportTTL returns the age up to which a report is reused that took the time to compute.
func reportTTL(took time.Duration) time.Duration {
	return min(max(minReportTTL, reportTimeShare*took), maxReportTTL)
}

// currentReport returns the report, at most maxReportTTL old. The caller holds the
// owner's lock.
func (f *flusher) currentReport(now time.Time) report {
	if scheduler := f.owner.scheduler; now.Sub(f.reportedAt) > reportTTL(f.reportTook) {
		begin := time.Now()
		f.lastReport = report{waiting: scheduler.WaitingByQueue(now), drained: scheduler.Drained(now), demand: scheduler.Demand(now)}
		f.lastReport.demand.LimitReleasable(maxReleasable)
		f.lastReport.backlogBytes = max(1, scheduler.ListedBytes())
		f.lastReport.heldBytes = scheduler.HeldBytes()
		f.lastReport.beyond = slices.DeleteFunc(scheduler.Shares(maxReportedShares), func(share bbrscheduler.OrganisationShare) bool { return !share.Beyond })
		f.lastReport.offer = f.owner.offer(now)
		f.lastReport.reroutes = f.owner.rerouteChanges(scheduler.OpenQueues())
		f.reportedAt, f.reportTook = now, time.Since(begin)
	}
	return f.lastReport
}

// applyStored passes to the scheduler that the batch is stored as of revision, and
// wakes the renewers that wait for that.
func (f *flusher) applyStored(batch bbrscheduler.Batch, revision bbrkv.Revision) {
	o := f.owner
	o.mu.Lock()
	o.scheduler.ApplyStored(batch, revision, time.Now())
	o.recordHorizon(time.Now())
	o.wakeRenewers(o.scheduler.Unfenced())
	if o.nextStored != nil {
		close(o.nextStored)
		o.nextStored = nil
	}
	o.mu.Unlock()
}

// mustStoreReport reports whether the report must be stored even if nothing else is.
func (f *flusher) mustStoreReport(current *report, now time.Time) bool {
	stored := &f.owner.commits
	waiting := current.waiting
	age := now.Sub(stored.reportedAt)
	if stored.number == 0 || !slices.Equal(current.drained, stored.drained) || age > maxReportAge {
		return true
	}
	if current.reroutes.count() > 0 {
		return age >= demandReportInterval
	}
	if demandChanged(stored.demand, current.demand) {
		return age >= demandReportInterval
	}
	return age >= waitingReportInterval-waitingReportInterval/10 && (!maps.Equal(waiting, stored.waiting) || offerChanged(stored.offer, current.offer))
}

const (
	// maxReportAge bounds the age of a stored report while it does not change.
	maxReportAge = 1500 * time.Millisecond
	// demandReportInterval is the minimum time between two reports of changed demand.
	demandReportInterval = 150 * time.Millisecond
	// minDemandChange is the smallest change of the demanded CPU that causes a report,
	// in thousandths of a core.
	minDemandChange = 8000
)

// demandChanged reports whether the change of demand is large enough to be reported.
func demandChanged(before, now bbrscheduler.Demand) bool {
	change, heldChange := now.MilliCPU-before.MilliCPU, now.HeldMilliCPU-before.HeldMilliCPU
	return change >= minDemandChange || -change >= minDemandChange || heldChange >= minDemandChange || -heldChange >= minDemandChange || now.MinUpstreams != before.MinUpstreams || now.SpreadUpstreams != before.SpreadUpstreams || now.Exclusive != before.Exclusive || now.Occupied != before.Occupied || !maps.Equal(now.ExclusiveByLabel, before.ExclusiveByLabel)
}

// fitTransaction truncates the batch to what fits into a transaction, and reports
// whether the result has all that there is to store. Starts wait for an urgent one, whatever
// writes it has.
func fitTransaction(batch bbrscheduler.Batch, urgent bool) (bbrscheduler.Batch, bool) {
	count, bytes := entriesBesideWrites(batch), 0
	for i, write := range batch.Writes {
		count += entriesPerWrite(write)
		bytes += len(write.Progress) + len(write.Crashes)
		if count > bbrkv.MaxTransactionSize || urgent && bytes > maxUrgentTransactionBytes || i > 0 && bytes > maxTransactionBytes {
			return batch.Head(i), false
		}
	}
	return batch, batch.Complete()
}

// entriesBesideWrites returns the number of a transaction's entries besides those of jobs.
func entriesBesideWrites(batch bbrscheduler.Batch) int {
	if batch.Interference != nil {
		return fixedEntries + 1
	}
	return fixedEntries
}

// leaveRoom truncates the batch so that its transaction has room for further entries.
func leaveRoom(batch bbrscheduler.Batch, further int) bbrscheduler.Batch {
	count := entriesBesideWrites(batch) + further
	for i, write := range batch.Writes {
		if count += entriesPerWrite(write); count > bbrkv.MaxTransactionSize {
			return batch.Head(i)
		}
	}
	return batch
}

// entriesPerWrite returns the number of a transaction's entries for a write. For a job
// that has ended, they are its status and the removal of its other records.
func entriesPerWrite(write bbrscheduler.Write) int {
	count := 1
	if write.Crashes != nil || write.RemoveCrashes {
		count++
	}
	if write.FinalState == "" {
		return count
	}
	count++
	if write.HasProgress {
		count++
	}
	if write.HasCancel {
		count++
	}
	return count
}

// commit stores the batch, and the report if storeReport is set.
func (f *flusher) commit(ctx context.Context, batch bbrscheduler.Batch, current report, storeReport bool, now time.Time) error {
	o := f.owner
	commits := &o.commits
	commits.number++
	key := bbrrecord.SequenceKey(o.Shard)
	record := bbrrecord.Sequence{Token: int64(o.Held.Token), Number: commits.number, Horizon: batch.Horizon, OrdersStored: batch.OrdersStored}
	transaction := bbrkv.Transaction{
		Conditions: []bbrkv.Condition{o.Held.Condition(), {Key: key, Revision: commits.revision}},
		Puts:       []bbrkv.Put{{Key: key, Value: bbrrecord.Encode(record)}},
	}
	if storeReport {
		stored := bbrrecord.Report{Waiting: current.waiting, Drained: current.drained, Demand: current.demand, BacklogBytes: current.backlogBytes, HeldBytes: current.heldBytes, Beyond: current.beyond, Offer: current.offer, At: now}
		transaction.Puts = append(transaction.Puts, bbrkv.Put{Key: bbrrecord.ReportKey(o.Shard), Value: bbrrecord.Encode(stored)})
		current.reroutes.addTo(&transaction, o)
	}
	if batch.Recorded != nil {
		transaction.Puts = append(transaction.Puts, bbrkv.Put{Key: bbrrecord.IncarnationsKey(o.Shard), Value: bbrrecord.Encode(batch.Recorded)})
	}
	if batch.Interference != nil {
		transaction.Puts = append(transaction.Puts, bbrkv.Put{Key: bbrrecord.InterferenceKey(o.Shard), Value: bbrrecord.Encode(batch.Interference)})
	}
	for _, write := range batch.Writes {
		addWrite(&transaction, write, now)
	}
	removable := bbrkv.MaxTransactionSize - len(transaction.Conditions) - len(transaction.Puts) - len(transaction.Removals)
	stale := o.takeStaleCrashKeys(removable)
	transaction.Removals = append(transaction.Removals, stale...)
	revision, err := f.commitUntilKnown(ctx, transaction, commits.number)
	if err != nil {
		return err
	}
	commits.revision = revision
	o.dropStaleCrashKeys(len(stale))
	if storeReport {
		commits.waiting, commits.drained, commits.demand, commits.reportedAt = current.waiting, current.drained, current.demand, now
		commits.offer = current.offer
		current.reroutes.stored(commits)
		f.lastReport.reroutes = rerouteChanges{}
	}
	return nil
}

// addWrite adds the entries for a write, as many as entriesPerWrite returns.
func addWrite(transaction *bbrkv.Transaction, write bbrscheduler.Write, now time.Time) {
	job := write.Job
	crashesKey := bbrrecord.CrashesKey(job.Shard(), job.ID)
	switch {
	case write.Crashes != nil:
		transaction.Puts = append(transaction.Puts, bbrkv.Put{Key: crashesKey, Value: write.Crashes})
	case write.RemoveCrashes:
		transaction.Removals = append(transaction.Removals, crashesKey)
	}
	if write.FinalState == "" {
		transaction.Puts = append(transaction.Puts, bbrkv.Put{Key: bbrrecord.ProgressKey(job.Shard(), job.ID), Value: write.Progress})
		return
	}
	ended := bbrrecord.StatusOf(job).Ended(write.FinalState, now)
	ended.Code = write.Code
	transaction.Puts = append(transaction.Puts, bbrkv.Put{Key: bbrrecord.StatusKey(job.ID), Value: bbrrecord.Encode(ended)})
	transaction.Removals = append(transaction.Removals, bbrrecord.JobKey(job.Shard(), job.ID))
	if write.HasProgress {
		transaction.Removals = append(transaction.Removals, bbrrecord.ProgressKey(job.Shard(), job.ID))
	}
	if write.HasCancel {
		transaction.Removals = append(transaction.Removals, bbrrecord.CancelKey(job.Shard(), job.ID))
	}
}

var errReplaced = errors.New("another owner has the shard")

// commitUntilKnown commits until the outcome is known. A transaction whose answer was
// lost is sent again; if that conflicts, the stored sequence shows whether an earlier
// attempt was committed.
func (f *flusher) commitUntilKnown(ctx context.Context, transaction bbrkv.Transaction, number int64) (bbrkv.Revision, error) {
	answerLost := false
	settle := f.owner.beginTransaction(&transaction, time.Now())
	for {
		revision, err := f.owner.Store.Commit(ctx, transaction)
		var conflict *bbrkv.Conflict
		switch {
		case err == nil:
			settle(transactionStored, time.Now())
			return revision, nil
		case errors.As(err, &conflict):
			revision, err := f.resolveConflict(conflict, number, answerLost)
			settle(outcomeOfConflict(err), time.Now())
			return revision, err
		case errors.Is(err, bbrkv.ErrAnswerLost):
			answerLost = true
		case !answerLost:
			f.owner.Metrics.Event("flush:refused")
			if errors.Is(err, bbrkv.ErrInvalid) {
				klog.ErrorS(err, "The store rejects a transaction as invalid", "shard", f.owner.Shard, "token", f.owner.Held.Token, "puts", len(transaction.Puts), "removals", len(transaction.Removals), "largest", largestValue(transaction))
			}
			settle(transactionRefused, time.Now())
			return 0, err
		}
		f.owner.Metrics.Event("flush:unsettled")
		f.owner.repeatTransaction()
		bbrpause.For(ctx, flushRetryDelay)
		if ctx.Err() != nil {
			settle(transactionAbandoned, time.Now())
			return 0, ctx.Err()
		}
	}
}

// largestValue returns the size of the transaction's largest value.
func largestValue(transaction bbrkv.Transaction) int {
	largest := 0
	for _, put := range transaction.Puts {
		largest = max(largest, len(put.Value))
	}
	return largest
}

// resolveConflict decides what a conflict means: that an earlier attempt whose answer
// was lost was committed, that a condition of a transfer is not met, or that another owner has
// the shard.
func (f *flusher) resolveConflict(conflict *bbrkv.Conflict, number int64, answerLost bool) (bbrkv.Revision, error) {
	o := f.owner
	item := conflict.Items[bbrrecord.SequenceKey(o.Shard)]
	var record bbrrecord.Sequence
	own := json.Unmarshal(item.Value, &record) == nil && record.Token == int64(o.Held.Token) && record.Number == number
	if answerLost && own {
		return item.Revision, nil
	}
	if f.keepsShard(conflict) {
		return 0, &unmetTransfer{conflict: conflict}
	}
	o.stopReplaced("a condition of its transaction does not hold")
	return 0, errReplaced
}
