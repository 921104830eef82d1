package bbrscheduler

import (
	"cmp"
	"slices"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// startGang starts all work units of a gang or none. A step that asks for it starts
// on one rack if a rack has the free capacity, and is spread over racks only if no
// rack can ever have it. A step that only has its data on a rack is also spread if no rack
// has the free capacity now.
func (p *planner) startGang(s *step) {
	if s.idleUnits < len(s.units) {
		return
	}
	for _, u := range s.units {
		if p.now.Before(u.notBefore) || p.heldBack(u) || p.awaitsReturn(u) {
			return
		}
	}
	if request, ok := p.adviceRequest(s); ok {
		p.plan.AdviceRequests = append(p.plan.AdviceRequests, request)
	}
	if !p.withinCap(s, len(s.units)) {
		return
	}
	number := s.nextGangRun()
	if !p.mayOrderGang(s, number) {
		return
	}
	for _, group := range p.failingLast(p.placementGroups(s)) {
		if placement := p.placeGang(s, group); placement != nil {
			shareCheckpoint(s)
			for i, u := range s.units {
				p.planStart(u, number, placement[i])
			}
			return
		}
	}
}

// nextGangRun returns the number of the gang's next run.
func (s *step) nextGangRun() int {
	lastRun := 0
	for _, u := range s.units {
		lastRun = max(lastRun, u.lastRun)
	}
	return lastRun + 1
}

// mayOrderGang reports whether the run of the gang may be ordered, and requests that its
// number be stored if not.
func (p *planner) mayOrderGang(s *step, number int) bool {
	may := true
	for _, u := range s.units {
		may = p.sched.mayOrder(u, number, nil) && may
	}
	return may
}

// placementGroups returns the groups of upstreams to try, in order of preference. They
// include suspect upstreams if the gang never fits without them.
func (p *planner) placementGroups(s *step) [][]*upstream {
	groups := p.groupsOf(s, p.usable)
	if p.mayUseSuspects(s) && !p.canEverRun(s) {
		groups = append(groups, p.groupsOf(s, slices.Concat(p.usable, p.suspects))...)
	}
	return groups
}

// groupsOf returns the groups in which the gang may be placed on the upstreams.
func (p *planner) groupsOf(s *step, upstreams []*upstream) [][]*upstream {
	if !s.spec.SameRack && s.spec.DataRack == "" {
		return [][]*upstream{upstreams}
	}
	racks := make(map[string][]*upstream)
	for _, up := range upstreams {
		racks[up.Rack()] = append(racks[up.Rack()], up)
	}
	groups := make([][]*upstream, 0, len(racks)+1)
	possible := false
	for _, group := range racks {
		groups = append(groups, group)
		possible = possible || p.sched.canEverFitGang(s, group)
	}
	slices.SortFunc(groups, func(a, b []*upstream) int {
		if data := s.spec.DataRack; a[0].HasLabel(data) != b[0].HasLabel(data) {
			if a[0].HasLabel(data) {
				return -1
			}
			return 1
		}
		return cmp.Compare(a[0].Rack(), b[0].Rack())
	})
	if !possible || !s.spec.SameRack {
		groups = append(groups, upstreams)
	}
	return groups
}

// canEverFitGang reports whether the group has capacity for the whole gang once
// finite work has ended.
func (sched *Scheduler) canEverFitGang(s *step, group []*upstream) bool {
	count := 0
	for _, up := range group {
		if sched.canEverFit(s, up) {
			count += s.fitCount(up.besideLongRunning())
		}
	}
	return count >= len(s.units)
}

// fitCount returns how many work units of the step fit into the capacity of one
// upstream.
func (s *step) fitCount(capacity bbrwork.Resources) int {
	limit := len(s.units)
	if s.spec.MaxPerUpstream > 0 {
		limit = min(limit, s.spec.MaxPerUpstream)
	}
	return s.spec.Allocation().FitCount(capacity, limit)
}

// placeGang returns an upstream of the group for each work unit of a gang, or nil
// if they do not all fit.
func (p *planner) placeGang(s *step, group []*upstream) []*upstream {
	placement := make([]*upstream, 0, len(s.units))
	for _, up := range group {
		if !up.HasLabel(s.spec.Label) || up.refuses(s.spec.Allocation(), p.now) {
			continue
		}
		if _, ok := p.sched.ticketFor(s, up, p.now); !ok {
			continue
		}
		for range min(s.fitCount(p.freeFor(s, up)), len(s.units)-len(placement)) {
			placement = append(placement, up)
		}
	}
	if len(placement) < len(s.units) {
		return nil
	}
	return placement
}

// shareCheckpoint gives all members of a gang the newest checkpoint: upstreams
// accept a gang only if its checkpoints are equal.
func shareCheckpoint(s *step) {
	newest := ""
	for _, u := range s.units {
		newest = max(newest, u.checkpoint)
	}
	for _, u := range s.units {
		u.checkpoint = newest
	}
}
