package bbrmaintenance

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

// Planner decides which instances to move or maintain next. Its methods must not be
// called concurrently.
type Planner struct {
	// MaintenanceTime is the expected time for which an instance is away for its
	// maintenance.
	MaintenanceTime time.Duration

	waves     map[int64]*wave
	instances map[string]bbrmachine.Instance
	// instanceStates holds the listed state of each instance and since when it is so.
	instanceStates map[string]instanceState
	// listedAt is when the list of instances was requested, and firstListedAt when the first
	// one was.
	listedAt, firstListedAt time.Time
	// missingSince is since when an instance is missing from the lists. Until it is gone, it
	// stays in instances, without being up.
	missingSince map[string]time.Time
	tasks        map[string]*task
	// abandonedAt is when a move that was not drained or carried out in time was
	// abandoned, by instance.
	abandonedAt map[string]time.Time
	// retired is when an upstream ID ended because its instance was moved or maintained.
	// The store may list it for a while longer.
	retired map[string]time.Time
	balance balanceState
	// sparePool is the pool whose instances are switched off; empty for none.
	sparePool string
	// cells is the division of the fleet; nil means that it is not divided.
	cells *bbrcell.Cells
	// inDoubt holds the instances for which an order of an earlier leader may still
	// arrive.
	inDoubt map[string]bool
	// directives are the operators' directives for instances.
	directives bbrmachine.Directives
	// shortage means that partitions lack more instances than shortageShare allows.
	shortage bool
}

// instanceState is an instance's upstream ID and status, and since when they are listed.
type instanceState struct {
	upstream string
	status   bbrmachine.Status
	since    time.Time
}

// task is the move, maintenance or operator's drain of one instance.
type task struct {
	instance string
	// wave is the wave's number for a maintenance, and pool is the target of a move. The
	// other one is zero; a drain has neither.
	wave int64
	pool string
	// upstream is the ID of the incarnation that ends when the order is carried out.
	upstream string
	phase    phase
	// since is when the task started, or when its order was first sent.
	since time.Time
	// answeredAt is when the order was answered.
	answeredAt time.Time
	// busyAt is when the order was last answered as not carried out, for a reason that a later
	// list shows.
	busyAt time.Time
	// drained means that operators drained the instance: the task sends no order.
	drained bool
}

// phase is the progress of a task.
type phase uint8

const (
	// phaseDraining means that the owner drains the instance.
	phaseDraining phase = iota
	// phaseOrdering means that the order was sent at least once and not answered yet.
	phaseOrdering
	// phaseAway means that the order was accepted and the instance's next incarnation is
	// awaited.
	phaseAway
)

// Order is an order to the platform to move or maintain an instance.
type Order struct {
	Instance string
	// Wave is the wave of a maintenance, and 0 for a move to Pool.
	Wave int64
	Pool string
}

// NewPlanner returns a planner without waves or instances.
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

// SetInDoubt sets the instances for which an order of an earlier leader may still arrive.
// They are left alone and count as away.
func (p *Planner) SetInDoubt(instances map[string]bool) { p.inDoubt = instances }

// SetCells sets the division of the fleet into cells.
func (p *Planner) SetCells(cells *bbrcell.Cells) { p.cells = cells }

// UpdateInstances applies a list of instances that was requested at requestedAt.
func (p *Planner) UpdateInstances(list []bbrmachine.Instance, requestedAt time.Time) {
	if p.firstListedAt.IsZero() {
		p.firstListedAt = requestedAt
	}
	list = p.withMissing(list, requestedAt)
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

// finishIfDone ends a task whose instance is up in its next incarnation or gone.
func (p *Planner) finishIfDone(t *task) {
	instance, ok := p.instances[t.instance]
	switch {
	case ok:
	case t.phase == phaseAway:
		p.finish(t)
		return
	default:
		delete(p.tasks, t.instance)
		return
	}
	if t.phase == phaseOrdering && t.hasMoved(instance) {
		p.finish(t)
		return
	}
	if t.phase == phaseOrdering && p.isMaintained(t) {
		t.phase, t.answeredAt = phaseAway, p.listedAt
	}
	if t.phase != phaseAway || !p.listedAt.After(t.answeredAt) {
		return
	}
	returned := instance.Upstream != t.upstream || p.listedAt.Sub(t.answeredAt) > repeatedOrderTime
	if instance.Status == bbrmachine.StatusUp && returned {
		p.finish(t)
	}
}

// isMaintained reports whether a list has shown the instance away for maintenance since the order of
// the task was first sent: the order was carried out, though its answer is missing.
func (p *Planner) isMaintained(t *task) bool {
	state := p.instanceStates[t.instance]
	return t.wave != 0 && state.status == bbrmachine.StatusMaintained && state.since.After(t.since)
}

// hasMoved reports whether the instance is up in the pool of the move and in another
// incarnation than the one that the order ends.
func (t *task) hasMoved(instance bbrmachine.Instance) bool {
	return t.pool != "" && instance.Pool == t.pool && instance.Status == bbrmachine.StatusUp && instance.Upstream != t.upstream
}

// repeatedOrderTime is how long after the answer an instance that is still listed as up
// in its old incarnation counts as done. An order that is carried out takes the instance
// down at once, so this one repeated an order that had been carried out before. It
// exceeds the age that a list can have.
const repeatedOrderTime = 1500 * time.Millisecond

// finish ends a task and marks the instance as done in its wave.
func (p *Planner) finish(t *task) {
	if w := p.waves[t.wave]; w != nil {
		w.done[t.instance] = true
	}
	if t.upstream != "" && t.phase != phaseDraining && p.instances[t.instance].Upstream != t.upstream {
		p.retired[t.upstream] = p.listedAt
	}
	delete(p.tasks, t.instance)
}

// retiredTTL exceeds the time for which the store lists an upstream that has ended.
const retiredTTL = 8 * time.Second

// NextOrders starts the tasks that are due and returns the orders to send now. isDrained
// reports whether nothing runs on a reserved instance.
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

// nextOrder returns the order of a task, if it is to be sent now.
func (p *Planner) nextOrder(t *task, isDrained func(instance bbrmachine.Instance) bool, now time.Time) (Order, bool) {
	instance := p.instances[t.instance]
	if t.phase == phaseAway || t.drained || t.unanswered(now) || instance.Status == bbrmachine.StatusUnknown {
		return Order{}, false
	}
	up := instance.Status == bbrmachine.StatusUp
	if up && instance.Upstream != "" {
		t.upstream = instance.Upstream
	}
	// An order that was sent before may not have been carried out, and would end the present
	// incarnation.
	if up && !p.mayOrder(instance, isDrained) {
		return Order{}, false
	}
	if t.phase == phaseDraining {
		if !up || p.inDoubt[t.instance] || p.awaitsList(t) || p.atLimit(t) {
			return Order{}, false
		}
		t.phase, t.since = phaseOrdering, now
	}
	return t.order(), true
}

// awaitsList reports whether no list was requested since the order was answered as busy. An
// earlier call that got no answer may have taken the instance away.
func (p *Planner) awaitsList(t *task) bool {
	return !t.busyAt.IsZero() && !p.listedAt.After(t.busyAt)
}

// mayOrder reports whether an order for an instance that is up would end no work. The list may
// lack the upstream of an instance for a moment, as while it restarts.
func (p *Planner) mayOrder(instance bbrmachine.Instance, isDrained func(instance bbrmachine.Instance) bool) bool {
	unnamed := instance.Upstream == "" && instance.Pool != p.sparePool
	if unnamed && p.listedAt.Sub(p.instanceStates[instance.ID].since) < settlingTime {
		return false
	}
	return isDrained(instance)
}

// order returns the order that carries out the task.
func (t *task) order() Order { return Order{Instance: t.instance, Wave: t.wave, Pool: t.pool} }

// Reserved returns the upstream IDs that must not take new work, sorted.
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

// moveTimeout is how long the owner may take to drain an instance for a move, and the
// instance to come up afterwards. An owner never drains an instance that it does not know
// as its own.
const moveTimeout = 6 * time.Second

// orderSettleTime is how long a move whose order was not answered stays open after the last
// call. It exceeds the time for which a call may last and its order be in flight.
const orderSettleTime = 2 * time.Second

// unanswered reports whether the order of a move is not sent any more, as none was answered
// within moveTimeout.
func (t *task) unanswered(now time.Time) bool {
	return t.wave == 0 && t.phase == phaseOrdering && now.Sub(t.since) > moveTimeout
}

// moveCooldown is how long an instance whose move was abandoned is not considered for
// another one, since other instances may be drained sooner.
const moveCooldown = 10 * time.Second

// abandonStalledMoves ends the moves whose instance was not drained or did not come up
// within moveTimeout, or whose order was not answered within it, and returns their
// instances. Maintenance is never abandoned, as waves must be completed.
func (p *Planner) abandonStalledMoves(now time.Time) []string {
	maps.DeleteFunc(p.abandonedAt, func(_ string, at time.Time) bool { return now.Sub(at) > moveCooldown })
	var abandoned []string
	for id, t := range p.tasks {
		limit := moveTimeout
		if t.phase == phaseOrdering {
			limit += orderSettleTime
		}
		if t.wave == 0 && !t.drained && now.Sub(later(t.since, t.answeredAt)) > limit {
			abandoned = append(abandoned, id)
			p.abandonedAt[id] = now
			delete(p.tasks, id)
		}
	}
	slices.Sort(abandoned)
	return abandoned
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// RecordOutcome applies the outcome of an order.
func (p *Planner) RecordOutcome(order Order, outcome Outcome, now time.Time) {
	t := p.tasks[order.Instance]
	if t == nil || order != t.order() {
		// The order's own task has ended.
		return
	}
	switch outcome {
	case OutcomeDone:
		t.phase, t.answeredAt = phaseAway, now
	case OutcomeRejected:
		p.finish(t)
	case OutcomeBusy:
		// The instance is not up: it may be away already, or it crashed. The next list
		// shows which.
		t.phase, t.busyAt = phaseDraining, now
	}
}

// Outcome is the outcome of an order.
type Outcome uint8

// Outcomes of an order.
const (
	// OutcomeUnknown means that the order may have been carried out and is sent again.
	OutcomeUnknown Outcome = iota
	// OutcomeDone means that the order was accepted.
	OutcomeDone
	// OutcomeBusy means that the order was not carried out, because the instance was not
	// up, was about to leave or was not known.
	OutcomeBusy
	// OutcomeRejected means that the platform does not accept the order, because it is
	// invalid or its instance is not of the wave. It is not sent again.
	OutcomeRejected
)

// HasOpenWork reports whether a wave, a move or a maintenance is open, or no list was
// applied yet. An operator's drain is not open work.
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
