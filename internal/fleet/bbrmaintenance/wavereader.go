package bbrmaintenance

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// readWaves reads the waves and adds the new ones.
func (controller *Controller) readWaves(ctx context.Context, now time.Time) error {
	if now.Sub(controller.wavesReadAt) < waveReadInterval {
		return nil
	}
	items, _, err := controller.Store.ReadAll(ctx, controller.WaveFormat.Prefix)
	if err != nil {
		return err
	}
	controller.wavesReadAt = now
	for _, item := range items {
		wave, err := controller.WaveFormat.Decode(item.Value)
		if err != nil {
			klog.InfoS("Wave cannot be decoded", "key", item.Key, "revision", item.Revision, "reason", err.Error())
			continue
		}
		if err := controller.addWave(ctx, wave, now); err != nil {
			return err
		}
	}
	return nil
}

// addWave passes a new wave to the planner, with the progress that earlier leaders stored.
func (controller *Controller) addWave(ctx context.Context, wave bbrmachine.Wave, now time.Time) error {
	controller.mu.Lock()
	known := controller.planner.HasWave(wave.Number)
	controller.mu.Unlock()
	if known {
		return nil
	}
	record := WaveRecord{StartTime: now}
	item, err := controller.Store.Get(ctx, WaveKey(wave.Number))
	if err != nil && !errors.Is(err, bbrkv.ErrNotFound) {
		return err
	}
	if err == nil {
		if err := json.Unmarshal(item.Value, &record); err != nil {
			return err
		}
	}
	klog.InfoS("Wave found", "wave", wave.Number, "instances", len(wave.Instances), "done", len(record.Done), "within", wave.TimeLimit, "cap", wave.MaxAway)
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.planner.AddWave(wave, record.Done, record.StartTime)
	return nil
}
