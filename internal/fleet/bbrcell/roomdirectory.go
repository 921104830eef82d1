package bbrcell

import (
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// RoomDirectory has the rooms that an entry knows, and chooses cells by them. The zero value
// is ready to use. It holds one room for each cell of a service.
type RoomDirectory struct {
	mu       sync.Mutex
	services map[string]*serviceRooms
}

// serviceRooms has the rooms of one service.
type serviceRooms struct {
	byCell map[int]publishedRoom
	// balanced reports whether jobs are balanced by room.
	balanced bool
}

// publishedRoom is a room that an owner determined at the time.
type publishedRoom struct {
	room Room
	at   time.Time
}

// Learn adds rooms of a service whose ages count from now, in a fleet of cellCount cells.
// Rooms that are invalid or older than the known ones are ignored.
func (d *RoomDirectory) Learn(service string, rooms []Room, cellCount int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, room := range rooms {
		if !room.valid(cellCount) {
			continue
		}
		known := d.service(service).byCell
		if at := now.Add(-room.Age); at.After(known[room.Cell].at) {
			known[room.Cell] = publishedRoom{room: room, at: at}
		}
	}
}

// Known returns the rooms of the service that are not too old, with their ages, by cell.
func (d *RoomDirectory) Known(service string, now time.Time) []Room {
	d.mu.Lock()
	defer d.mu.Unlock()
	var rooms []Room
	for _, room := range d.fresh(service, now) {
		rooms = append(rooms, room)
	}
	slices.SortFunc(rooms, func(a, b Room) int { return a.Cell - b.Cell })
	return rooms
}

// minKnownRooms is the number of rooms without which there is nothing to compare.
const minKnownRooms = 2

// Choose returns the cell for a new job, and why it is that one.
func (d *RoomDirectory) Choose(cells *Cells, job *bbrwork.Job, homeCell int, now time.Time) (int, Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	choice := d.choose(cells, job, homeCell, now)
	if service := d.services[job.Service]; service != nil && choice.balanced != service.balanced {
		service.balanced = choice.balanced
		klog.InfoS("Balancing of jobs by room changed", "service", job.Service, "balanced", choice.balanced, "imbalance", choice.imbalance, "known", choice.known, "cells", cells.Count())
	}
	return choice.cell, choice.reason
}

// Preview returns what Choose would, and changes nothing.
func (d *RoomDirectory) Preview(cells *Cells, job *bbrwork.Job, homeCell int, now time.Time) (int, Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	choice := d.choose(cells, job, homeCell, now)
	return choice.cell, choice.reason
}

// choice is the choice of a cell, and whether the jobs of the service are balanced by room
// with it.
type choice struct {
	cell      int
	reason    Reason
	balanced  bool
	imbalance float64
	// known is the number of cells whose room is known.
	known int
}

// choose chooses the cell for a new job. The caller holds the lock.
func (d *RoomDirectory) choose(cells *Cells, job *bbrwork.Job, homeCell int, now time.Time) choice {
	rooms := d.fresh(job.Service, now)
	if len(rooms) < minKnownRooms {
		cell, _, reason := cells.choose(job, homeCell)
		if reason == ReasonEvenRoom {
			reason = ReasonUnknownRoom
		}
		service := d.services[job.Service]
		return choice{cell: cell, reason: reason, balanced: service != nil && service.balanced, known: len(rooms)}
	}
	made := choice{known: len(rooms)}
	made.balanced, made.imbalance = cells.Balance(d.services[job.Service].balanced, rooms)
	if made.balanced {
		made.cell, made.reason = cells.ChooseByRoom(job, homeCell, rooms)
	} else {
		made.cell, _, made.reason = cells.choose(job, homeCell)
	}
	return made
}

// service returns the rooms of a service, which it adds if there are none. The caller holds
// the lock.
func (d *RoomDirectory) service(name string) *serviceRooms {
	if d.services == nil {
		d.services = make(map[string]*serviceRooms)
	}
	if d.services[name] == nil {
		d.services[name] = &serviceRooms{byCell: make(map[int]publishedRoom)}
	}
	return d.services[name]
}

// fresh returns the rooms of the service that are not too old, with their ages. The caller
// holds the lock.
func (d *RoomDirectory) fresh(name string, now time.Time) map[int]Room {
	service := d.services[name]
	if service == nil {
		return nil
	}
	rooms := make(map[int]Room, len(service.byCell))
	for cell, published := range service.byCell {
		if age := now.Sub(published.at); age < MaxRoomAge {
			room := published.room
			room.Age = max(0, age)
			rooms[cell] = room
		}
	}
	return rooms
}
