package bbrupkeep

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrlog"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/store/bbritem"
)

// lastRecord tells a successor when the last order was sent, by a holder that
// ended in order.
type lastRecord struct {
	At time.Time `json:"at"`
}

const lastKey = "bbr/duty/last"

// firstOrder returns when the first order may be sent: so late that none of an
// earlier holder can come after it, or so near to it that the two seem to take
// turns. A holder that ended in order has left the time of its last one; the
// record goes before the first order of the next.
func (k *Keeper) firstOrder(ctx context.Context) (time.Time, bool) {
	for ctx.Err() == nil {
		from, err := k.takeRecord(ctx, time.Now())
		if err == nil {
			return from, true
		}
		klog.InfoS("Fleet duty cannot begin yet", "reason", err.Error())
		bbrpause.For(ctx, keepEvery)
	}
	return time.Time{}, false
}

func (k *Keeper) takeRecord(ctx context.Context, now time.Time) (time.Time, error) {
	item, err := k.Store.Get(ctx, lastKey)
	if errors.Is(err, bbritem.ErrNotFound) {
		return now.Add(k.Lease + orderSlack), nil
	}
	if err != nil {
		return time.Time{}, err
	}
	var record lastRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return time.Time{}, err
	}
	_, err = k.Store.Commit(ctx, bbritem.Transaction{
		Conditions: []bbritem.Condition{k.Held.Condition(), {Key: lastKey, Revision: item.Revision}},
		Removals:   []string{lastKey},
	})
	var conflict *bbritem.Conflict
	if errors.As(err, &conflict) {
		// An earlier attempt removed it, and its answer was lost.
		return now.Add(k.Lease + orderSlack), nil
	}
	return record.At.Add(k.Lease + orderSlack), err
}

// resign leaves the time of the last order for the successor.
func (k *Keeper) resign() {
	if !k.Confirmed(time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := k.Store.Commit(ctx, bbritem.Transaction{
		Conditions: []bbritem.Condition{k.Held.Condition()},
		Puts:       []bbritem.Put{{Key: lastKey, Value: bbrrecord.Encode(lastRecord{At: k.lastOrder})}},
	})
	klog.InfoS("Fleet duty ended", "token", k.Held.Token, "lastOrder", k.lastOrder, "error", bbrlog.Reason(err))
}
