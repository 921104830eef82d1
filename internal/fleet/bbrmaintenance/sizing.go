package bbrmaintenance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

// movable returns the instances that are up and have neither a task nor a directive, by
// partition. Those in doubt, and those whose last move was recently abandoned, are left
// out.
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

// sizes counts the instances that serve or soon will, by partition.
func (p *Planner) sizes(registered func(upstream string) bool, now time.Time) map[Partition]int {
	sizes := make(map[Partition]int)
	for id, instance := range p.instances {
		pool, present := instance.Pool, p.isPresent(instance, registered, now)
		if t := p.tasks[id]; t != nil {
			// An instance under maintenance is away for a while, so it counts for no pool. A
			// spare one has no incarnation that could be registered, so only its status counts.
			pool, present = t.pool, instance.Status != bbrmachine.StatusDown
		}
		if partition, known := p.partitionOf(instance, pool); known && pool != "" && present {
			sizes[partition]++
		}
	}
	return sizes
}

// instanceMilliCPU returns the largest processor capacity of an instance, by pool.
func (p *Planner) instanceMilliCPU() map[string]int {
	milliCPU := make(map[string]int)
	for _, instance := range p.instances {
		milliCPU[instance.Pool] = max(milliCPU[instance.Pool], instance.Capacity.MilliCPU)
	}
	return milliCPU
}

// settlingTime is how long after its last change of state an instance counts as present
// although it is not up and registered: it is in transit.
const settlingTime = 3 * time.Second

// isPresent reports whether an instance serves its pool or soon will.
func (p *Planner) isPresent(instance bbrmachine.Instance, registered func(upstream string) bool, now time.Time) bool {
	if instance.Status == bbrmachine.StatusUp && registered(instance.Upstream) {
		return true
	}
	return instance.Status != bbrmachine.StatusDown && now.Sub(p.instanceStates[instance.ID].since) < settlingTime
}

// setTargets sets the target size of each partition for the present tier and the earlier
// ones.
func (round *balanceRound) setTargets() {
	for _, request := range round.requests {
		target := round.minSize(request)
		if round.tier != tierLongRunning {
			milliCPU := request.MilliCPU
			if round.tier == tierOther {
				// The held part is served in tierHeld.
				milliCPU -= request.HeldMilliCPU
			}
			target = max(target, round.instancesFor(request, milliCPU), request.SpreadInstances, request.withExclusive(request.Exclusive))
		}
		round.target[request.Partition] = target
	}
}

// instancesFor returns the number of the partition's instances that have the processor
// capacity at targetUtilization.
func (round *balanceRound) instancesFor(request *CapacityRequest, milliCPU int) int {
	capacity := cmp.Or(round.instanceMilliCPU[request.Pool], defaultMilliCPU)
	return int(float64(milliCPU)/(targetUtilization*float64(capacity)) + 1)
}

// minSize returns the number of instances that a partition gets before others get theirs
// for other work.
func (round *balanceRound) minSize(request *CapacityRequest) int {
	longRunning := 0
	if request.LongRunningMilliCPU > 0 {
		longRunning = round.instancesFor(request, request.LongRunningMilliCPU)
	}
	return max(max(request.MinInstances, longRunning)+reserveInstances, request.withExclusive(min(request.Exclusive, maxExclusiveFirst)))
}

// withExclusive returns the size at which the partition has the number of instances for
// wide work units, or 0 if that number is 0.
func (request *CapacityRequest) withExclusive(exclusive int) int {
	if exclusive == 0 {
		return 0
	}
	return request.Occupied + exclusive
}

// defaultMilliCPU is the assumed processor capacity of an instance of a pool that has
// none, in thousandths of a core.
const defaultMilliCPU = 16000
