package bbrmaintenance

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

// Planner decides which instances to take away next. Its methods are called by
// one goroutine.
type Planner struct {
	// MaintenanceTime is how long an instance is away for its maintenance.
	MaintenanceTime time.Duration

	waves     map[int64]*wave
	instances map[string]bbrmachine.Instance
	// instanceStates has, by instance, since when its life and status are as listed.
	instanceStates map[string]instanceState
	// listedAt is when the list of instances was asked for.
	listedAt time.Time
	tasks    map[string]*task
	// abandonedAt has, by instance, when a move that was not cleared or carried out ended.
	abandonedAt map[string]time.Time
	// retired has the lives that were taken away, with when: the store may list
	// them a while longer.
	retired map[string]time.Time
	balance balanceState
	// sparePool is the pool whose instances are off; empty for none.
	sparePool string
	// cells is the division of the fleet; nil leaves it whole.
	cells *bbrcell.Cells
	// inDoubt has the instances that an earlier holder may still order.
	inDoubt map[string]bool
	// directives are what operators ask of instances.
	directives bbrmachine.Directives
	// shortage means that a pool wants more instances than there are.
	shortage bool
}

// instanceState is an instance's life and status with since when they are listed.
type instanceState struct {
	upstream string
	status   bbrmachine.Status
	since    time.Time
}

// task is one instance that is being taken away.
type task struct {
	instance string
	// wave is the wave's number, and pool empty; a move has a pool instead.
	wave int64
	pool string
	// upstream is the upstream that the instance had at the beginning.
	upstream string
	phase    phase
	since    time.Time
	// answeredAt is when the order was answered.
	answeredAt time.Time
	// drained means that operators drained the instance: there is nothing to order.
	drained bool
}

// phase is how far a task is.
type phase uint8

const (
	// phaseClearing: the owner takes the work off the instance.
	phaseDraining phase = iota
	// phaseOrdering: the order was sent at least once and not answered yet.
	phaseOrdering
	// phaseAway: the order was answered; the next life is awaited.
	phaseAway
)

// Order is a call to be made.
type Order struct {
	Instance string
	// Wave is 0 for a move.
	Wave int64
	Pool string
}

// NewPlanner returns a planner without waves.
func NewPlanner(maintenanceTime time.Duration) *Planner {
	return &Planner{
		MaintenanceTime: maintenanceTime,
		waves:           make(map[int64]*wave),
		instances:       make(map[string]bbrmachine.Instance),
		tasks:           make(map[string]*task),
		abandonedAt:     make(map[string]time.Time),
		retired:         make(map[string]time.Time),
	}
}

// SetInDoubt tells the planner of the instances that an earlier holder may still
// order: they are left alone, and count as away.
func (p *Planner) SetInDoubt(instances map[string]bool) { p.inDoubt = instances }

// SetCells tells the planner of the division of the fleet.
func (p *Planner) SetCells(cells *bbrcell.Cells) { p.cells = cells }

// UpdateInstances tells the planner of a list of instances that was asked for at sent.
func (p *Planner) UpdateInstances(list []bbrmachine.Instance, requestedAt time.Time) {
	p.instances = make(map[string]bbrmachine.Instance, len(list))
	earlier := p.instanceStates
	p.instanceStates = make(map[string]instanceState, len(list))
	for _, instance := range list {
		p.instances[instance.ID] = instance
		current := instanceState{upstream: instance.Upstream, status: instance.Status, since: requestedAt}
		if previous, ok := earlier[instance.ID]; ok && previous.upstream == current.upstream && previous.status == current.status {
			current.since = previous.since
		}
		p.instanceStates[instance.ID] = current
	}
	p.listedAt = requestedAt
	for _, t := range p.tasks {
		p.finishIfDone(t)
	}
}

// finishIfDone ends a task whose instance is up in another life, or gone.
func (p *Planner) finishIfDone(t *task) {
	instance, ok := p.instances[t.instance]
	if !ok {
		p.finish(t)
		return
	}
	if t.phase != phaseAway || !p.listedAt.After(t.answeredAt) {
		return
	}
	returned := instance.Upstream != t.upstream || p.listedAt.Sub(t.answeredAt) > repeatedOrderTime
	if instance.Status == bbrmachine.StatusUp && returned {
		p.finish(t)
	}
}

// repeatedOrderTime is how long after the answer an instance that is listed as up
// in its old life counts as done: an order that is carried out takes the instance
// down at once, so this one had been carried out before. It is above the age of a
// list.
const repeatedOrderTime = 1500 * time.Millisecond

func (p *Planner) finish(t *task) {
	if w := p.waves[t.wave]; w != nil {
		w.done[t.instance] = true
	}
	if t.upstream != "" && t.phase == phaseAway && p.instances[t.instance].Upstream != t.upstream {
		p.retired[t.upstream] = p.listedAt
	}
	delete(p.tasks, t.instance)
}

// retiredTTL is above the time for which the store lists a silent upstream.
const retiredTTL = 8 * time.Second

// NextOrders decides what to do now. cleared tells whether nothing runs on an
// upstream that is reserved.
func (p *Planner) NextOrders(isDrained func(instance bbrmachine.Instance) bool, now time.Time) []Order {
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		p.startTasks(p.waves[number], now)
	}
	var orders []Order
	for _, id := range slices.Sorted(maps.Keys(p.tasks)) {
		if order, ok := p.nextOrder(p.tasks[id], isDrained, now); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

func (p *Planner) nextOrder(t *task, isDrained func(instance bbrmachine.Instance) bool, now time.Time) (Order, bool) {
	instance := p.instances[t.instance]
	if t.phase == phaseAway || t.drained {
		return Order{}, false
	}
	if t.phase == phaseDraining {
		t.upstream = instance.Upstream
		if instance.Status != bbrmachine.StatusUp || p.inDoubt[t.instance] || !isDrained(instance) || p.atLimit(t) {
			return Order{}, false
		}
		t.phase, t.since = phaseOrdering, now
	}
	return Order{Instance: t.instance, Wave: t.wave, Pool: t.pool}, true
}

// Reserved returns the lives that must not take new work.
func (p *Planner) Reserved(now time.Time) []string {
	var upstreams []string
	for upstream, since := range p.retired {
		if now.Sub(since) > retiredTTL {
			delete(p.retired, upstream)
			continue
		}
		upstreams = append(upstreams, upstream)
	}
	for _, t := range p.tasks {
		if t.upstream != "" && p.retired[t.upstream].IsZero() {
			upstreams = append(upstreams, t.upstream)
		}
	}
	slices.Sort(upstreams)
	return upstreams
}

// moveTimeout is how long the owner may take to clear an instance for a move.
// One that it does not know as its own is never cleared.
const moveTimeout = 6 * time.Second

// moveCooldown is how long an instance whose move was given up is not taken for
// another one: others may be cleared sooner.
const moveCooldown = 10 * time.Second

// abandonStalledMoves ends moves whose instance is not cleared or does not come up. Waves go
// on: they have to be done.
func (p *Planner) abandonStalledMoves(now time.Time) []string {
	maps.DeleteFunc(p.abandonedAt, func(_ string, at time.Time) bool { return now.Sub(at) > moveCooldown })
	var abandoned []string
	for id, t := range p.tasks {
		if t.wave == 0 && !t.drained && t.phase != phaseOrdering && now.Sub(later(t.since, t.answeredAt)) > moveTimeout {
			abandoned = append(abandoned, id)
			p.abandonedAt[id] = now
			delete(p.tasks, id)
		}
	}
	slices.Sort(abandoned)
	return abandoned
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// RecordOutcome applies the answer to an order.
func (p *Planner) RecordOutcome(order Order, outcome Outcome, now time.Time) {
	t := p.tasks[order.Instance]
	if t == nil {
		return
	}
	switch outcome {
	case OutcomeDone:
		t.phase, t.answeredAt = phaseAway, now
	case OutcomeRejected:
		p.finish(t)
	case OutcomeBusy:
		// Not up: it may be away already, or crashed. The next list tells.
		t.phase = phaseDraining
	}
}

// Outcome is what an answer to an order means.
type Outcome uint8

// Outcomes of an order.
const (
	// OutcomeOpen: ask again.
	OutcomeUnknown Outcome = iota
	OutcomeDone
	// OutcomeBusy: nothing was done now.
	OutcomeBusy
	// OutcomeNever: the order makes no sense any more.
	OutcomeRejected
)

// HasOpenWork tells whether a wave or a task is open.
func (p *Planner) HasOpenWork() bool {
	if p.listedAt.IsZero() {
		return true
	}
	for _, t := range p.tasks {
		if !t.drained {
			return true
		}
	}
	for _, w := range p.waves {
		if !p.waveCompleted(w) {
			return true
		}
	}
	return false
}
