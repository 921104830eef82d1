package bbrmaintenance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

// members returns the instances that are up, in no task and of no directive, by
// part. Those whose last move was given up lately are left out.
func (p *Planner) members() map[Partition][]bbrmachine.Instance {
	members := make(map[Partition][]bbrmachine.Instance)
	for _, id := range slices.Sorted(maps.Keys(p.instances)) {
		instance := p.instances[id]
		_, directed := p.directives[id]
		part, known := p.partOf(instance, instance.Pool)
		free := p.tasks[id] == nil && !p.unsure[id] && !directed && p.givenUp[id].IsZero()
		if known && instance.Status == bbrmachine.StatusUp && free {
			members[part] = append(members[part], instance)
		}
	}
	return members
}

// sizes counts the instances that work or soon will, by part.
func (p *Planner) sizes(registered func(life string) bool, now time.Time) map[Partition]int {
	sizes := make(map[Partition]int)
	for id, instance := range p.instances {
		home, counts := instance.Pool, p.counts(instance, registered, now)
		if t := p.tasks[id]; t != nil {
			// An instance that a wave takes is not there for a while. One that is off has
			// no life that could be registered.
			home, counts = t.pool, instance.Status != bbrmachine.StatusDown
		}
		if part, known := p.partOf(instance, home); known && home != "" && counts {
			sizes[part]++
		}
	}
	return sizes
}

// rooms returns the processor room of an instance, by pool.
func (p *Planner) rooms() map[string]int {
	rooms := make(map[string]int)
	for _, instance := range p.instances {
		rooms[instance.Pool] = max(rooms[instance.Pool], instance.Capacity.MilliCPU)
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

// setWants sets how many instances the parts want for the tier and those before.
func (b *balancing) setWants() {
	for _, part := range b.parts {
		want := b.least(part)
		if b.tier == tierRest {
			want = max(want, b.instances(part, part.MilliCPU), part.withWhole(part.Exclusive))
		}
		b.want[part.Partition] = want
	}
}

// instances returns how many instances of the part have the room.
func (b *balancing) instances(part *CapacityRequest, milliCPU int) int {
	room := cmp.Or(b.rooms[part.Pool], defaultRoom)
	return int(float64(milliCPU)/(fillShare*float64(room)) + 1)
}

// least returns how many instances a part has whatever others need.
func (b *balancing) least(part *CapacityRequest) int {
	lasting := 0
	if part.LongRunningMilliCPU > 0 {
		lasting = b.instances(part, part.LongRunningMilliCPU)
	}
	return max(max(part.MinInstances, lasting)+reserve, part.withWhole(min(part.Exclusive, firstWhole)))
}

// withWhole returns the size at which the part has so many instances for work that
// finds no room beside other work; 0 where there is none.
func (n *CapacityRequest) withWhole(whole int) int {
	if whole == 0 {
		return 0
	}
	return n.Occupied + whole
}

// defaultRoom is taken for a pool without instances, in thousandths of a core.
const defaultRoom = 16000
