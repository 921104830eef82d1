package bbrroute

import (
	"net/netip"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrslot"
)

// assignment is what an instance is used as. A request that began under one use can
// never take a slot of another one.
type assignment struct {
	pool    string
	address netip.AddrPort
}

type assignedSlot struct {
	assignment assignment
	slot       *bbrslot.Slot
}

// Slots keeps the entry's slots over all views. A slot whose limit was zero
// stays so for ever: when its instance serves again, it gets a new slot. A
// request that read its table long ago, and was paused since, therefore finds
// a closed slot. The zero value is empty.
type Slots struct {
	open map[string]assignedSlot
	// closed are slots with requests still in flight, by instance.
	closed map[string][]*bbrslot.Slot
}

// apply closes and opens slots as the view asks.
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

// openSlot returns the instance's open slot, or one that admits nothing.
func (s *Slots) openSlot(id string) *bbrslot.Slot {
	if current, ok := s.open[id]; ok {
		return current.slot
	}
	return &bbrslot.Slot{}
}

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
