package bbrserve

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrlimit"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrowner"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

func balanceSettings(enabled bool) bbrsettings.Settings {
	settings := bbrsettings.Default()
	settings.Entry, settings.Limits.BandwidthMbps = "e-1", 50
	settings.Listen.Peers = netip.MustParseAddrPort("127.0.0.1:7001")
	settings.Jobs.BalanceByCapacity = enabled
	return settings
}

func newTestDaemon(settings bbrsettings.Settings) *daemon {
	metrics := bbrmetric.New()
	return newDaemon(settings, metrics, bbrlimit.New(settings, metrics))
}

// TestBalanceByCapacityIsOffByDefault guards against parts of the setting that act without
// it: an entry must choose cells, rank and keep claims as before. Its link is published, as it bounds backlogs.
func TestBalanceByCapacityIsOffByDefault(t *testing.T) {
	require.False(t, bbrsettings.Default().Jobs.BalanceByCapacity)
	d := newTestDaemon(balanceSettings(false))
	require.Nil(t, d.handler.Intake.ChooseCell)
	require.Nil(t, d.queries.Rooms)
	require.Nil(t, testOwner(d).HandOver, "late rounds alone do not end an ownership")
	require.False(t, d.directory.UseBandwidth)
	require.Equal(t, 50, d.session.BandwidthMbps)
}

func testOwner(d *daemon) *bbrowner.Owner {
	shard := bbrwork.Shard{Service: "press"}
	return d.owners.newOwner(bbrclaim.HeldClaim{Name: shard.String(), Token: 7}, shard)
}

// TestOwnersHandOverOverdueWithAnySettings guards against a remedy for owners that are late for their leases that is not connected.
func TestOwnersHandOverOverdueWithAnySettings(t *testing.T) {
	for _, balanced := range []bool{false, true} {
		d := newTestDaemon(balanceSettings(balanced))
		now := time.Now()
		d.directory.Snapshot([]bbrkv.Item{{Key: (&bbrclaim.Session{Entry: "e-2"}).Key(), Value: []byte(`{"entry":"e-2","milliCPU":800}`), Revision: 1, Created: 1}}, 1, now)
		owner := testOwner(d)
		require.False(t, owner.HandOverOverdue(now.Add(-2*time.Second), now))
		controller := d.owners.newController(bbrclaim.HeldClaim{Name: bbrclaim.LeadershipName, Token: 8})
		require.False(t, controller.HandOver(now.Add(-59*time.Second), now))
		require.True(t, controller.HandOver(now.Add(-time.Minute), now))
		require.True(t, owner.HandOverOverdue(now.Add(-3*time.Second), now))
	}
}

// TestCellsAreChosenByLearnedRoom checks the parts together: rooms from other entries change
// the choice of the intake, and are passed on.
func TestCellsAreChosenByLearnedRoom(t *testing.T) {
	d := newTestDaemon(balanceSettings(true))
	require.NotNil(t, testOwner(d).HandOver)
	require.True(t, d.directory.UseBandwidth)
	require.Equal(t, 50, d.session.BandwidthMbps)
	cells := &bbrcell.Cells{Sizes: []int{128, 128}}
	value, err := json.Marshal(cells)
	require.NoError(t, err)
	now := time.Now()
	d.directory.Snapshot([]bbrkv.Item{{Key: bbrclaim.CellsKey, Value: value, Revision: 1}}, 1, now)
	rooms := []bbrcell.Room{{Cell: 0, MilliCPU: 1000}, {Cell: 1, MilliCPU: 9000}}
	d.queries.Rooms.Learn("press", rooms, now)
	require.Equal(t, rooms, d.queries.Rooms.Known("press", now))
	moved := 0
	for i := range 1000 {
		job := &bbrwork.Job{ID: fmt.Sprintf("%016x", i*7919), Service: "press"}
		before := cells.ChooseForJob(job, 0)
		if cell := d.handler.Intake.ChooseCell(cells, job, 0, now); cell != before {
			require.Equal(t, 1, cell)
			moved++
		}
	}
	require.InDelta(t, 375, moved, 75, "three quarters of the jobs of the smaller half")
}
