package bbrowner

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrtransfer"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const (
	// transferInterval is the time between two rounds that look for jobs that wait for
	// capacity. The offers of other cells are read only in rounds that find some.
	transferInterval = 300 * time.Millisecond
	// maxTransfersPerRound bounds the jobs that begin a transfer in a round: they start
	// nowhere until it is stored.
	maxTransfersPerRound = 48
	// offerTTL is the age from which an offer is not used. It exceeds maxReportAge.
	offerTTL = 3 * time.Second
	// sentRetention is how long transfers are kept: an offer may be offerTTL old.
	sentRetention = 2 * offerTTL
)

// TransferOutcome is what became of a job that waited for capacity.
type TransferOutcome string

// Values of TransferOutcome.
const (
	// TransferStored: the job is in the other cell.
	TransferStored TransferOutcome = "stored"
	// TransferNoOffer: no other cell offered enough capacity.
	TransferNoOffer TransferOutcome = "noOffer"
	// TransferStatusChanged: the job's status changed, as it ended or moved otherwise.
	TransferStatusChanged TransferOutcome = "statusChanged"
	// TransferCancelled: there is a request to cancel the job.
	TransferCancelled TransferOutcome = "cancelled"
	// TransferOwnerChanged: the owner whose offer was used has lost its claim.
	TransferOwnerChanged TransferOutcome = "ownerChanged"
	// TransferOtherFailed: another job in the same transaction could not be transferred.
	TransferOtherFailed TransferOutcome = "otherFailed"
	// TransferRefused: the store refused the transaction.
	TransferRefused TransferOutcome = "storeRefused"
	// TransferTooLarge: the job's record would exceed the store's largest value.
	TransferTooLarge TransferOutcome = "tooLarge"
	// TransferNotMovable: work of the job had started, or it may not move for another reason,
	// when the transfer was to begin.
	TransferNotMovable TransferOutcome = "notMovable"
)

// pendingTransfer is a transfer whose transaction has not been sent yet.
type pendingTransfer struct {
	bbrscheduler.OutgoingTransfer
	cell int
	// token is the fencing token of the destination's owner.
	token bbrkv.Revision
}

// transfers is the state of an owner's transfers.
type transfers struct {
	// pending are the transfers that the flusher is to store, guarded by Owner.mu.
	pending []pendingTransfer
	// sent are the transfers of the last sentRetention, guarded by Owner.mu.
	sent []bbrtransfer.Sent
	// wanting means that jobs waited for capacity in the last round, guarded by Owner.mu.
	wanting bool
	// offers is used by runTransfers only.
	offers offerAges
}

// offerAges tells how old the offers of shards are. Clocks of entries differ, so that an offer
// counts as new when its revision is first seen to have changed.
type offerAges struct {
	seen map[int]seenOffer
}

type seenOffer struct {
	revision bbrkv.Revision
	// changedAt is when the revision was first seen after another one; zero for the first.
	changedAt time.Time
}

// fresh reports whether a report of the cell is less than offerTTL old, by the change of its
// revision or by its own time.
func (a *offerAges) fresh(cell int, revision bbrkv.Revision, at, now time.Time) bool {
	if a.seen == nil {
		a.seen = make(map[int]seenOffer)
	}
	seen, known := a.seen[cell]
	if !known || seen.revision != revision {
		next := seenOffer{revision: revision}
		if known {
			next.changedAt = now
		}
		a.seen[cell], seen = next, next
	}
	return now.Sub(seen.changedAt) < offerTTL || now.Sub(at).Abs() < offerTTL
}

// runTransfers looks for jobs that wait for capacity which other cells have, until ctx ends.
func (o *Owner) runTransfers(ctx context.Context) {
	for ctx.Err() == nil {
		bbrpause.For(ctx, transferInterval)
		o.transferRound(ctx, time.Now())
	}
}

// transferRound begins the transfers of jobs to cells that offer capacity for them.
func (o *Owner) transferRound(ctx context.Context, now time.Time) {
	jobs := o.transferCandidates(now)
	if len(jobs) == 0 {
		return
	}
	items, _, err := o.Store.ReadAll(ctx, bbrrecord.ReportPrefixOf(o.Shard.Service))
	if err != nil {
		if ctx.Err() == nil {
			klog.InfoS("Failed to read the offers of other cells", "shard", o.Shard, "waiting", len(jobs), "reason", err.Error())
		}
		return
	}
	o.beginTransfers(jobs, o.transfers.offers.parse(o.Shard, items, time.Now()), time.Now())
}

// transferCandidates returns the jobs that may go to other cells. It returns none while earlier
// transfers are not stored or the claim is not confirmed.
func (o *Owner) transferCandidates(now time.Time) []bbrtransfer.Job {
	if o.Cells == nil {
		return nil
	}
	cells := o.Cells()
	if cells.Count() == 1 {
		return nil
	}
	cellsFor := func(job *bbrwork.Job) []int { return otherCells(cells, job, o.Shard.Cell) }
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.transfers.pending) > 0 || !o.Confirmed(now) {
		return nil
	}
	jobs := o.scheduler.TransferCandidates(maxTransfersPerRound, cellsFor, now)
	o.transfers.wanting = len(jobs) > 0
	return jobs
}

// otherCells returns the cells that can run the job, without the own one.
func otherCells(cells *bbrcell.Cells, job *bbrwork.Job, own int) []int {
	return slices.DeleteFunc(cells.Candidates(job), func(cell int) bool { return cell == own })
}

// parse returns the offers in the reports of the other shards that are not too old.
func (a *offerAges) parse(own bbrwork.Shard, items []bbrkv.Item, now time.Time) []bbrtransfer.Cell {
	var cells []bbrtransfer.Cell
	for _, item := range items {
		shard, err := bbrwork.ParseShard(item.Key[len(bbrrecord.ReportPrefix):])
		var record bbrrecord.Report
		if err == nil {
			err = json.Unmarshal(item.Value, &record)
		}
		if err != nil {
			klog.InfoS("Ignoring a report that cannot be decoded", "key", item.Key, "revision", item.Revision, "reason", err.Error())
			continue
		}
		if shard.Service != own.Service || shard.Cell == own.Cell || record.Offer == nil || !a.fresh(shard.Cell, item.Revision, record.At, now) {
			continue
		}
		cells = append(cells, bbrtransfer.Cell{Cell: shard.Cell, Offer: *record.Offer, Revision: item.Revision})
	}
	return cells
}

// beginTransfers chooses transfers and passes them to the flusher.
func (o *Owner) beginTransfers(jobs []bbrtransfer.Job, cells []bbrtransfer.Cell, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.transfers.sent = slices.DeleteFunc(o.transfers.sent, func(s bbrtransfer.Sent) bool { return now.Sub(s.At) > sentRetention })
	chosen := bbrtransfer.Choose(o.Shard.Cell, jobs, cells, o.transfers.sent, maxTransfersPerRound, now)
	o.countTransfers(TransferNoOffer, len(jobs)-len(chosen))
	for _, c := range chosen {
		out, begun := o.scheduler.BeginTransfer(c.Job.ID, c.Cell, now)
		if !begun {
			o.countTransfers(TransferNotMovable, 1)
			continue
		}
		klog.InfoS("Job goes to another cell", "shard", o.Shard, "token", o.Held.Token, "job", out.Job.ID, "to", c.Cell, "ownerThere", c.Token,
			"waited", out.Waited.Round(time.Millisecond), "transfers", out.Moved.Transfer.Count, "needs", out.Needs, "offers", len(cells), "waiting", len(jobs))
		o.transfers.pending = append(o.transfers.pending, pendingTransfer{OutgoingTransfer: out, cell: c.Cell, token: c.Token})
	}
	if len(o.transfers.pending) > 0 {
		signal(o.flushNow)
	}
}

func (o *Owner) countTransfers(outcome TransferOutcome, count int) {
	o.Metrics.JobTransfers(string(outcome), count)
}

// offer returns the shard's offer to other cells; nil if there are none. The caller holds the
// owner's lock.
func (o *Owner) offer(now time.Time) *bbrtransfer.Offer {
	if o.Cells == nil || o.Cells().Count() == 1 || !o.Confirmed(now) {
		return nil
	}
	return &bbrtransfer.Offer{Token: o.Held.Token, Groups: o.scheduler.Offer(now), Wanting: o.transfers.wanting}
}

// offerChanged reports whether the change of the offer matters to other shards before the next
// report at the latest.
func offerChanged(before, now *bbrtransfer.Offer) bool {
	if before == nil || now == nil {
		return (before == nil) != (now == nil)
	}
	return before.Wanting != now.Wanting || (len(before.Groups) == 0) != (len(now.Groups) == 0)
}

// takePending returns the transfers for the next transaction, all to the same cell and its
// owner, and leaves the others pending. It returns none if there are none.
func (o *Owner) takePending() []pendingTransfer {
	o.mu.Lock()
	defer o.mu.Unlock()
	slices.SortStableFunc(o.transfers.pending, func(a, b pendingTransfer) int {
		return cmp.Or(cmp.Compare(a.cell, b.cell), cmp.Compare(a.token, b.token))
	})
	pending := o.transfers.pending
	size, count := fixedTransferEntries, 0
	for count < len(pending) && pending[count].cell == pending[0].cell && pending[count].token == pending[0].token {
		size += transferEntries(&pending[count])
		if size > bbrkv.MaxTransactionSize {
			break
		}
		count++
	}
	taken := slices.Clone(pending[:count])
	o.transfers.pending = slices.Delete(pending, 0, count)
	return taken
}
