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
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const (
	// flushGather is the least time between two transactions, so that several
	// ends share one.
	flushGather = 20 * time.Millisecond
	flushRetry  = 100 * time.Millisecond
	// tellEvery bounds the age of the counts of waiting jobs while they change.
	tellEvery = 700 * time.Millisecond
	// lastFlush bounds the storing after the owner's end.
	lastFlush = time.Second
	// Entries of a transaction besides the jobs: two conditions and the
	// sequence, and perhaps the lives and the report.
	fixedEntries = 5
	maxWrites    = bbrkv.MaxTransactionSize - fixedEntries
)

// sequence is the owner's place among its transactions.
type sequence struct {
	revision bbrkv.Revision
	number   int64
	// told are the counts of waiting jobs that were stored last.
	told map[string]int
	at   time.Time
	// cleared are the reserved upstreams that were reported last.
	cleared []string
	demand  bbrscheduler.Demand
}

// report is what an owner tells besides the progress of jobs.
type report struct {
	waiting map[string]int
	cleared []string
	demand  bbrscheduler.Demand
}

// flusher stores what the ledger learnt. It goes on a little after the owner's
// end, so that a successor finds what was done.
type flusher struct {
	owner *Owner
	// told is the report as of reported.
	told     report
	reported time.Time
}

func (f *flusher) run(ctx context.Context) {
	// A transaction that is on its way at the end is waited for: without its
	// outcome, the last one could not be made.
	storing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(lastFlush, cancel) })()
	timer := time.NewTicker(demandEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			f.last(storing)
			return
		case <-f.owner.flushNow:
		case <-timer.C:
		}
		if err := f.flush(storing); err != nil {
			bbrpause.For(ctx, flushRetry)
			signal(f.owner.flushNow)
			continue
		}
		bbrpause.For(ctx, flushGather)
	}
}

// last stores what is left while the claim may still stand.
func (f *flusher) last(ctx context.Context) {
	if f.owner.ledger == nil || !f.owner.Confirmed(time.Now()) {
		return
	}
	if err := f.flush(ctx); err != nil {
		klog.InfoS("Last storing failed", "shard", f.owner.Shard, "reason", err.Error())
	}
}

// flush stores all that is to be stored, in one transaction or several.
func (f *flusher) flush(ctx context.Context) error {
	for {
		more, err := f.transaction(ctx, time.Now())
		if err != nil || !more {
			return err
		}
	}
}

// transaction stores one batch and tells whether there is more.
func (f *flusher) transaction(ctx context.Context, now time.Time) (bool, error) {
	o := f.owner
	o.mu.Lock()
	batch := o.ledger.Batch(maxWrites, now)
	short := o.ledger.NeedsHorizon()
	told := f.report(now)
	acknowledge := o.ledger.CanAcknowledge()
	o.mu.Unlock()
	batch, whole := fit(batch)
	tell := f.mustTell(told, now)
	if len(batch.Writes) == 0 && batch.Recorded == nil && !short && !tell {
		if acknowledge {
			f.stored(batch, 0)
		}
		return false, nil
	}
	if err := f.commit(ctx, batch, told, tell, now); err != nil {
		return false, err
	}
	f.stored(batch, o.sequence.revision)
	if batch.Recorded != nil || short {
		o.poke()
	}
	return !whole, nil
}

const (
	// reportAge is how old a report may be when it is stored.
	reportAge = 50 * time.Millisecond
	// mostGiven bounds the upstreams that a report offers; the next one offers
	// others.
	mostGiven = 16
)

// report returns what to tell besides the progress of jobs. The caller holds
// the owner's lock.
func (f *flusher) report(now time.Time) report {
	if l := f.owner.ledger; now.Sub(f.reported) > reportAge {
		f.told = report{waiting: l.WaitingByQueue(now), cleared: l.Drained(now), demand: l.Demand(now)}
		f.told.demand.Releasable = f.told.demand.Releasable[:min(mostGiven, len(f.told.demand.Releasable))]
		f.reported = now
	}
	return f.told
}

func (f *flusher) stored(batch bbrscheduler.Batch, at bbrkv.Revision) {
	o := f.owner
	o.mu.Lock()
	o.ledger.ApplyStored(batch, at, time.Now())
	if o.storedOnce != nil {
		close(o.storedOnce)
		o.storedOnce = nil
	}
	o.mu.Unlock()
}

// mustTell tells whether the report has to be stored for its own sake.
func (f *flusher) mustTell(told report, now time.Time) bool {
	s := &f.owner.sequence
	waiting := told.waiting
	age := now.Sub(s.at)
	if s.number == 0 || !slices.Equal(told.cleared, s.cleared) || age > tellAgain {
		return true
	}
	if demandChanged(s.demand, told.demand) {
		return age >= demandEvery
	}
	return age >= tellEvery-tellEvery/10 && !maps.Equal(waiting, s.told)
}

const (
	// tellAgain bounds the age of an unchanged report.
	tellAgain = 1500 * time.Millisecond
	// demandEvery is the least time between two reports of changed demand.
	demandEvery = 150 * time.Millisecond
	// demandStep is a change of demand that is worth a report, in thousandths of
	// a core.
	demandStep = 8000
)

func demandChanged(before, now bbrscheduler.Demand) bool {
	change := now.MilliCPU - before.MilliCPU
	return change >= demandStep || -change >= demandStep || now.MinUpstreams != before.MinUpstreams || now.Exclusive != before.Exclusive || now.Occupied != before.Occupied || !maps.Equal(now.ExclusiveByLabel, before.ExclusiveByLabel)
}

// fit cuts the batch to what a transaction holds.
func fit(batch bbrscheduler.Batch) (bbrscheduler.Batch, bool) {
	entries := fixedEntries
	for i, write := range batch.Writes {
		entries += entriesOf(write)
		if entries > bbrkv.MaxTransactionSize {
			return batch.Head(i), false
		}
	}
	return batch, batch.Complete()
}

// entriesOf returns what a write takes of a transaction. A job that has ended
// takes its record and the removal of what the store has of it.
func entriesOf(write bbrscheduler.Write) int {
	if write.FinalState == "" {
		return 1
	}
	entries := 2
	if write.HasProgress {
		entries++
	}
	if write.HasCancel {
		entries++
	}
	return entries
}

func (f *flusher) commit(ctx context.Context, batch bbrscheduler.Batch, told report, tell bool, now time.Time) error {
	o := f.owner
	s := &o.sequence
	s.number++
	key := bbrrecord.SequenceKey(o.Shard)
	record := bbrrecord.Sequence{Token: int64(o.Held.Token), Number: s.number, Horizon: batch.Horizon}
	transaction := bbrkv.Transaction{
		Conditions: []bbrkv.Condition{o.Held.Condition(), {Key: key, Revision: s.revision}},
		Puts:       []bbrkv.Put{{Key: key, Value: bbrrecord.Encode(record)}},
	}
	if tell {
		told := bbrrecord.Report{Waiting: told.waiting, Drained: told.cleared, Demand: told.demand, At: now}
		transaction.Puts = append(transaction.Puts, bbrkv.Put{Key: bbrrecord.ReportKey(o.Shard), Value: bbrrecord.Encode(told)})
	}
	if batch.Recorded != nil {
		transaction.Puts = append(transaction.Puts, bbrkv.Put{Key: bbrrecord.IncarnationsKey(o.Shard), Value: bbrrecord.Encode(batch.Recorded)})
	}
	for _, write := range batch.Writes {
		addWrite(&transaction, write, now)
	}
	revision, err := f.settle(ctx, transaction, s.number)
	if err != nil {
		return err
	}
	s.revision = revision
	if tell {
		s.told, s.cleared, s.demand, s.at = told.waiting, told.cleared, told.demand, now
	}
	return nil
}

func addWrite(transaction *bbrkv.Transaction, write bbrscheduler.Write, now time.Time) {
	job := write.Job
	if write.FinalState == "" {
		transaction.Puts = append(transaction.Puts, bbrkv.Put{Key: bbrrecord.ProgressKey(job.Shard(), job.ID), Value: write.Progress})
		return
	}
	ended := bbrrecord.StatusOf(job).Ended(write.FinalState, now)
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

// settle commits until the outcome is known: a transaction whose answer was
// lost is sent again, and what the store says of the sequence tells whether an
// earlier sending was carried out.
func (f *flusher) settle(ctx context.Context, transaction bbrkv.Transaction, number int64) (bbrkv.Revision, error) {
	lost := false
	for {
		revision, err := f.owner.Store.Commit(ctx, transaction)
		var conflict *bbrkv.Conflict
		switch {
		case err == nil:
			return revision, nil
		case errors.As(err, &conflict):
			return f.settleConflict(conflict, number, lost)
		case errors.Is(err, bbrkv.ErrAnswerLost):
			lost = true
		case !lost:
			f.owner.Metrics.Event("flush:refused")
			return 0, err
		}
		f.owner.Metrics.Event("flush:unsettled")
		bbrpause.For(ctx, flushRetry)
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
	}
}

func (f *flusher) settleConflict(conflict *bbrkv.Conflict, number int64, lost bool) (bbrkv.Revision, error) {
	o := f.owner
	item := conflict.Items[bbrrecord.SequenceKey(o.Shard)]
	var record bbrrecord.Sequence
	mine := json.Unmarshal(item.Value, &record) == nil && record.Token == int64(o.Held.Token) && record.Number == number
	if lost && mine {
		return item.Revision, nil
	}
	o.lost("a condition of its transaction does not hold")
	return 0, errReplaced
}
