package bbrserve

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/peer/bbrinquiry"
)

// balanceByCapacity connects the parts that jobs.balanceByCapacity enables.
func (d *daemon) balanceByCapacity() {
	d.directory.UseBandwidth = true
	d.queries.Rooms = &bbrinquiry.RoomExchange{Known: d.owners.knownRooms, Learn: d.owners.learnRooms}
	d.handler.Intake.ChooseCell = d.owners.chooseCell
	d.handler.Intake.PreviewCell = d.owners.previewCell
}

// countLateOwner counts a decision about an owner whose planning rounds are late.
func (d *daemon) countLateOwner(decision bbrclaim.Decision) {
	if decision.HandsOver() {
		d.metrics.Handover(string(decision))
		return
	}
	d.metrics.Event("lateOwnerKept:" + string(decision))
}

// chooseCell returns the cell for a new job by the rooms that this entry knows.
func (o *owners) chooseCell(cells *bbrcell.Cells, job *bbrwork.Job, homeCell int, now time.Time) int {
	o.learnLocalRooms(job.Service, now)
	cell, reason := o.rooms.Choose(cells, job, homeCell, now)
	o.daemon.metrics.CellChoice(string(reason))
	return cell
}

// previewCell returns the cell that chooseCell would, and why.
func (o *owners) previewCell(cells *bbrcell.Cells, job *bbrwork.Job, homeCell int, now time.Time) (int, bbrcell.Reason) {
	o.learnLocalRooms(job.Service, now)
	return o.rooms.Preview(cells, job, homeCell, now)
}

// learnRooms adds the rooms of a service's cells that another entry knew at the time.
func (o *owners) learnRooms(service string, rooms []bbrcell.Room, at time.Time) {
	o.rooms.Learn(service, rooms, o.daemon.directory.Cells().Count(), at)
}

// knownRooms returns the rooms of a service's cells that this entry knows.
func (o *owners) knownRooms(service string, now time.Time) []bbrcell.Room {
	o.learnLocalRooms(service, now)
	return o.rooms.Known(service, now)
}

// learnLocalRooms adds the rooms of the service's shards that this entry owns.
func (o *owners) learnLocalRooms(service string, now time.Time) {
	cellCount := o.daemon.directory.Cells().Count()
	for cell := range cellCount {
		owner := o.runningOwner(bbrwork.Shard{Service: service, Cell: cell})
		if owner == nil {
			continue
		}
		if room, known := owner.Room(now); known {
			o.rooms.Learn(service, []bbrcell.Room{room}, cellCount, now)
		}
	}
}
