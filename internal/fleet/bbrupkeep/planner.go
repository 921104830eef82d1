package bbrupkeep

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

// Planner decides which instances to take away next. Its methods are called by
// one goroutine.
type Planner struct {
	// Away is how long an instance is away for its maintenance.
	Away time.Duration

	waves     map[int64]*wave
	instances map[string]bbrmachine.Instance
	// standing has, by instance, since when its life and status are as listed.
	standing map[string]standing
	// listed is when the list of instances was asked for.
	listed time.Time
	tasks  map[string]*task
	// retired has the lives that were taken away, with when: the store may list
	// them a while longer.
	retired map[string]time.Time
	balance balance
	// spare is the pool whose instances are off; empty for none.
	spare string
	// short means that a pool wants more instances than there are.
	short bool
}

// standing is an instance's life and status with since when they are listed.
type standing struct {
	life   string
	status bbrmachine.Status
	since  time.Time
}

// wave is the state of a wave.
type wave struct {
	bbrmachine.Wave
	// began is when the wave was first seen.
	began time.Time
	done  map[string]bool
	// completed stays once it is true.
	completed bool
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
		Away:      away,
		waves:     make(map[int64]*wave),
		instances: make(map[string]bbrmachine.Instance),
		tasks:     make(map[string]*task),
		retired:   make(map[string]time.Time),
	}
}

// Wave tells the planner of a wave, with the instances that had their
// maintenance under an earlier holder and when the wave was first seen.
func (p *Planner) Wave(in bbrmachine.Wave, done []string, began time.Time) {
	if p.waves[in.Number] != nil {
		return
	}
	w := &wave{Wave: in, began: began, done: make(map[string]bool)}
	for _, instance := range done {
		w.done[instance] = true
	}
	p.waves[in.Number] = w
}

// Knows tells whether the wave is known.
func (p *Planner) Knows(number int64) bool { return p.waves[number] != nil }

// Listed tells the planner of a list of instances that was asked for at sent.
func (p *Planner) Listed(list []bbrmachine.Instance, sent time.Time) {
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
	back := instance.Upstream != t.life || p.listed.Sub(t.ordered) > 2*p.Away+lifeSlack
	if instance.Status == bbrmachine.StatusUp && back {
		p.finish(t)
	}
}

// lifeSlack is how long after twice its time away an instance that is up in its
// old life counts as done: the order had been carried out before.
const lifeSlack = time.Second

func (p *Planner) finish(t *task) {
	if w := p.waves[t.wave]; w != nil {
		w.done[t.instance] = true
	}
	if t.life != "" && t.phase == phaseAway {
		p.retired[t.life] = p.listed
	}
	delete(p.tasks, t.instance)
}

// retiredFor is above the time for which the store lists a silent upstream.
const retiredFor = 8 * time.Second

// Round decides what to do now. cleared tells whether nothing runs on an
// upstream that is reserved.
func (p *Planner) Round(cleared func(instance bbrmachine.Instance) bool, now time.Time) []Order {
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
	if t.phase == phaseAway {
		return Order{}, false
	}
	if t.phase == phaseClearing {
		t.life = instance.Upstream
		if instance.Status != bbrmachine.StatusUp || !cleared(instance) || p.atCap(t) {
			return Order{}, false
		}
		t.phase, t.since = phaseOrdering, now
	}
	return Order{Instance: t.instance, Wave: t.wave, Pool: t.pool}, true
}

// atCap tells whether as many instances of the task's wave are away as may be.
func (p *Planner) atCap(t *task) bool {
	w := p.waves[t.wave]
	return w != nil && p.away(w) >= w.Cap
}

// away counts the instances of a wave that are or may be away for it.
func (p *Planner) away(w *wave) int {
	count := 0
	for _, id := range w.Instances {
		t := p.tasks[id]
		ordered := t != nil && t.wave == w.Number && t.phase != phaseClearing
		if ordered || p.instances[id].Status == bbrmachine.StatusMaintained {
			count++
		}
	}
	return count
}

const (
	// paceShare is the share of a wave's time in which it should be done.
	paceShare = 0.7
	// clearing is how long taking the work off an instance usually takes.
	clearing = 2500 * time.Millisecond
)

// begin starts as many tasks of the wave as its deadline asks for. Spare
// instances, on which nothing runs, go as early as the cap allows.
func (p *Planner) begin(w *wave, now time.Time) {
	left := p.left(w)
	busy := 0
	for _, t := range p.tasks {
		if t.wave == w.Number {
			busy++
		}
	}
	want := p.wanted(w, len(left)+busy, now)
	for busy < 2*w.Cap && len(left) > 0 {
		next := p.pick(left)
		if busy >= want && (p.instances[next].Pool != p.spare || busy >= w.Cap) {
			return
		}
		busy++
		left = slices.DeleteFunc(left, func(id string) bool { return id == next })
		p.tasks[next] = &task{instance: next, wave: w.Number, life: p.instances[next].Upstream, since: now}
	}
}

// left returns the wave's instances that still need a task and are there.
func (p *Planner) left(w *wave) []string {
	var left []string
	for _, id := range w.Instances {
		instance, listed := p.instances[id]
		if !w.done[id] && p.tasks[id] == nil && listed && instance.Status == bbrmachine.StatusUp {
			left = append(left, id)
		}
	}
	return left
}

// wanted returns how many instances should be in work at once.
func (p *Planner) wanted(w *wave, open int, now time.Time) int {
	if p.short && p.canWait(w, open, now) {
		return 0
	}
	cycle := clearing + p.Away
	rest := time.Duration(paceShare*float64(w.Within)) - now.Sub(w.began)
	if rest < cycle {
		return 2 * w.Cap
	}
	need := int((time.Duration(open)*cycle + rest - 1) / rest)
	return min(max(1, need), 2*w.Cap)
}

const (
	// lateShare is the share of a wave's time in which it is done also where it
	// was put off.
	lateShare = 0.8
	// orderLag is what an instance's time away grows by until the next one is
	// ordered.
	orderLag = time.Second
	// waitMargin is how much more time than computed is left to a wave that is
	// put off.
	waitMargin = 1.5
)

// canWait tells whether the wave would be done in time if it began later, with
// as many instances away at once as it may have.
func (p *Planner) canWait(w *wave, open int, now time.Time) bool {
	rounds := (open + w.Cap - 1) / max(1, w.Cap)
	need := clearing + time.Duration(rounds)*(p.Away+orderLag)
	left := time.Duration(lateShare*float64(w.Within)) - now.Sub(w.began)
	return time.Duration(waitMargin*float64(need)) < left
}

// pick returns an instance of the spare pool, or else one whose pool has the
// smallest share in work.
func (p *Planner) pick(left []string) string {
	size, busy := make(map[string]int), make(map[string]int)
	for id, instance := range p.instances {
		size[instance.Pool]++
		if p.tasks[id] != nil || instance.Status != bbrmachine.StatusUp {
			busy[instance.Pool]++
		}
	}
	share := func(id string) float64 {
		pool := p.instances[id].Pool
		if pool == p.spare {
			return -1
		}
		return float64(busy[pool]) / float64(max(1, size[pool]))
	}
	return slices.MinFunc(left, func(a, b string) int {
		return cmp.Or(cmp.Compare(share(a), share(b)), cmp.Compare(a, b))
	})
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

// giveUp ends moves whose instance is not cleared or does not come up. Waves go
// on: they have to be done.
func (p *Planner) giveUp(now time.Time) []string {
	var given []string
	for id, t := range p.tasks {
		if t.wave == 0 && t.phase != phaseOrdering && now.Sub(later(t.since, t.ordered)) > giveUpAfter {
			given = append(given, id)
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

// Answered applies the answer to an order.
func (p *Planner) Answered(order Order, outcome Outcome, now time.Time) {
	t := p.tasks[order.Instance]
	if t == nil {
		return
	}
	switch outcome {
	case OutcomeDone:
		t.phase, t.ordered = phaseAway, now
	case OutcomeNever:
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
	OutcomeOpen Outcome = iota
	OutcomeDone
	// OutcomeBusy: nothing was done now.
	OutcomeBusy
	// OutcomeNever: the order makes no sense any more.
	OutcomeNever
)

// Progress is the stored state of a wave.
type Progress struct {
	Wave  int64
	Done  []string
	Began time.Time
	// Completed means that every instance that stays had its maintenance and is
	// up again.
	Completed bool
}

// Progress returns the state of all waves in order.
func (p *Planner) Progress() []Progress {
	var list []Progress
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		w := p.waves[number]
		list = append(list, Progress{
			Wave:      number,
			Done:      slices.Sorted(maps.Keys(w.done)),
			Began:     w.began,
			Completed: p.completed(w),
		})
	}
	return list
}

// completed tells whether the wave is done. Instances that have had their
// maintenance may be moved meanwhile.
func (p *Planner) completed(w *wave) bool {
	if w.completed || p.listed.IsZero() {
		return w.completed
	}
	for _, id := range w.Instances {
		t := p.tasks[id]
		if _, listed := p.instances[id]; listed && !w.done[id] || t != nil && t.wave == w.Number {
			return false
		}
	}
	w.completed = true
	return true
}

// Busy tells whether a wave or a task is open.
func (p *Planner) Busy() bool {
	if p.listed.IsZero() {
		return true
	}
	if len(p.tasks) > 0 {
		return true
	}
	for _, w := range p.waves {
		if !p.completed(w) {
			return true
		}
	}
	return false
}
