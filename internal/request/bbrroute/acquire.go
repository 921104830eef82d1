package bbrroute

import "time"

// Criteria is what a request asks of the instance that it is sent to.
type Criteria struct {
	// TieBreaker decides between instances of equal penalty. Callers pass a
	// random number; any value is valid.
	TieBreaker uint64
	Urgent     bool
	// AvoidInstance and AvoidRack are the instance and rack of an earlier,
	// failed attempt, or empty.
	AvoidInstance string
	AvoidRack     string
}

// Acquire takes a slot of the instance with the lowest penalty, or returns nil
// if no slot is free for the request. Ejected instances are skipped, unless
// they are more than half of the pool: a pool that fails as a whole is not
// ejected as a whole.
func (p *Pool) Acquire(criteria Criteria, now time.Time) *Target {
	if !p.mayAcquire(criteria) {
		return nil
	}
	skipEjected := p.skipsEjected(now)
	for {
		best := p.leastLoaded(criteria, skipEjected, now)
		if best == nil || best.Slot.Acquire() {
			return best
		}
	}
}

// Preview returns the instance of which Acquire would take a slot, and takes none.
func (p *Pool) Preview(criteria Criteria, now time.Time) *Target {
	if !p.mayAcquire(criteria) {
		return nil
	}
	return p.leastLoaded(criteria, p.skipsEjected(now), now)
}

// mayAcquire reports whether the request may use one of the slots that are free.
func (p *Pool) mayAcquire(criteria Criteria) bool {
	return criteria.Urgent || p.FreeSlots() > p.urgentReserve()
}

// skipsEjected reports whether ejected instances are skipped.
func (p *Pool) skipsEjected(now time.Time) bool { return p.countEjected(now)*2 <= len(p.Targets) }

// leastLoaded returns the instance with the lowest penalty among those with a
// free slot, or nil.
func (p *Pool) leastLoaded(criteria Criteria, skipEjected bool, now time.Time) *Target {
	var best *Target
	lowest := 0
	n := len(p.Targets)
	if n == 0 {
		return nil
	}
	start := int(criteria.TieBreaker % uint64(n))
	for i := range n {
		target := p.Targets[(start+i)%n]
		limit, inFlight := target.Slot.Load()
		if inFlight >= limit || (skipEjected && target.Health.Ejected(now)) {
			continue
		}
		penalty := criteria.penalty(target, limit, inFlight)
		if best == nil || penalty < lowest {
			best, lowest = target, penalty
		}
	}
	return best
}

// Penalties order the instances. The load counts in thousandths of the entry's
// share. The rack and the instance of a failed attempt add more than any load
// can, so that they are chosen last.
const (
	fullLoadPenalty     = 1_000
	sameRackPenalty     = 10_000
	sameInstancePenalty = 100_000
)

func (c Criteria) penalty(target *Target, limit, inFlight int) int {
	penalty := inFlight * fullLoadPenalty / limit
	if c.AvoidRack != "" && target.Rack == c.AvoidRack {
		penalty += sameRackPenalty
	}
	if c.AvoidInstance != "" && target.ID == c.AvoidInstance {
		penalty += sameInstancePenalty
	}
	return penalty
}

func (p *Pool) countEjected(now time.Time) int {
	count := 0
	for _, target := range p.Targets {
		if target.Health.Ejected(now) {
			count++
		}
	}
	return count
}

// FreeSlots returns how many slots of the pool the entry can still acquire.
func (p *Pool) FreeSlots() int {
	free := 0
	for _, target := range p.Targets {
		limit, inFlight := target.Slot.Load()
		free += max(0, limit-inFlight)
	}
	return free
}

// Slots returns the entry's share of the pool, free or not, in slots.
func (p *Pool) Slots() int {
	slots := 0
	for _, target := range p.Targets {
		limit, _ := target.Slot.Load()
		slots += limit
	}
	return slots
}

// urgentReserve returns how many free slots are reserved for urgent requests,
// at most half of the entry's share.
func (p *Pool) urgentReserve() int {
	return min(p.Config.UrgentReserve, p.Slots()/2)
}

// mayGrant reports whether a slot that was just released may be granted to a
// request of the given priority. The slot itself is not counted as free yet.
func (p *Pool) mayGrant(urgent bool) bool {
	return urgent || p.FreeSlots() >= p.urgentReserve()
}

// Release gives a slot back. It passes to the next waiting request, if there is
// one, without becoming free in between.
func (p *Pool) Release(target *Target) {
	if p.WaitQueue.Len() > 0 && target.Slot.CanTransfer() && p.WaitQueue.Grant(target, p.mayGrant) {
		return
	}
	target.Slot.Release()
}

// GrantFreeSlots grants free slots to waiting requests. It is needed where slots
// become free without a release, for example when the table has grown or an
// ejection has ended.
func (p *Pool) GrantFreeSlots(now time.Time) {
	for p.WaitQueue.Len() > 0 {
		target := p.Acquire(Criteria{Urgent: true}, now)
		if target == nil {
			return
		}
		if !p.WaitQueue.Grant(target, p.mayGrant) {
			target.Slot.Release()
			return
		}
	}
}
