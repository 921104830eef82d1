package bbrowner

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
)

// roomInterval is the least time between two determinations of the room, which take about
// as long as a report of the demand.
const roomInterval = 200 * time.Millisecond

// publishedRoom is what the shard could take at a time.
type publishedRoom struct {
	bbrcell.Room
	at time.Time
}

// Room returns what the shard can take, for the entries that choose cells for jobs. It
// returns false if the owner publishes none or it is not known. It does not wait for a plan.
func (o *Owner) Room(now time.Time) (bbrcell.Room, bool) {
	published := o.room.Load()
	if published == nil || !o.Confirmed(now) {
		return bbrcell.Room{}, false
	}
	room := published.Room
	room.Age = max(0, now.Sub(published.at))
	return room, true
}

// updateRoom determines the room if it is time to. The caller holds the lock.
func (o *Owner) updateRoom(now time.Time) {
	if !o.PublishRoom || now.Sub(o.roomUpdatedAt) < roomInterval {
		return
	}
	o.roomUpdatedAt = now
	room, known := o.scheduler.Room(now)
	if !known {
		return
	}
	o.room.Store(&publishedRoom{Room: bbrcell.Room{Cell: o.Shard.Cell, MilliCPU: room.Capacity.MilliCPU, Drain: room.Drain}, at: now})
	o.Metrics.SetRoom(o.Shard.String(), room.Capacity.MilliCPU, room.Drain)
}
