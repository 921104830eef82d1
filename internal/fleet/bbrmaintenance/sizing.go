package bbrmaintenance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

// movable returns the instances that are up, in no task and of no directive, by
// part. Those whose last move was given up lately are left out.
func (p *Planner) movable() map[Partition][]bbrmachine.Instance {
	movable := make(map[Partition][]bbrmachine.Instance)
	for _, id := range slices.Sorted(maps.Keys(p.instances)) {
		instance := p.instances[id]
		_, directed := p.directives[id]
		partition, known := p.partitionOf(instance, instance.Pool)
		available := p.tasks[id] == nil && !p.inDoubt[id] && !directed && p.abandonedAt[id].IsZero()
		if known && instance.Status == bbrmachine.StatusUp && available {
			movable[partition] = append(movable[partition], instance)
		}
	}
	return movable
}

// sizes counts the instances that work or soon will, by part.
func (p *Planner) sizes(registered func(life string) bool, now time.Time) map[Partition]int {
	sizes := make(map[Partition]int)
	for id, instance := range p.instances {
		pool, present := instance.Pool, p.isPresent(instance, registered, now)
		if t := p.tasks[id]; t != nil {
			// An instance that a wave takes is not there for a while. One that is off has
			// no life that could be registered.
			pool, present = t.pool, instance.Status != bbrmachine.StatusDown
		}
		if partition, known := p.partitionOf(instance, pool); known && pool != "" && present {
			sizes[partition]++
		}
	}
	return sizes
}

// instanceMilliCPU returns the processor room of an instance, by pool.
func (p *Planner) instanceMilliCPU() map[string]int {
	milliCPU := make(map[string]int)
	for _, instance := range p.instances {
		milliCPU[instance.Pool] = max(milliCPU[instance.Pool], instance.Capacity.MilliCPU)
	}
	return milliCPU
}

// settlingTime is how long an instance that is not up and registered still counts:
// it is on its way.
const settlingTime = 3 * time.Second

func (p *Planner) isPresent(instance bbrmachine.Instance, registered func(life string) bool, now time.Time) bool {
	if instance.Status == bbrmachine.StatusUp && registered(instance.Upstream) {
		return true
	}
	return instance.Status != bbrmachine.StatusDown && now.Sub(p.instanceStates[instance.ID].since) < settlingTime
}

// setTargets sets how many instances the parts want for the tier and those before.
func (round *balanceRound) setTargets() {
	for _, request := range round.requests {
		target := round.minSize(request)
		if round.tier == tierOther {
			target = max(target, round.instancesFor(request, request.MilliCPU), request.withExclusive(request.Exclusive))
		}
		round.target[request.Partition] = target
	}
}

// instancesFor returns how many instances of the part have the room.
func (round *balanceRound) instancesFor(request *CapacityRequest, milliCPU int) int {
	capacity := cmp.Or(round.instanceMilliCPU[request.Pool], defaultMilliCPU)
	return int(float64(milliCPU)/(targetUtilization*float64(capacity)) + 1)
}

// minSize returns how many instances a part has whatever others need.
func (round *balanceRound) minSize(request *CapacityRequest) int {
	longRunning := 0
	if request.LongRunningMilliCPU > 0 {
		longRunning = round.instancesFor(request, request.LongRunningMilliCPU)
	}
	return max(max(request.MinInstances, longRunning)+reserveInstances, request.withExclusive(min(request.Exclusive, maxExclusiveFirst)))
}

// withExclusive returns the size at which the part has so many instances for work that
// finds no room beside other work; 0 where there is none.
func (request *CapacityRequest) withExclusive(exclusive int) int {
	if exclusive == 0 {
		return 0
	}
	return request.Occupied + exclusive
}

// defaultMilliCPU is taken for a pool without instances, in thousandths of a core.
const defaultMilliCPU = 16000
