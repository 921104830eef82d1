package bbrinquiry

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrowner"
)

// RoomExchange is how an entry takes part in the exchange of rooms with hints and their
// answers. Each carries what its sender knows of the cells of the job's service.
type RoomExchange struct {
	// Known returns the rooms of the service's cells that this entry knows.
	Known func(service string, now time.Time) []bbrcell.Room
	// Learn adds rooms whose ages count from the time.
	Learn func(service string, rooms []bbrcell.Room, at time.Time)
}

// HintRequest is a hint with the rooms that its sender knows. Earlier builds send and read
// the hint only.
type HintRequest struct {
	bbrowner.Hint
	Rooms []roomMessage `json:"rooms,omitempty"`
}

// roomMessage is a room of a cell: the cell, the capacity in thousandths of a core, the
// drain time and the age in milliseconds. It is an array to be short, as every hint has
// several.
type roomMessage [4]int64

// known returns the rooms of the service's cells that this entry knows, as sent.
func (e *RoomExchange) known(service string, now time.Time) []roomMessage {
	if e == nil {
		return nil
	}
	var messages []roomMessage
	for _, room := range e.Known(service, now) {
		messages = append(messages, roomMessage{int64(room.Cell), int64(room.MilliCPU), room.Drain.Milliseconds(), room.Age.Milliseconds()})
	}
	return messages
}

// learn adds received rooms whose ages count from the time.
func (e *RoomExchange) learn(service string, messages []roomMessage, at time.Time) {
	if e == nil || len(messages) == 0 {
		return
	}
	rooms := make([]bbrcell.Room, len(messages))
	for i, m := range messages {
		rooms[i] = bbrcell.Room{Cell: int(m[0]), MilliCPU: int(m[1]), Drain: time.Duration(m[2]) * time.Millisecond, Age: time.Duration(m[3]) * time.Millisecond}
	}
	e.Learn(service, rooms, at)
}
