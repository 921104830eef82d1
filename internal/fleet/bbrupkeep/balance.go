package bbrupkeep

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

// Part is the instances of a pool in one cell of the fleet.
type Part struct {
	Pool string
	Cell int
}

// Need is what a part of a pool asks for.
type Need struct {
	Part
	// MilliCPU is the room that it needs now.
	MilliCPU int
	// Lasting is the part of MilliCPU that lasting work takes.
	Lasting int
	// Whole is how many instances it needs for work that fits beside no other.
	Whole int
	// Keep is how many instances it needs whatever it does.
	Keep int
	// Give has the lives that it can give away, in order.
	Give []string
}

const (
	// fillShare is how much of an instance's room a pool is expected to fill.
	fillShare = 0.75
	// reserve is how many instances a part has beyond its lasting work, so that a
	// turn of demand begins at once.
	reserve = 4
	// restFor is how long an instance must have been too many before it goes to
	// the spare pool. Another pool may take it at once.
	restFor = 3 * time.Second
)

// balance is the state of moving instances between pools.
type balance struct {
	// tooMany has when a part was first seen with more than it needs.
	tooMany map[Part]time.Time
}

// Balance plans moves from pools that have more than they need to those of the
// same cell that have less. Instances of the spare pool, which are off, come
// first. Pools of cells without a need are left alone.
func (p *Planner) Balance(needs []Need, spare string, registered func(life string) bool, now time.Time) []PartState {
	if p.listed.IsZero() {
		return nil
	}
	if p.balance.tooMany == nil {
		p.balance.tooMany = make(map[Part]time.Time)
	}
	p.spare = spare
	b := &balancing{planner: p, now: now, members: p.members(), want: make(map[Part]int), spare: spare}
	b.size = p.sizes(registered, now)
	b.rooms = p.rooms()
	for i := range needs {
		b.add(&needs[i])
	}
	for _, b.tier = range tiers {
		b.setWants()
		b.fill()
	}
	p.short = b.short()
	b.rest()
	return b.states()
}

// balancing is one round of balancing.
type balancing struct {
	planner *Planner
	now     time.Time
	// members are the instances that can be moved, by part, the best first.
	members map[Part][]bbrmachine.Instance
	parts   []*Need
	size    map[Part]int
	want    map[Part]int
	// rooms has the processor room of an instance, by pool.
	rooms map[string]int
	spare string
	// tier is what instances are given for now.
	tier tier
}

// tier is what instances are for: each gets what the earlier ones leave.
type tier uint8

const (
	// tierLasting is lasting work and the reserve.
	tierLasting tier = iota
	// tierRest is all other work.
	tierRest
)

// tiers are in the order in which instances are given.
var tiers = [...]tier{tierLasting, tierRest}

// partOf returns the part that an instance belongs to while it is in the pool.
// It is not known before its rack has a cell.
func (p *Planner) partOf(instance bbrmachine.Instance, pool string) (Part, bool) {
	if p.cells == nil {
		return Part{Pool: pool}, true
	}
	cell, known := p.cells.Of(instance.Rack())
	return Part{Pool: pool, Cell: cell}, known
}

// members returns the instances that are up, in no task and of no directive, by
// part.
func (p *Planner) members() map[Part][]bbrmachine.Instance {
	members := make(map[Part][]bbrmachine.Instance)
	for _, id := range slices.Sorted(maps.Keys(p.instances)) {
		instance := p.instances[id]
		_, directed := p.directives[id]
		part, known := p.partOf(instance, instance.Pool)
		if known && instance.Status == bbrmachine.StatusUp && p.tasks[id] == nil && !p.unsure[id] && !directed {
			members[part] = append(members[part], instance)
		}
	}
	return members
}

// sizes counts the instances that work or soon will, by part.
func (p *Planner) sizes(registered func(life string) bool, now time.Time) map[Part]int {
	sizes := make(map[Part]int)
	for id, instance := range p.instances {
		home := instance.Pool
		if t := p.tasks[id]; t != nil {
			// An instance that a wave takes is not there for a while.
			home = t.pool
		}
		part, known := p.partOf(instance, home)
		if known && home != "" && p.counts(instance, registered, now) {
			sizes[part]++
		}
	}
	return sizes
}

// rooms returns the processor room of an instance, by pool.
func (p *Planner) rooms() map[string]int {
	rooms := make(map[string]int)
	for _, instance := range p.instances {
		rooms[instance.Pool] = max(rooms[instance.Pool], instance.Room.MilliCPU)
	}
	return rooms
}

// settleIn is how long an instance that is not up and registered still counts:
// it is on its way.
const settleIn = 3 * time.Second

func (p *Planner) counts(instance bbrmachine.Instance, registered func(life string) bool, now time.Time) bool {
	if instance.Status == bbrmachine.StatusUp && registered(instance.Upstream) {
		return true
	}
	return instance.Status != bbrmachine.StatusDown && now.Sub(p.standing[instance.ID].since) < settleIn
}

func (b *balancing) add(need *Need) {
	b.parts = append(b.parts, need)
}

// setWants sets how many instances the parts want for the tier and those before.
func (b *balancing) setWants() {
	for _, part := range b.parts {
		want := b.least(part)
		if b.tier == tierRest {
			want = max(want, b.instances(part, part.MilliCPU))
		}
		b.want[part.Part] = want
	}
}

// instances returns how many instances of the part have the room.
func (b *balancing) instances(part *Need, milliCPU int) int {
	room := cmp.Or(b.rooms[part.Pool], defaultRoom)
	return int(float64(milliCPU)/(fillShare*float64(room)) + 1)
}

// least returns how many instances a part has whatever others need.
func (b *balancing) least(part *Need) int {
	lasting := 0
	if part.Lasting > 0 {
		lasting = b.instances(part, part.Lasting)
	}
	return max(part.Keep, lasting) + reserve + part.Whole
}

// defaultRoom is taken for a pool without instances, in thousandths of a core.
const defaultRoom = 16000

// fill moves instances into the parts that need them, the neediest first.
func (b *balancing) fill() {
	stuck := make(map[int]bool)
	for {
		needy := b.neediestBut(stuck)
		if needy == nil {
			return
		}
		instance, ok := b.take(needy)
		if !ok {
			stuck[needy.Cell] = true
			continue
		}
		b.move(instance, needy.Pool)
	}
}

// shortShare of the fleet's instances must be missing before the fleet counts as
// short: of many parts one or the other always wants some.
const shortShare = 0.02

// short tells whether pools want more instances than there are.
func (b *balancing) short() bool {
	missing := 0
	for _, part := range b.parts {
		missing += max(0, -b.excess(part))
	}
	return float64(missing) > shortShare*float64(len(b.planner.instances))
}

// neediestBut returns the neediest part that is in none of the cells.
func (b *balancing) neediestBut(cells map[int]bool) *Need {
	var needy *Need
	for _, part := range b.parts {
		if cells[part.Cell] || b.size[part.Part] >= b.want[part.Part] {
			continue
		}
		if needy == nil || b.share(part) < b.share(needy) {
			needy = part
		}
	}
	return needy
}

func (b *balancing) share(part *Need) float64 {
	return float64(b.size[part.Part]) / float64(b.want[part.Part])
}

// take returns an instance for a part: a spare one, or one of the part of its
// cell that has most more than it needs, or else much more of what it needs than
// this one.
func (b *balancing) take(needy *Need) (bbrmachine.Instance, bool) {
	to := needy.Part
	off := Part{Pool: b.spare, Cell: to.Cell}
	if spares := b.members[off]; b.spare != "" && len(spares) > 0 {
		b.members[off] = spares[1:]
		return spares[0], true
	}
	var givers []*Need
	for _, giver := range b.parts {
		if giver.Cell == to.Cell && giver.Pool != to.Pool && b.excess(giver) > 0 {
			givers = append(givers, giver)
		}
	}
	slices.SortStableFunc(givers, func(x, y *Need) int { return cmp.Compare(b.excess(y), b.excess(x)) })
	for _, giver := range append(givers, b.richer(needy)...) {
		if instance, ok := b.give(giver); ok {
			return instance, true
		}
	}
	return bbrmachine.Instance{}, false
}

// muchMore is how many times the share of what it wants a part must have that
// gives an instance which it needs itself: a move takes time on both sides.
const muchMore = 2

// richer returns the parts of the cell that want instances themselves but have
// much more of what they want, the richest first.
func (b *balancing) richer(needy *Need) []*Need {
	var richer []*Need
	for _, part := range b.parts {
		left := b.size[part.Part] - 1
		if b.tier != tierRest || part.Cell != needy.Cell || b.excess(part) > 0 || left < b.least(part) {
			continue
		}
		after := float64(left) / float64(b.want[part.Part])
		if after >= muchMore*float64(b.size[needy.Part]+1)/float64(b.want[needy.Part]) {
			richer = append(richer, part)
		}
	}
	slices.SortStableFunc(richer, func(x, y *Need) int { return cmp.Compare(b.share(y), b.share(x)) })
	return richer
}

// excess returns how many instances a part has more than it wants.
func (b *balancing) excess(part *Need) int { return b.size[part.Part] - b.want[part.Part] }

// give takes the next instance that the part can give away.
func (b *balancing) give(part *Need) (bbrmachine.Instance, bool) {
	for len(part.Give) > 0 {
		life := part.Give[0]
		part.Give = part.Give[1:]
		members := b.members[part.Part]
		at := slices.IndexFunc(members, func(instance bbrmachine.Instance) bool { return instance.Upstream == life })
		if at >= 0 {
			instance := members[at]
			b.members[part.Part] = slices.Delete(slices.Clone(members), at, at+1)
			return instance, true
		}
	}
	return bbrmachine.Instance{}, false
}

func (b *balancing) move(instance bbrmachine.Instance, pool string) {
	if from, known := b.planner.partOf(instance, instance.Pool); known {
		b.size[from]--
		from.Pool = pool
		b.size[from]++
	}
	b.planner.tasks[instance.ID] = &task{instance: instance.ID, pool: pool, life: instance.Upstream, since: b.now}
}

// rest moves instances that have been too many for a while to the spare pool.
func (b *balancing) rest() {
	for _, part := range b.parts {
		since := b.planner.balance.tooMany
		if b.excess(part) <= 0 {
			delete(since, part.Part)
			continue
		}
		if since[part.Part].IsZero() {
			since[part.Part] = b.now
		}
		if b.spare == "" || b.now.Sub(since[part.Part]) < restFor {
			continue
		}
		for b.excess(part) > 0 {
			instance, ok := b.give(part)
			if !ok {
				break
			}
			b.move(instance, b.spare)
		}
	}
}

// PartState is a part's size and need, for the log.
type PartState struct {
	Part
	Size, Want int
	// Up counts the listed instances that are up, and Tasks those that are being
	// taken away.
	Up, Tasks int
}

func (b *balancing) states() []PartState {
	up, tasks := make(map[Part]int), make(map[Part]int)
	for id, instance := range b.planner.instances {
		part, known := b.planner.partOf(instance, instance.Pool)
		if !known {
			continue
		}
		if instance.Status == bbrmachine.StatusUp {
			up[part]++
		}
		if b.planner.tasks[id] != nil {
			tasks[part]++
		}
	}
	states := make([]PartState, 0, len(b.parts))
	for _, part := range b.parts {
		states = append(states, PartState{Part: part.Part, Size: b.size[part.Part], Want: b.want[part.Part], Up: up[part.Part], Tasks: tasks[part.Part]})
	}
	return states
}
