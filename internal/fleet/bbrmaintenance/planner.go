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
	// standing has, by instance, since when its life and status are as listed.
	standing map[string]standing
	// listed is when the list of instances was asked for.
	listed time.Time
	tasks  map[string]*task
	// givenUp has, by instance, when a move that was not cleared or carried out ended.
	givenUp map[string]time.Time
	// retired has the lives that were taken away, with when: the store may list
	// them a while longer.
	retired map[string]time.Time
	balance balance
	// spare is the pool whose instances are off; empty for none.
	spare string
	// cells is the division of the fleet; nil leaves it whole.
	cells *bbrcell.Cells
	// unsure has the instances that an earlier holder may still order.
	unsure map[string]bool
	// directives are what operators ask of instances.
	directives bbrmachine.Directives
	// short means that a pool wants more instances than there are.
	short bool
}

// standing is an instance's life and status with since when they are listed.
type standing struct {
	life   string
	status bbrmachine.Status
	since  time.Time
}

// task is one instance that is being taken away.
type task struct {
	instance string
	// wave is the wave's number, and pool empty; a move has a pool instead.
	wave int64
	pool string
	// life is the upstream that the instance had at the beginning.
	life  string
	phase phase
	since time.Time
	// ordered is when the order was answered.
	ordered time.Time
	// held means that operators drained the instance: there is nothing to order.
	held bool
}

// phase is how far a task is.
type phase uint8

const (
	// phaseClearing: the owner takes the work off the instance.
	phaseClearing phase = iota
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
func NewPlanner(away time.Duration) *Planner {
	return &Planner{
		MaintenanceTime: away,
		waves:           make(map[int64]*wave),
		instances:       make(map[string]bbrmachine.Instance),
		tasks:           make(map[string]*task),
		givenUp:         make(map[string]time.Time),
		retired:         make(map[string]time.Time),
	}
}

// SetInDoubt tells the planner of the instances that an earlier holder may still
// order: they are left alone, and count as away.
func (p *Planner) SetInDoubt(instances map[string]bool) { p.unsure = instances }

// SetCells tells the planner of the division of the fleet.
func (p *Planner) SetCells(cells *bbrcell.Cells) { p.cells = cells }

// UpdateInstances tells the planner of a list of instances that was asked for at sent.
func (p *Planner) UpdateInstances(list []bbrmachine.Instance, sent time.Time) {
	p.instances = make(map[string]bbrmachine.Instance, len(list))
	before := p.standing
	p.standing = make(map[string]standing, len(list))
	for _, instance := range list {
		p.instances[instance.ID] = instance
		now := standing{life: instance.Upstream, status: instance.Status, since: sent}
		if was, ok := before[instance.ID]; ok && was.life == now.life && was.status == now.status {
			now.since = was.since
		}
		p.standing[instance.ID] = now
	}
	p.listed = sent
	for _, t := range p.tasks {
		p.follow(t)
	}
}

// follow ends a task whose instance is up in another life, or gone.
func (p *Planner) follow(t *task) {
	instance, ok := p.instances[t.instance]
	if !ok {
		p.finish(t)
		return
	}
	if t.phase != phaseAway || !p.listed.After(t.ordered) {
		return
	}
	back := instance.Upstream != t.life || p.listed.Sub(t.ordered) > carriedOutBefore
	if instance.Status == bbrmachine.StatusUp && back {
		p.finish(t)
	}
}

// carriedOutBefore is how long after the answer an instance that is listed as up
// in its old life counts as done: an order that is carried out takes the instance
// down at once, so this one had been carried out before. It is above the age of a
// list.
const carriedOutBefore = 1500 * time.Millisecond

func (p *Planner) finish(t *task) {
	if w := p.waves[t.wave]; w != nil {
		w.done[t.instance] = true
	}
	if t.life != "" && t.phase == phaseAway && p.instances[t.instance].Upstream != t.life {
		p.retired[t.life] = p.listed
	}
	delete(p.tasks, t.instance)
}

// retiredFor is above the time for which the store lists a silent upstream.
const retiredFor = 8 * time.Second

// NextOrders decides what to do now. cleared tells whether nothing runs on an
// upstream that is reserved.
func (p *Planner) NextOrders(cleared func(instance bbrmachine.Instance) bool, now time.Time) []Order {
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		p.begin(p.waves[number], now)
	}
	var orders []Order
	for _, id := range slices.Sorted(maps.Keys(p.tasks)) {
		if order, ok := p.order(p.tasks[id], cleared, now); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

func (p *Planner) order(t *task, cleared func(instance bbrmachine.Instance) bool, now time.Time) (Order, bool) {
	instance := p.instances[t.instance]
	if t.phase == phaseAway || t.held {
		return Order{}, false
	}
	if t.phase == phaseClearing {
		t.life = instance.Upstream
		if instance.Status != bbrmachine.StatusUp || p.unsure[t.instance] || !cleared(instance) || p.atCap(t) {
			return Order{}, false
		}
		t.phase, t.since = phaseOrdering, now
	}
	return Order{Instance: t.instance, Wave: t.wave, Pool: t.pool}, true
}

// Reserved returns the lives that must not take new work.
func (p *Planner) Reserved(now time.Time) []string {
	var lives []string
	for life, since := range p.retired {
		if now.Sub(since) > retiredFor {
			delete(p.retired, life)
			continue
		}
		lives = append(lives, life)
	}
	for _, t := range p.tasks {
		if t.life != "" && p.retired[t.life].IsZero() {
			lives = append(lives, t.life)
		}
	}
	slices.Sort(lives)
	return lives
}

// giveUpAfter is how long the owner may take to clear an instance for a move.
// One that it does not know as its own is never cleared.
const giveUpAfter = 6 * time.Second

// leftAloneFor is how long an instance whose move was given up is not taken for
// another one: others may be cleared sooner.
const leftAloneFor = 10 * time.Second

// giveUp ends moves whose instance is not cleared or does not come up. Waves go
// on: they have to be done.
func (p *Planner) giveUp(now time.Time) []string {
	maps.DeleteFunc(p.givenUp, func(_ string, at time.Time) bool { return now.Sub(at) > leftAloneFor })
	var given []string
	for id, t := range p.tasks {
		if t.wave == 0 && !t.held && t.phase != phaseOrdering && now.Sub(later(t.since, t.ordered)) > giveUpAfter {
			given = append(given, id)
			p.givenUp[id] = now
			delete(p.tasks, id)
		}
	}
	slices.Sort(given)
	return given
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
		t.phase, t.ordered = phaseAway, now
	case OutcomeRejected:
		p.finish(t)
	case OutcomeBusy:
		// Not up: it may be away already, or crashed. The next list tells.
		t.phase = phaseClearing
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
	if p.listed.IsZero() {
		return true
	}
	for _, t := range p.tasks {
		if !t.held {
			return true
		}
	}
	for _, w := range p.waves {
		if !p.completed(w) {
			return true
		}
	}
	return false
}
