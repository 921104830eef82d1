package bbrowner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrregistry"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// newLoopOwner returns an owner whose planning rounds take some time.
func newLoopOwner(roundTime time.Duration) *Owner {
	shard := bbrwork.Shard{Service: "press", Cell: 2}
	o := &Owner{
		Held: bbrclaim.HeldClaim{Name: shard.String(), Token: 7}, Shard: shard, Metrics: bbrmetric.New(),
		Confirmed: func(time.Time) bool { return true },
		Config: func() *bbrwork.Config {
			time.Sleep(roundTime)
			return nil
		},
		Registered: func(bbrwork.Shard, bbrregistry.Version) ([]bbrwork.Upstream, bbrregistry.Version) {
			return nil, bbrregistry.Version{}
		},
		Reserved:  func() (map[string]bool, bbrkv.Revision) { return nil, 0 },
		wake:      make(chan struct{}, 1),
		flushNow:  make(chan struct{}, 1),
		startedAt: time.Now(),
	}
	o.scheduler = bbrscheduler.New(shard, 7, bbrscheduler.Timing{}, true, time.Now())
	return o
}

// TestSlowOwnerReleasesItsClaim guards against an owner that keeps its shard although its
// planning rounds take several times their interval, and against one that releases it while
// it is not asked to, nobody can take over, or the store cannot be told.
func TestSlowOwnerReleasesItsClaim(t *testing.T) {
	tests := []struct {
		name                       string
		roundTime                  time.Duration
		disabled, refused, unknown bool
		released                   bool
	}{
		{name: "slow", roundTime: 500 * time.Millisecond, released: true},
		{name: "in time", roundTime: 20 * time.Millisecond},
		{name: "no successor", roundTime: 500 * time.Millisecond, refused: true},
		{name: "claim not confirmed", roundTime: 500 * time.Millisecond, unknown: true},
		{name: "disabled", roundTime: 500 * time.Millisecond, disabled: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newLoopOwner(test.roundTime)
				asked := 0
				if !test.disabled {
					o.HandOver = func(ownedSince, _ time.Time) bool {
						require.Equal(t, o.startedAt, ownedSince)
						asked++
						return !test.refused
					}
				}
				o.Confirmed = func(time.Time) bool { return !test.unknown }
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				released := false
				o.cancelRun = func() { released = true }
				o.loop(ctx)
				require.Equal(t, test.released, released)
				require.Equal(t, test.released, ctx.Err() == nil)
				if test.refused {
					require.InDelta(t, 4, asked, 1, "it is asked again after being late for as long again")
				}
			})
		})
	}
}

// TestRoomIsPublished guards against an owner that publishes room that is not known yet or
// that belongs to a claim which may have ended, and against ages that do not grow while
// planning rounds are late.
func TestRoomIsPublished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newLoopOwner(0)
		o.PublishRoom = true
		o.updateRoom(time.Now())
		_, known := o.Room(time.Now())
		require.False(t, known, "the upstreams have not listed their runs")
		time.Sleep(2 * time.Second)
		o.updateRoom(time.Now())
		time.Sleep(300 * time.Millisecond)
		room, known := o.Room(time.Now())
		require.True(t, known)
		require.Equal(t, 2, room.Cell)
		require.Equal(t, 300*time.Millisecond, room.Age)
		require.Contains(t, valuesByReason(t, o.Metrics, "bbr_room_millicores"), "press/2")
		o.Confirmed = func(time.Time) bool { return false }
		_, known = o.Room(time.Now())
		require.False(t, known)

		disabled := newLoopOwner(0)
		time.Sleep(2 * time.Second)
		disabled.updateRoom(time.Now())
		_, known = disabled.Room(time.Now())
		require.False(t, known)
	})
}
