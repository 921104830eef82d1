package bbrmaintenance

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

// Partition identifies the instances of a pool in one cell of the fleet.
type Partition struct {
	Pool string
	Cell int
}

// CapacityRequest is the capacity that a partition asks for.
type CapacityRequest struct {
	Partition
	// MilliCPU is the processor capacity that it needs now, in thousandths of a core.
	MilliCPU int
	// HeldMilliCPU is the part of MilliCPU that keeps the rate of late work from falling
	// with the work.
	HeldMilliCPU int
	// LongRunningMilliCPU is the part of MilliCPU that long-running work uses.
	LongRunningMilliCPU int
	// Exclusive is the number of instances it needs for wide work units, which do not
	// fit beside other work. Occupied is the number of its instances that cannot serve
	// them.
	Exclusive, Occupied int
	// ExclusiveByLabel is the number of additional such instances it needs, by the
	// label they must bear.
	ExclusiveByLabel map[string]int
	// MinInstances is the number of instances over which its long-running work is or must
	// be spread, regardless of the load.
	MinInstances int
	// SpreadInstances is the number of instances over which its finite work must be spread.
	SpreadInstances int
	// Releasable lists the upstream IDs of the instances that it can release, those that
	// are drained soonest first.
	Releasable []string
	// Needed lists those of Releasable for which late work waits.
	Needed []string
}

const (
	// targetUtilization is the share of an instance's capacity that a pool is expected
	// to use.
	targetUtilization = 0.75
	// reserveInstances is the number of instances that a partition keeps beyond those for
	// its long-running work, so that the first work of a demand burst starts at once.
	reserveInstances = 4
	// maxExclusiveFirst bounds the instances that a partition gets for wide work units
	// before other partitions get theirs for other work.
	maxExclusiveFirst = 2
	// surplusGracePeriod is how long a partition must have had a surplus before its
	// instances go to the spare pool. Another pool may acquire them at once.
	surplusGracePeriod = 3 * time.Second
)

// balanceState is the state kept between rounds of balancing.
type balanceState struct {
	// surplusSince is the time since which a partition has had a surplus.
	surplusSince map[Partition]time.Time
}

// Balance plans moves from partitions with a surplus to partitions of the same cell
// that are below their target size. Instances of the spare pool, which are off, are
// used first. Partitions without a request are left alone. registered reports whether
// the store lists an upstream ID.
func (p *Planner) Balance(requests []CapacityRequest, sparePool string, registered func(upstream string) bool, now time.Time) []PartitionState {
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

// balanceRound is one round of balancing. Moves that it plans update size at once.
type balanceRound struct {
	planner *Planner
	now     time.Time
	// movable holds the instances that can be moved, by partition.
	movable  map[Partition][]bbrmachine.Instance
	requests []*CapacityRequest
	size     map[Partition]int
	target   map[Partition]int
	// instanceMilliCPU is the processor capacity of an instance, by pool.
	instanceMilliCPU map[string]int
	sparePool        string
	// tier is the tier that is being served.
	tier tier
	// shortfalls has why the partitions that the tier tried to fill got no instance.
	shortfalls map[Partition]Shortfall
}

// tier is a priority level of requests. Each tier gets the instances that the earlier
// ones leave.
type tier uint8

const (
	// tierLongRunning is for long-running work, the reserve and the first wide work units.
	tierLongRunning tier = iota
	// tierOther is for all other work.
	tierOther
	// tierHeld is for the rate that late work keeps. It comes last, so that in a fleet that is
	// short of instances late work has the same weight whatever was requested for it before.
	tierHeld
)

// tiers lists the tiers in the order in which they are served.
var tiers = [...]tier{tierLongRunning, tierOther, tierHeld}

// partitionOf returns the partition that an instance belongs to while it is in the
// pool, and whether it is known. It is unknown until the instance's rack has a cell. If
// the fleet is not divided, all instances of the pool are in cell 0.
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

// fill moves instances into the partitions that are below their target size, the one
// with the lowest fill ratio first.
func (round *balanceRound) fill() {
	failed := make(map[int]float64)
	round.shortfalls = make(map[Partition]Shortfall)
	for {
		recipient := round.neediest(failed)
		if recipient == nil {
			return
		}
		instance, ok := round.acquire(recipient)
		if !ok {
			failed[recipient.Cell] = round.fillRatioAfterMove(recipient)
			round.shortfalls[recipient.Partition] = shortfallOf(round.allDonors(recipient))
			continue
		}
		round.move(instance, recipient.Pool)
	}
}

// fillByLabel moves in the instances with a label that partitions lack, except for
// those already in transit.
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

// incoming counts the instances with a label that are in transit to the partition, or
// that arrived so recently that its owner may not have reported them yet.
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

// shortageShare is the share of the fleet's instances that must be missing for the
// fleet to be short of instances. Among many partitions, a few are always below their
// target.
const shortageShare = 0.02

// hasShortage reports whether partitions lack more instances than shortageShare allows.
func (round *balanceRound) hasShortage() bool {
	missing := 0
	for _, request := range round.requests {
		missing += max(0, -round.surplus(request))
	}
	return float64(missing) > shortageShare*float64(len(round.planner.instances))
}

// neediest returns the partition below its target with the lowest fill ratio, or nil. failed
// has, by cell, the lowest fill ratio after a move for which no instance was found; partitions
// that a move would not leave below it are skipped. The ratio after a move decides, as one
// instance raises the ratio of a small partition by much.
func (round *balanceRound) neediest(failed map[int]float64) *CapacityRequest {
	var neediest *CapacityRequest
	for _, request := range round.requests {
		if round.size[request.Partition] >= round.target[request.Partition] {
			continue
		}
		if ratio, known := failed[request.Cell]; known && round.fillRatioAfterMove(request) >= ratio {
			continue
		}
		if neediest == nil || round.fillRatio(request) < round.fillRatio(neediest) {
			neediest = request
		}
	}
	return neediest
}

// move starts a task that moves the instance to the pool.
func (round *balanceRound) move(instance bbrmachine.Instance, pool string) {
	if from, known := round.planner.partitionOf(instance, instance.Pool); known {
		round.size[from]--
		from.Pool = pool
		round.size[from]++
	}
	round.planner.tasks[instance.ID] = &task{instance: instance.ID, pool: pool, upstream: instance.Upstream, since: round.now}
}

// releaseSurplus moves the instances of partitions that have had a surplus for
// surplusGracePeriod to the spare pool.
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
			instance, ok := round.release(request, "", false)
			if !ok {
				break
			}
			round.move(instance, round.sparePool)
		}
	}
}

// PartitionState is the size and the target size of a partition, for the log.
type PartitionState struct {
	Partition
	Size, Target int
	// Up counts the listed instances that are up, and Leaving those with a task, which
	// moves, maintains or drains them.
	Up, Leaving int
	// Shortfall is why the partition is below its target size; ShortfallNone if it is not.
	Shortfall Shortfall
}

func (round *balanceRound) partitionStates() []PartitionState {
	up, leaving := make(map[Partition]int), make(map[Partition]int)
	for id, instance := range round.planner.instances {
		partition, known := round.planner.partitionOf(instance, instance.Pool)
		if !known {
			continue
		}
		if instance.Status == bbrmachine.StatusUp {
			up[partition]++
		}
		if round.planner.tasks[id] != nil {
			leaving[partition]++
		}
	}
	states := make([]PartitionState, 0, len(round.requests))
	for _, request := range round.requests {
		states = append(states, PartitionState{Partition: request.Partition, Size: round.size[request.Partition], Target: round.target[request.Partition], Up: up[request.Partition], Leaving: leaving[request.Partition], Shortfall: round.shortfall(request)})
	}
	return states
}
