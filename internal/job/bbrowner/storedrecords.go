package bbrowner

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// storedRecords is what is stored about a shard besides its jobs and their progress. An owner
// needs all of it before it plans. Its size does not grow with the backlog: there is a record
// for each organisation with a cap, and one for each job under which upstreams crashed.
type storedRecords struct {
	sequence, reserved bbrkv.Item
	reservedIDs        map[string]bool
	recorded           []bbrwork.Upstream
	shares, crashes    []bbrkv.Item
	interference       []byte
}

// recordReader reads one of the storedRecords, and tries again until it succeeds.
type recordReader struct {
	// read makes one attempt.
	read func(ctx context.Context) error
}

// run reads until the record has been read or ctx ends.
func (r *recordReader) run(ctx context.Context) {
	for ctx.Err() == nil && r.read(ctx) != nil {
		bbrpause.For(ctx, loadRetryDelay)
	}
}

// readStoredRecords reads all records at a time. A failure of one does not affect the others.
// It returns false if ctx ended before all were read.
func (o *Owner) readStoredRecords(ctx context.Context) (*storedRecords, bool) {
	records := &storedRecords{}
	shares := o.newListing(bbrrecord.SharesPrefix, func(item bbrkv.Item) { records.shares = append(records.shares, item) })
	crashes := o.newListing(bbrrecord.CrashesPrefixOf(o.Shard), func(item bbrkv.Item) { records.crashes = append(records.crashes, item) })
	readers := []*recordReader{
		{func(ctx context.Context) (err error) {
			records.sequence, err = o.readRecord(ctx, stageSequence, bbrrecord.SequenceKey(o.Shard), nil)
			return err
		}},
		{func(ctx context.Context) (err error) {
			records.reserved, err = o.readRecord(ctx, stageReserved, bbrclaim.ReservedKey, func(item bbrkv.Item) (err error) {
				records.reservedIDs, err = bbrclaim.ParseReserved(item)
				return err
			})
			return err
		}},
		{func(ctx context.Context) error {
			_, err := o.readRecord(ctx, stageRecorded, bbrrecord.IncarnationsKey(o.Shard), func(item bbrkv.Item) error {
				if len(item.Value) == 0 {
					return nil
				}
				return json.Unmarshal(item.Value, &records.recorded)
			})
			return err
		}},
		{func(ctx context.Context) error { return o.readStage(ctx, stageShares, shares.Read) }},
		{func(ctx context.Context) error { return o.readStage(ctx, stageCrashes, crashes.Read) }},
		{func(ctx context.Context) error {
			records.interference = o.loadInterference(ctx)
			return nil
		}},
	}
	var wg sync.WaitGroup
	for _, reader := range readers {
		wg.Go(func() { reader.run(ctx) })
	}
	wg.Wait()
	return records, ctx.Err() == nil
}

// begin lets the scheduler begin with what has been read. The jobs follow.
func (o *Owner) begin(records *storedRecords, start, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.commits.revision = records.sequence.Revision
	o.scheduler = bbrscheduler.New(o.Shard, int64(o.Held.Token), o.Timing, records.sequence.Revision == 0, start)
	o.scheduler.MaxValueBytes = o.Store.MaxValueBytes
	o.scheduler.ShareHeldMemory(o.HeldMemory)
	o.scheduler.ReserveCapacity = o.ReserveCapacity
	if o.SeparateInterfering {
		o.scheduler.SeparateInterfering(records.interference, now)
	}
	o.scheduler.FairShares = o.FairShares
	if config := o.Config(); config != nil {
		o.configVersion = config.Version
		o.scheduler.SetConfig(config)
	}
	o.quota = o.newQuotaKeeper(records.shares, now)
	o.reservedRevision = records.reserved.Revision
	o.scheduler.SetReserved(records.reservedIDs, now)
	for _, item := range records.crashes {
		o.scheduler.RestoreCrashes(bbrrecord.JobID(item.Key), item.Value, now)
	}
	inherited := storedSequence(records.sequence)
	o.scheduler.InheritOrders(inherited.OrdersStored)
	o.scheduler.BeginLoading(records.recorded, inherited.Horizon, now)
}
