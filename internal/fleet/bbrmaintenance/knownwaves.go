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

// readWaves learns of new waves.
func (k *Controller) readWaves(ctx context.Context, now time.Time) error {
	if now.Sub(k.waveRead) < waveEvery {
		return nil
	}
	items, _, err := k.Store.ReadAll(ctx, k.WaveFormat.Prefix)
	if err != nil {
		return err
	}
	k.waveRead = now
	for _, item := range items {
		wave, err := k.WaveFormat.Decode(item.Value)
		if err != nil {
			klog.InfoS("Wave unreadable", "key", item.Key, "revision", item.Revision, "reason", err.Error())
			continue
		}
		if err := k.learn(ctx, wave, now); err != nil {
			return err
		}
	}
	return nil
}

func (k *Controller) learn(ctx context.Context, wave bbrmachine.Wave, now time.Time) error {
	k.mu.Lock()
	known := k.planner.HasWave(wave.Number)
	k.mu.Unlock()
	if known {
		return nil
	}
	record := WaveRecord{StartTime: now}
	item, err := k.Store.Get(ctx, WaveKey(wave.Number))
	if err != nil && !errors.Is(err, bbrkv.ErrNotFound) {
		return err
	}
	if err == nil {
		if err := json.Unmarshal(item.Value, &record); err != nil {
			return err
		}
	}
	klog.InfoS("Wave known", "wave", wave.Number, "instances", len(wave.Instances), "done", len(record.Done), "within", wave.TimeLimit, "cap", wave.MaxAway)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.planner.AddWave(wave, record.Done, record.StartTime)
	return nil
}
