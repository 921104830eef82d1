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
// it: an entry must choose cells, register, rank and keep claims as before.
func TestBalanceByCapacityIsOffByDefault(t *testing.T) {
	require.False(t, bbrsettings.Default().Jobs.BalanceByCapacity)
	d := newTestDaemon(balanceSettings(false))
	require.Nil(t, d.handler.Intake.ChooseCell)
	require.Nil(t, d.queries.Rooms)
	require.Nil(t, d.claimer.Relief)
	require.False(t, d.directory.UseBandwidth)
	require.Zero(t, d.session.BandwidthMbps)
}

// TestCellsAreChosenByLearnedRoom checks the parts together: rooms from other entries change
// the choice of the intake, and are passed on.
func TestCellsAreChosenByLearnedRoom(t *testing.T) {
	d := newTestDaemon(balanceSettings(true))
	require.NotNil(t, d.claimer.Relief)
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
