package bbrmaintenance

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

// Partition is the instances of a pool in one cell of the fleet.
type Partition struct {
	Pool string
	Cell int
}

// CapacityRequest is what a part of a pool asks for.
type CapacityRequest struct {
	Partition
	// MilliCPU is the room that it needs now.
	MilliCPU int
	// LongRunningMilliCPU is the part of MilliCPU that lasting work takes.
	LongRunningMilliCPU int
	// Exclusive is how many instances it needs for work that finds no room beside other
	// work, and Occupied how many of its instances are not such.
	Exclusive, Occupied int
	// ExclusiveByLabel is how many more such instances with a label it needs, by label.
	ExclusiveByLabel map[string]int
	// MinInstances is how many instances it needs whatever it does.
	MinInstances int
	// Releasable has the lives that it can give away, in order.
	Releasable []string
}

const (
	// fillShare is how much of an instance's room a pool is expected to fill.
	fillShare = 0.75
	// reserve is how many instances a part has beyond its lasting work, so that a
	// turn of demand begins at once.
	reserve = 4
	// firstWhole bounds the instances that a part gets for such work before other
	// parts get theirs for all other work.
	firstWhole = 2
	// restFor is how long an instance must have been too many before it goes to
	// the spare pool. Another pool may take it at once.
	restFor = 3 * time.Second
)

// balance is the state of moving instances between pools.
type balance struct {
	// tooMany has when a part was first seen with more than it needs.
	tooMany map[Partition]time.Time
}

// Balance plans moves from pools that have more than they need to those of the
// same cell that have less. Instances of the spare pool, which are off, come
// first. Parts without a need are left alone.
func (p *Planner) Balance(needs []CapacityRequest, spare string, registered func(life string) bool, now time.Time) []PartitionState {
	if p.listed.IsZero() {
		return nil
	}
	if p.balance.tooMany == nil {
		p.balance.tooMany = make(map[Partition]time.Time)
	}
	p.spare = spare
	b := &balancing{planner: p, now: now, members: p.members(), want: make(map[Partition]int), spare: spare}
	b.size = p.sizes(registered, now)
	b.rooms = p.rooms()
	for i := range needs {
		b.add(&needs[i])
	}
	for _, b.tier = range tiers {
		b.setWants()
		b.fillLabelled()
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
	members map[Partition][]bbrmachine.Instance
	parts   []*CapacityRequest
	size    map[Partition]int
	want    map[Partition]int
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
func (p *Planner) partOf(instance bbrmachine.Instance, pool string) (Partition, bool) {
	if p.cells == nil {
		return Partition{Pool: pool}, true
	}
	cell, known := p.cells.CellOf(instance.Rack())
	return Partition{Pool: pool, Cell: cell}, known
}

func (b *balancing) add(need *CapacityRequest) {
	b.parts = append(b.parts, need)
}

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

// fillLabelled moves in the instances with a label that parts miss, but for those
// that are on their way.
func (b *balancing) fillLabelled() {
	for _, part := range b.parts {
		for _, label := range slices.Sorted(maps.Keys(part.ExclusiveByLabel)) {
			count := part.ExclusiveByLabel[label]
			if b.tier == tierLasting {
				count = min(count, firstWhole)
			}
			for missing := count - b.coming(part.Partition, label); missing > 0; missing-- {
				instance, ok := b.takeLabelled(part, label)
				if !ok {
					break
				}
				b.move(instance, part.Pool)
			}
		}
	}
}

// coming counts the instances with a label that are on their way to the part, or
// have been there for so short a time that its owner may not have told of them.
func (b *balancing) coming(part Partition, label string) int {
	count := 0
	for id, instance := range b.planner.instances {
		home, young := instance.Pool, b.now.Sub(b.planner.standing[id].since) < settleIn
		if t := b.planner.tasks[id]; t != nil {
			home, young = t.pool, true
		}
		if at, known := b.planner.partOf(instance, home); known && at == part && young && instance.HasLabel(label) {
			count++
		}
	}
	return count
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
func (b *balancing) neediestBut(cells map[int]bool) *CapacityRequest {
	var needy *CapacityRequest
	for _, part := range b.parts {
		if cells[part.Cell] || b.size[part.Partition] >= b.want[part.Partition] {
			continue
		}
		if needy == nil || b.share(part) < b.share(needy) {
			needy = part
		}
	}
	return needy
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
			delete(since, part.Partition)
			continue
		}
		if since[part.Partition].IsZero() {
			since[part.Partition] = b.now
		}
		if b.spare == "" || b.now.Sub(since[part.Partition]) < restFor {
			continue
		}
		for b.excess(part) > 0 {
			instance, ok := b.give(part, "")
			if !ok {
				break
			}
			b.move(instance, b.spare)
		}
	}
}

// PartitionState is a part's size and need, for the log.
type PartitionState struct {
	Partition
	Size, Target int
	// Up counts the listed instances that are up, and Tasks those that are being
	// taken away.
	Up, Leaving int
}

func (b *balancing) states() []PartitionState {
	up, tasks := make(map[Partition]int), make(map[Partition]int)
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
	states := make([]PartitionState, 0, len(b.parts))
	for _, part := range b.parts {
		states = append(states, PartitionState{Partition: part.Partition, Size: b.size[part.Partition], Target: b.want[part.Partition], Up: up[part.Partition], Leaving: tasks[part.Partition]})
	}
	return states
}
