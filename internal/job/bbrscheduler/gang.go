package bbrscheduler

import (
	"cmp"
	"slices"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// startGang starts all work units of a gang, or none: on one rack where the
// step asks for it and one has the room, and spread only where none ever has.
func (p *planner) startGang(s *step) {
	if s.idle < len(s.units) {
		return
	}
	number := 0
	for _, u := range s.units {
		if p.now.Before(u.notBefore) {
			return
		}
		number = max(number, u.last)
	}
	if ask, ok := p.ledger.ask(s, p.usable, p.now); ok {
		p.plan.AdviceRequests = append(p.plan.AdviceRequests, ask)
	}
	for _, group := range p.gangGroups(s) {
		if places := p.place(s, group); places != nil {
			shareCheckpoint(s)
			for i, u := range s.units {
				p.start(u, number+1, places[i])
			}
			return
		}
	}
}

// gangGroups returns the groups of upstreams to try, in order.
func (p *planner) gangGroups(s *step) [][]*upstream {
	if !s.shape.SameRack && s.shape.DataRack == "" {
		return [][]*upstream{p.usable}
	}
	racks := make(map[string][]*upstream)
	for _, up := range p.usable {
		racks[up.Rack()] = append(racks[up.Rack()], up)
	}
	groups := make([][]*upstream, 0, len(racks)+1)
	possible := false
	for _, group := range racks {
		groups = append(groups, group)
		possible = possible || p.ledger.everHolds(s, group)
	}
	slices.SortFunc(groups, func(a, b []*upstream) int {
		if data := s.shape.DataRack; a[0].HasLabel(data) != b[0].HasLabel(data) {
			if a[0].HasLabel(data) {
				return -1
			}
			return 1
		}
		return cmp.Compare(a[0].Rack(), b[0].Rack())
	})
	if !possible {
		groups = append(groups, p.usable)
	}
	return groups
}

// everHolds tells whether the group has room for the whole gang once work that
// ends has ended.
func (l *Scheduler) everHolds(s *step, group []*upstream) bool {
	count := 0
	for _, up := range group {
		if l.everFits(s, up) {
			count += s.fitting(up.leftByLasting())
		}
	}
	return count >= len(s.units)
}

// fitting counts the work units of the step that fit into room.
func (s *step) fitting(room bbrwork.Resources) int {
	most := len(s.units)
	if s.shape.MaxPerUpstream > 0 {
		most = min(most, s.shape.MaxPerUpstream)
	}
	return s.shape.Taken().Count(room, most)
}

// place finds an upstream for each work unit of a gang, or nil.
func (p *planner) place(s *step, group []*upstream) []*upstream {
	places := make([]*upstream, 0, len(s.units))
	for _, up := range group {
		if !up.HasLabel(s.shape.Label) {
			continue
		}
		if _, ok := p.ledger.advised(s, up, p.now); !ok {
			continue
		}
		for range min(s.fitting(up.free()), len(s.units)-len(places)) {
			places = append(places, up)
		}
	}
	if len(places) < len(s.units) {
		return nil
	}
	return places
}

// shareCheckpoint gives all members the same checkpoint, since upstreams take
// only equal ones.
func shareCheckpoint(s *step) {
	newest := ""
	for _, u := range s.units {
		newest = max(newest, u.checkpoint)
	}
	for _, u := range s.units {
		u.checkpoint = newest
	}
}
