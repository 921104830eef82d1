package bbrmember

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrentry"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
)

const (
	// neighbourInterval is the mean pause between two reads of the other zones'
	// views.
	neighbourInterval = 5 * time.Second
	// startupRounds is how many rounds after the start use the shorter
	// confirmInterval, because other entries may be starting too.
	startupRounds = 10
)

// runNeighbours reads the views of the other zones until ctx ends.
func (m *Member) runNeighbours(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		m.refreshNeighbours(ctx)
		interval := neighbourInterval
		if round < startupRounds {
			interval = confirmInterval
		}
		bbrpause.For(ctx, interval/2+rand.N(interval))
	}
}

// refreshNeighbours reads the views of all other zones that have changed.
func (m *Member) refreshNeighbours(ctx context.Context) {
	keys, err := m.Store.Keys(ctx, bbrview.KeyPrefix)
	if err != nil {
		return
	}
	zones := make(map[string]*bbrentry.Snapshot, len(keys))
	for _, key := range keys {
		zone := key[len(bbrview.KeyPrefix):]
		if zone == m.State.Identity.Zone {
			continue
		}
		zones[zone] = m.loadZone(ctx, zone)
	}
	m.State.SetOtherZones(zones)
}

// loadZone returns the view of the zone, or the known one if the view has not
// changed or cannot be read.
func (m *Member) loadZone(ctx context.Context, zone string) *bbrentry.Snapshot {
	known := m.State.OtherZones()[zone]
	if known == nil {
		known = &bbrentry.Snapshot{}
	}
	value, err := m.Store.Get(ctx, bbrview.KeyPrefix+zone, known.Version)
	if err != nil {
		return known
	}
	snapshot := &bbrentry.Snapshot{Version: value.Version}
	if json.Unmarshal(value.Data, &snapshot.View) != nil {
		return known
	}
	return snapshot
}
