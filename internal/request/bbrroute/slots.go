package bbrroute

import (
	"net/netip"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrslot"
)

// assignment is the pool and address that an instance serves under. A request
// that began under one assignment cannot acquire a slot of another one.
type assignment struct {
	pool    string
	address netip.AddrPort
}

type assignedSlot struct {
	assignment assignment
	slot       *bbrslot.Slot
}

// Slots is the entry's slots across successive views. A slot whose limit was
// set to zero is never raised again: when its instance serves again, the
// instance gets a new slot. A request that was paused after it read its table
// therefore finds a closed slot. The zero value is empty.
type Slots struct {
	// open contains the slots with a share above 0, by instance.
	open map[string]assignedSlot
	// closed contains the slots that were closed with requests still in
	// flight, by instance.
	closed map[string][]*bbrslot.Slot
}

// apply closes, opens and resizes slots according to the view.
func (s *Slots) apply(view *bbrview.View, self netip.AddrPort) {
	if s.open == nil {
		s.open = make(map[string]assignedSlot)
		s.closed = make(map[string][]*bbrslot.Slot)
	}
	for id, current := range s.open {
		instance := view.Instances[id]
		changed := current.assignment != (assignment{pool: instance.Pool, address: instance.Address})
		if changed || view.Share(self, instance) == 0 {
			s.close(id)
		}
	}
	for id, instance := range view.Instances {
		share := view.Share(self, instance)
		if share == 0 {
			continue
		}
		if _, ok := s.open[id]; !ok {
			s.open[id] = assignedSlot{assignment: assignment{pool: instance.Pool, address: instance.Address}, slot: &bbrslot.Slot{}}
		}
		s.open[id].slot.SetLimit(share)
	}
}

func (s *Slots) close(id string) {
	slot := s.open[id].slot
	delete(s.open, id)
	if slot.SetLimit(0) > 0 {
		s.closed[id] = append(s.closed[id], slot)
	}
}

// openSlot returns the instance's open slot, or a new one that admits nothing.
func (s *Slots) openSlot(id string) *bbrslot.Slot {
	if current, ok := s.open[id]; ok {
		return current.slot
	}
	return &bbrslot.Slot{}
}

// acknowledge returns the requests in flight on closed slots, by instance, and
// how many requests in total are in flight beyond the limits. It forgets the
// closed slots that have become empty.
func (s *Slots) acknowledge() (closedInFlight map[string]int, excess int) {
	closedInFlight = make(map[string]int)
	for id, slots := range s.closed {
		count := 0
		for _, slot := range slots {
			_, inFlight := slot.Load()
			count += inFlight
		}
		if count == 0 {
			delete(s.closed, id)
			continue
		}
		closedInFlight[id] = count
		excess += count
	}
	for _, current := range s.open {
		limit, inFlight := current.slot.Load()
		excess += max(0, inFlight-limit)
	}
	return closedInFlight, excess
}

func (s *Slots) inFlight() int {
	closedInFlight, _ := s.acknowledge()
	sum := 0
	for _, count := range closedInFlight {
		sum += count
	}
	for _, current := range s.open {
		_, inFlight := current.slot.Load()
		sum += inFlight
	}
	return sum
}
