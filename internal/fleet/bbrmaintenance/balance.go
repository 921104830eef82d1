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
	// targetUtilization is how much of an instance's room a pool is expected to fill.
	targetUtilization = 0.75
	// reserveInstances is how many instances a part has beyond its lasting work, so that a
	// turn of demand begins at once.
	reserveInstances = 4
	// maxExclusiveFirst bounds the instances that a part gets for such work before other
	// parts get theirs for all other work.
	maxExclusiveFirst = 2
	// surplusGracePeriod is how long an instance must have been too many before it goes to
	// the spare pool. Another pool may take it at once.
	surplusGracePeriod = 3 * time.Second
)

// balanceState is the state of moving instances between pools.
type balanceState struct {
	// surplusSince has when a part was first seen with more than it needs.
	surplusSince map[Partition]time.Time
}

// Balance plans moves from pools that have more than they need to those of the
// same cell that have less. Instances of the spare pool, which are off, come
// first. Parts without a need are left alone.
func (p *Planner) Balance(requests []CapacityRequest, sparePool string, registered func(life string) bool, now time.Time) []PartitionState {
	if p.listedAt.IsZero() {
		return nil
	}
	if p.balance.surplusSince == nil {
		p.balance.surplusSince = make(map[Partition]time.Time)
	}
	p.sparePool = sparePool
	round := &balanceRound{planner: p, now: now, movable: p.movable(), target: make(map[Partition]int), sparePool: sparePool}
	round.size = p.sizes(registered, now)
	round.instanceMilliCPU = p.instanceMilliCPU()
	for i := range requests {
		round.add(&requests[i])
	}
	for _, round.tier = range tiers {
		round.setTargets()
		round.fillByLabel()
		round.fill()
	}
	p.shortage = round.hasShortage()
	round.releaseSurplus()
	return round.partitionStates()
}

// balanceRound is one round of balancing.
type balanceRound struct {
	planner *Planner
	now     time.Time
	// movable are the instances that can be moved, by part, the best first.
	movable  map[Partition][]bbrmachine.Instance
	requests []*CapacityRequest
	size     map[Partition]int
	target   map[Partition]int
	// instanceMilliCPU has the processor room of an instance, by pool.
	instanceMilliCPU map[string]int
	sparePool        string
	// tier is what instances are given for now.
	tier tier
}

// tier is what instances are for: each gets what the earlier ones leave.
type tier uint8

const (
	// tierLongRunning is lasting work and the reserve.
	tierLongRunning tier = iota
	// tierOther is all other work.
	tierOther
)

// tiers are in the order in which instances are given.
var tiers = [...]tier{tierLongRunning, tierOther}

// partitionOf returns the part that an instance belongs to while it is in the pool.
// It is not known before its rack has a cell.
func (p *Planner) partitionOf(instance bbrmachine.Instance, pool string) (Partition, bool) {
	if p.cells == nil {
		return Partition{Pool: pool}, true
	}
	cell, known := p.cells.CellOf(instance.Rack())
	return Partition{Pool: pool, Cell: cell}, known
}

func (round *balanceRound) add(request *CapacityRequest) {
	round.requests = append(round.requests, request)
}

// fill moves instances into the parts that need them, the neediest first.
func (round *balanceRound) fill() {
	exhausted := make(map[int]bool)
	for {
		recipient := round.neediestOutside(exhausted)
		if recipient == nil {
			return
		}
		instance, ok := round.acquire(recipient)
		if !ok {
			exhausted[recipient.Cell] = true
			continue
		}
		round.move(instance, recipient.Pool)
	}
}

// fillByLabel moves in the instances with a label that parts miss, but for those
// that are on their way.
func (round *balanceRound) fillByLabel() {
	for _, request := range round.requests {
		for _, label := range slices.Sorted(maps.Keys(request.ExclusiveByLabel)) {
			count := request.ExclusiveByLabel[label]
			if round.tier == tierLongRunning {
				count = min(count, maxExclusiveFirst)
			}
			for missing := count - round.incoming(request.Partition, label); missing > 0; missing-- {
				instance, ok := round.acquireByLabel(request, label)
				if !ok {
					break
				}
				round.move(instance, request.Pool)
			}
		}
	}
}

// incoming counts the instances with a label that are on their way to the part, or
// have been there for so short a time that its owner may not have told of them.
func (round *balanceRound) incoming(partition Partition, label string) int {
	count := 0
	for id, instance := range round.planner.instances {
		pool, recent := instance.Pool, round.now.Sub(round.planner.instanceStates[id].since) < settlingTime
		if t := round.planner.tasks[id]; t != nil {
			pool, recent = t.pool, true
		}
		if at, known := round.planner.partitionOf(instance, pool); known && at == partition && recent && instance.HasLabel(label) {
			count++
		}
	}
	return count
}

// shortageShare of the fleet's instances must be missing before the fleet counts as
// short: of many parts one or the other always wants some.
const shortageShare = 0.02

// hasShortage tells whether pools want more instances than there are.
func (round *balanceRound) hasShortage() bool {
	missing := 0
	for _, request := range round.requests {
		missing += max(0, -round.surplus(request))
	}
	return float64(missing) > shortageShare*float64(len(round.planner.instances))
}

// neediestOutside returns the neediest part that is in none of the cells.
func (round *balanceRound) neediestOutside(cells map[int]bool) *CapacityRequest {
	var neediest *CapacityRequest
	for _, request := range round.requests {
		if cells[request.Cell] || round.size[request.Partition] >= round.target[request.Partition] {
			continue
		}
		if neediest == nil || round.fillRatio(request) < round.fillRatio(neediest) {
			neediest = request
		}
	}
	return neediest
}

func (round *balanceRound) move(instance bbrmachine.Instance, pool string) {
	if from, known := round.planner.partitionOf(instance, instance.Pool); known {
		round.size[from]--
		from.Pool = pool
		round.size[from]++
	}
	round.planner.tasks[instance.ID] = &task{instance: instance.ID, pool: pool, upstream: instance.Upstream, since: round.now}
}

// releaseSurplus moves instances that have been too many for a while to the spare pool.
func (round *balanceRound) releaseSurplus() {
	for _, request := range round.requests {
		surplusSince := round.planner.balance.surplusSince
		if round.surplus(request) <= 0 {
			delete(surplusSince, request.Partition)
			continue
		}
		if surplusSince[request.Partition].IsZero() {
			surplusSince[request.Partition] = round.now
		}
		if round.sparePool == "" || round.now.Sub(surplusSince[request.Partition]) < surplusGracePeriod {
			continue
		}
		for round.surplus(request) > 0 {
			instance, ok := round.release(request, "")
			if !ok {
				break
			}
			round.move(instance, round.sparePool)
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

func (round *balanceRound) partitionStates() []PartitionState {
	up, leaving := make(map[Partition]int), make(map[Partition]int)
	for id, instance := range round.planner.instances {
		request, known := round.planner.partitionOf(instance, instance.Pool)
		if !known {
			continue
		}
		if instance.Status == bbrmachine.StatusUp {
			up[request]++
		}
		if round.planner.tasks[id] != nil {
			leaving[request]++
		}
	}
	states := make([]PartitionState, 0, len(round.requests))
	for _, request := range round.requests {
		states = append(states, PartitionState{Partition: request.Partition, Size: round.size[request.Partition], Target: round.target[request.Partition], Up: up[request.Partition], Leaving: leaving[request.Partition]})
	}
	return states
}
