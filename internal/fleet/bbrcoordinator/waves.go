package bbrcoordinator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrwave"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrstore"
)

// WaveDocument returns the stored document of the wave under the key.
func WaveDocument(store *bbrstore.Store, key string) bbrstore.Document[bbrwave.Wave] {
	return bbrstore.Document[bbrwave.Wave]{Store: store, Key: key, Applied: bbrwave.Applied}
}

// advanceWaves advances this zone's part of every wave.
func (c *Coordinator) advanceWaves(ctx context.Context) {
	keys, err := c.Store.Keys(ctx, bbrwave.KeyPrefix)
	if err != nil {
		return
	}
	for _, key := range keys {
		c.advanceWave(ctx, WaveDocument(c.Store, key))
	}
}

// advanceWave updates the wave from the zone's view and starts the instances that are
// next.
func (c *Coordinator) advanceWave(ctx context.Context, document bbrstore.Document[bbrwave.Wave]) {
	wave, version, err := document.Load(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	before := wave.Status
	changed := wave.Observe(&c.State.Snapshot().View, now)
	next := wave.Next(c.State.Identity.Zone)
	for _, id := range next {
		wave.Start(id, now)
	}
	if !changed && len(next) == 0 {
		return
	}
	// The starts are stored before the instances are withdrawn, so that no instance
	// is withdrawn for a wave that does not know it.
	if _, err := document.Save(ctx, wave, version, ""); err != nil {
		return
	}
	if wave.Status != before {
		klog.InfoS("Wave changed state", "wave", wave.Name, "from", before, "to", wave.Status, "reason", wave.Reason)
	}
	for _, id := range next {
		c.withdrawFor(ctx, document, &wave, id)
	}
}

// withdrawFor withdraws an instance for a wave, or makes it pending again if the
// withdrawal is refused.
func (c *Coordinator) withdrawFor(ctx context.Context, document bbrstore.Document[bbrwave.Wave], wave *bbrwave.Wave, id string) {
	err := c.Withdrawer.Withdraw(ctx, bbrview.Withdrawal{
		Instance:  id,
		Plan:      bbrview.Reboot,
		Operation: wave.OperationFor(id),
		Reason:    "wave " + wave.Name,
	})
	refused := new(bbrcode.Error)
	if !errors.As(err, &refused) {
		// Accepted, or the result is unknown; the next rounds follow the view.
		return
	}
	c.Metrics.Refusal(refused.Code)
	_, _, _ = document.Update(ctx, "", func(w *bbrwave.Wave) error {
		w.Requeue(id, time.Now())
		return nil
	})
}
