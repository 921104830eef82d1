package bbradmin

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrquota"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
)

// organisations lists the organisations with their caps, what of these the shards have, and
// the shards in which they are beyond their share of the capacity. Keys are not shown.
func (x *Executor) organisations(ctx context.Context) (*table, error) {
	t := &table{columns: []string{"organisation", "weight", "keys", "capMilliCPU", "capMemoryMB", "capAccelerators", "sharedMilliCPU", "sharedMemoryMB", "waitingShards", "beyondShareIn"}}
	config := x.Config()
	if config == nil {
		return t, nil
	}
	records, err := x.shares(ctx)
	if err != nil {
		return nil, err
	}
	beyond, err := x.beyondShares(ctx)
	if err != nil {
		return nil, err
	}
	for _, name := range slices.Sorted(maps.Keys(config.Organisations)) {
		organisation, record := config.Organisations[name], records[name]
		shared, _ := record.Others("")
		waiting := slices.Sorted(maps.Keys(record.Waiting))
		t.add(name, strconv.FormatFloat(organisation.Weight, 'g', -1, 64), strconv.Itoa(len(organisation.Keys)),
			limitText(organisation.Cap.MilliCPU), limitText(organisation.Cap.MemoryMB), limitText(organisation.Cap.Accelerators),
			strconv.Itoa(shared.MilliCPU), strconv.Itoa(shared.MemoryMB), strings.Join(waiting, " "), strings.Join(beyond[name], " "))
	}
	return t, nil
}

// beyondShares returns, by organisation, the shards in which it is beyond its share, and
// the parts of the capacity that it uses, is entitled to and wants there.
func (x *Executor) beyondShares(ctx context.Context) (map[string][]string, error) {
	reports, err := x.reports(ctx, bbrrecord.ReportPrefix)
	if err != nil {
		return nil, err
	}
	beyond := make(map[string][]string)
	for _, report := range reports {
		for _, share := range report.Beyond {
			beyond[share.Organisation] = append(beyond[share.Organisation], fmt.Sprintf("%s(used=%g,fair=%g,wanted=%g)", report.shard, share.Used, share.Fair, share.Wanted))
		}
	}
	return beyond, nil
}

// limitText returns one dimension of a cap, in which 0 means that there is no limit.
func limitText(limit int) string {
	if limit == 0 {
		return "none"
	}
	return strconv.Itoa(limit)
}

// shares reads the shares of all caps, by organisation.
func (x *Executor) shares(ctx context.Context) (map[string]bbrquota.Record, error) {
	items, _, err := x.Store.ReadAll(ctx, bbrrecord.SharesPrefix)
	if err != nil {
		return nil, err
	}
	records := make(map[string]bbrquota.Record, len(items))
	for _, item := range items {
		name, err := bbrrecord.OrganisationOf(item.Key)
		if err != nil {
			return nil, errors.Wrap(err, item.Key)
		}
		var record bbrquota.Record
		if err := json.Unmarshal(item.Value, &record); err != nil {
			return nil, errors.Wrap(err, item.Key)
		}
		records[name] = record
	}
	return records, nil
}
