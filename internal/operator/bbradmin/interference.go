package bbradmin

import (
	"context"
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrinterference"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// interference lists the pairs of images that slow each other down, as the owners last
// stored them. A record that cannot be decoded has none, as for an owner.
func (x *Executor) interference(ctx context.Context, now time.Time) (*table, error) {
	t := &table{columns: []string{"affected", "neighbour", "service", "cell", "slowdown", "observations", "found", "recordAge"}}
	items, _, err := x.Store.ReadAll(ctx, bbrrecord.InterferencePrefix)
	if err != nil {
		return nil, err
	}
	for _, item := range items {
		shard, err := bbrwork.ParseShard(strings.TrimPrefix(item.Key, bbrrecord.InterferencePrefix))
		if err != nil {
			return nil, errors.Wrap(err, item.Key)
		}
		var record bbrinterference.Record
		if json.Unmarshal(item.Value, &record) != nil {
			continue
		}
		for _, pair := range record.Pairs {
			t.add(pair.Affected, pair.Neighbour, shard.Service, strconv.Itoa(shard.Cell), strconv.FormatFloat(math.Exp(pair.Effect), 'f', 2, 64),
				strconv.Itoa(int(pair.Observations)), elapsed(pair.FoundAt, now), elapsed(record.At, now))
		}
	}
	return t, nil
}
