package bbrscheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// player draws what happens next in a world.
type player struct {
	*rapid.T
	world *world
	// shapes draws all that a job can ask for; without it jobs are plain, and more
	// of the draws go to the failures.
	shapes bool
	jobs   int
	// answers are listings that are still on their way to their owners.
	answers []answer
}

// answer is a listing on its way.
type answer struct {
	owner   *simOwner
	life    bbrwork.Incarnation
	listing bbrwork.Listing
	sent    time.Time
}

// owner draws an owner that still runs; it may have lost its claim.
func (p *player) owner() *simOwner {
	var running []*simOwner
	for _, o := range p.world.owners {
		if !o.dead {
			running = append(running, o)
		}
	}
	if len(running) == 0 {
		return p.world.claim()
	}
	return rapid.SampledFrom(running).Draw(p.T, "owner")
}

func (p *player) upstream() *simUpstream {
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(p.world.upstreams))).Draw(p.T, "upstream")
	return p.world.upstreams[id]
}

// fate is what becomes of an order and its answer.
type fate int

const (
	fateAnswered fate = iota
	fateAnswerLost
	fateOrderLost
	fateLate
)

func (p *player) fate() fate {
	return rapid.SampledFrom([]fate{fateAnswered, fateAnswered, fateAnswered, fateAnswered, fateAnswerLost, fateOrderLost, fateLate}).Draw(p.T, "fate")
}

// send delivers an order by its fate and returns the error that the owner sees.
func (p *player) send(up *simUpstream, deliver func() error) error {
	if up == nil || up.cut || !up.up {
		return bbrorder.ErrAnswerLost
	}
	switch p.fate() {
	case fateAnswered:
		return deliver()
	case fateAnswerLost:
		_ = deliver()
	case fateLate:
		delay := time.Duration(rapid.IntRange(1, 120).Draw(p.T, "delay")) * 100 * time.Millisecond
		p.world.late = append(p.world.late, lateOrder{at: p.world.now.Add(delay), deliver: func() {
			if up.up {
				_ = deliver()
			}
		}})
	}
	return bbrorder.ErrAnswerLost
}

func (p *player) accept(*rapid.T) {
	p.jobs++
	id := fmt.Sprintf("%016x", p.jobs)
	steps := []bbrwork.Step{p.step()}
	if rapid.Bool().Draw(p.T, "two steps") {
		second := p.step()
		second.DependsOn = []int{0}
		steps = append(steps, second)
	}
	job := &bbrwork.Job{ID: id, Queue: "proofs", Service: "press", Spec: "x", Steps: steps, Accepted: p.world.now}
	if p.shapes && rapid.IntRange(0, 3).Draw(p.T, "advice") == 0 {
		job.Queue = "plates"
	}
	if p.shapes && rapid.IntRange(0, 3).Draw(p.T, "schedule") == 0 {
		due := time.Duration(rapid.IntRange(-10, 30).Draw(p.T, "due")) * 100 * time.Millisecond
		job.Schedule = bbrwork.Schedule{Count: 2, First: p.world.now.Add(due), Every: 500 * time.Millisecond}
	}
	// Other changes of the store take a horizon's lead or not.
	p.world.store.revision += bbrkv.Revision(rapid.SampledFrom([]int{1, horizonLead}).Draw(p.T, "changes"))
	p.world.store.stored[id] = p.world.store.revision
	p.world.store.jobs[id] = job
	for _, o := range p.world.owners {
		o.learn(id)
	}
}

// step draws what a step asks for. Each can run somewhere while all upstreams
// are up.
func (p *player) step() bbrwork.Step {
	step := unitStep(rapid.IntRange(1, 3).Draw(p.T, "units"))
	if !p.shapes {
		return step
	}
	step.Need.MilliCPU = rapid.SampledFrom([]int{1000, 1000, 2500}).Draw(p.T, "need")
	step.Label = rapid.SampledFrom([]string{"", "", "kind-0", "kind-1"}).Draw(p.T, "label")
	step.DataRack = rapid.SampledFrom([]string{"", "", "r-0", "r-1", "r-9"}).Draw(p.T, "rack")
	step.MaxPerUpstream = rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(p.T, "together")
	if rapid.IntRange(0, 3).Draw(p.T, "gang") == 0 {
		// A gang must fit as a whole.
		step = unitStep(2)
		step.Gang, step.SameRack = true, rapid.Bool().Draw(p.T, "same rack")
	}
	return step
}

// checkGangs notes gangs that are started in part, under different numbers or
// on more racks than need be.
func (p *player) checkGangs(starts []StartOrder) {
	type gang struct {
		step string
		run  int
	}
	members := make(map[gang]int)
	racks := make(map[gang]map[string]bool)
	shapes := make(map[gang]*bbrwork.Step)
	for _, order := range starts {
		name := order.Start.Unit
		g := gang{step: name.StepName(), run: order.Start.Run}
		if racks[g] == nil {
			racks[g] = make(map[string]bool)
		}
		members[g]++
		racks[g][order.Upstream.Rack()] = true
		shapes[g] = &p.world.store.jobs[name.Job].Steps[name.Step]
	}
	for g, shape := range shapes {
		if shape.Gang && members[g] != shape.Count {
			p.world.fault("GANG: %d of %d members of %s start as run %d", members[g], shape.Count, g.step, g.run)
		}
		if shape.SameRack && len(racks[g]) > 1 && len(p.world.upstreams) > 2 {
			p.world.fault("GANG: %s starts on %d racks", g.step, len(racks[g]))
		}
	}
}

// ask carries out the calls to the advice service.
func (p *player) ask(o *simOwner, asks []AdviceRequest) {
	for _, order := range asks {
		sent := p.world.now
		if p.fate() == fateAnswered {
			o.ledger.ApplyAdvice(order, p.world.advise(order), 0, nil, sent, p.world.now)
			continue
		}
		o.ledger.ApplyAdvice(order, nil, 0, bbrorder.ErrAnswerLost, sent, p.world.now)
	}
}

func (p *player) plan(*rapid.T) { p.planBy(p.owner()) }

func (p *player) planBy(o *simOwner) {
	p.register(o)
	plan := p.decide(o, o.confirmed())
	p.checkGangs(plan.Starts)
	p.ask(o, plan.AdviceRequests)
	for _, order := range plan.Starts {
		up := p.world.upstreams[order.Upstream.ID]
		length := time.Duration(rapid.IntRange(1, 40).Draw(p.T, "length")) * 100 * time.Millisecond
		how := rapid.SampledFrom([]bbrwork.RunOutcome{bbrwork.OutcomeDone, bbrwork.OutcomeDone, bbrwork.OutcomeDone, bbrwork.OutcomeFailed}).Draw(p.T, "how")
		err := p.send(up, func() error { return up.start(order, length, how) })
		clock := time.Duration(0)
		if up != nil && err == nil {
			clock = up.clock()
		}
		o.ledger.ApplyStartResult(order, clock, err, p.world.now)
	}
	for _, order := range plan.Stops {
		up := p.world.upstreams[order.Upstream.ID]
		o.ledger.ApplyStopResult(order, p.send(up, func() error { return up.stop(order) }), p.world.now)
	}
}

// decide plans, and notes where the reasons of waits do not agree with the plan:
// a step that comes next is not left waiting, and no other is started.
func (p *player) decide(o *simOwner, confirmed bool) Plan {
	now := p.world.now
	o.ledger.ExpireLeases(now)
	before := o.ledger.reasons(confirmed, now)
	plan := o.ledger.Plan(confirmed, now)
	for _, order := range plan.Starts {
		// Another work unit of the step may have no pause.
		if reason := before[order.Start.Unit.StepName()]; reason != ReasonComesNext && reason != ReasonAttemptPaused {
			p.world.fault("REASON: %s is started, and its step's reason was %q", order.Start.Unit, reason)
		}
	}
	for step, reason := range o.ledger.reasons(confirmed, now) {
		if confirmed && reason == ReasonComesNext {
			p.world.fault("REASON: %s comes next, and the plan left it out", step)
		}
	}
	return plan
}

// register tells the owner which upstreams the store lists.
func (p *player) register(o *simOwner) {
	for _, id := range slices.Sorted(maps.Keys(p.world.upstreams)) {
		up := p.world.upstreams[id]
		if up.up && !up.cut {
			o.ledger.RegisterUpstream(up.reg, p.world.now)
		} else {
			o.ledger.UnregisterUpstream(id, p.world.now)
		}
	}
}

func (p *player) hold(*rapid.T) { p.holdBy(p.owner(), p.upstream()) }

func (p *player) holdBy(o *simOwner, up *simUpstream) {
	plan, known := o.ledger.PlanRenewal(up.reg.ID, o.confirmed(), p.world.now)
	if !known {
		return
	}
	var listing bbrwork.Listing
	sent := p.world.now
	err := p.send(up, func() (err error) {
		listing, err = up.hold(plan.Upstream.Incarnation, bbrorder.Renewal{Until: plan.LeaseUntil, Token: o.token, Acknowledged: plan.Acknowledged})
		return err
	})
	if err != nil {
		o.ledger.ApplyRenewalFailure(plan.Upstream.Incarnation, err, p.world.now)
		return
	}
	p.world.advance(10 * time.Millisecond)
	o.ledger.ApplyListing(plan.Upstream.Incarnation, &listing, sent, p.world.now)
}

// holdSlowly renews at once, and leaves the answer on its way: orders that are
// sent meanwhile overtake it.
func (p *player) holdSlowly(*rapid.T) {
	o, up := p.owner(), p.upstream()
	plan, known := o.ledger.PlanRenewal(up.reg.ID, o.confirmed(), p.world.now)
	if !known || up.cut || !up.up {
		return
	}
	hold := bbrorder.Renewal{Until: plan.LeaseUntil, Token: o.token, Acknowledged: plan.Acknowledged}
	if listing, err := up.hold(plan.Upstream.Incarnation, hold); err == nil {
		p.answers = append(p.answers, answer{owner: o, life: plan.Upstream.Incarnation, listing: listing, sent: p.world.now})
	}
}

// answerArrives delivers any of the answers on their way.
func (p *player) answerArrives(*rapid.T) {
	if len(p.answers) == 0 {
		return
	}
	at := rapid.IntRange(0, len(p.answers)-1).Draw(p.T, "answer")
	a := p.answers[at]
	p.answers = slices.Delete(p.answers, at, at+1)
	p.world.advance(10 * time.Millisecond)
	if !a.owner.dead {
		a.owner.ledger.ApplyListing(a.life, &a.listing, a.sent, p.world.now)
	}
}

func (p *player) flush(*rapid.T) { p.owner().flush() }

func (p *player) wait(*rapid.T) {
	p.world.advance(time.Duration(rapid.IntRange(1, 60).Draw(p.T, "wait")) * 50 * time.Millisecond)
}

func (p *player) takeOver(*rapid.T) {
	p.world.advance(10 * time.Millisecond)
	p.world.claim()
}

func (p *player) kill(*rapid.T) {
	p.owner().dead = true
	p.world.claim()
}

func (p *player) cut(*rapid.T) {
	up := p.upstream()
	up.cut = !up.cut
}

// reboot ends a life; the next one begins at once under the same ID.
func (p *player) reboot(*rapid.T) {
	up := p.upstream()
	up.up = false
	p.world.advance(10 * time.Millisecond)
	p.world.boot(up.reg.ID, up.slow)
}

func (p *player) cancel(*rapid.T) {
	if p.jobs > 0 {
		p.owner().ledger.Cancel(fmt.Sprintf("%016x", rapid.IntRange(1, p.jobs).Draw(p.T, "job")), p.world.now)
	}
}

func (p *player) check(*rapid.T) { require.Empty(p.T, p.world.faults) }

// calm lets one owner work undisturbed.
func (p *player) calm() {
	p.world.late = nil
	for _, up := range p.world.upstreams {
		up.cut = false
	}
	o := p.world.claim()
	for _, earlier := range p.world.owners[:len(p.world.owners)-1] {
		earlier.dead = true
	}
	for round := 0; round < 600 && len(p.world.store.final) < len(p.world.store.jobs); round++ {
		p.calmRound(o)
	}
}

func (p *player) calmRound(o *simOwner) {
	w := p.world
	p.register(o)
	plan := p.decide(o, true)
	p.checkGangs(plan.Starts)
	for _, order := range plan.AdviceRequests {
		o.ledger.ApplyAdvice(order, w.advise(order), 0, nil, w.now, w.now)
	}
	for _, order := range plan.Starts {
		err := w.upstreams[order.Upstream.ID].start(order, 300*time.Millisecond, bbrwork.OutcomeDone)
		o.ledger.ApplyStartResult(order, w.upstreams[order.Upstream.ID].clock(), err, w.now)
	}
	for _, order := range plan.Stops {
		o.ledger.ApplyStopResult(order, w.upstreams[order.Upstream.ID].stop(order), w.now)
	}
	for _, id := range slices.Sorted(maps.Keys(w.upstreams)) {
		hold, known := o.ledger.PlanRenewal(id, true, w.now)
		if !known {
			continue
		}
		sent := w.now
		w.advance(10 * time.Millisecond)
		listing, err := w.upstreams[id].hold(hold.Upstream.Incarnation, bbrorder.Renewal{Until: hold.LeaseUntil, Token: o.token, Acknowledged: hold.Acknowledged})
		if err != nil {
			o.ledger.ApplyRenewalFailure(hold.Upstream.Incarnation, err, w.now)
			continue
		}
		o.ledger.ApplyListing(hold.Upstream.Incarnation, &listing, sent, w.now)
	}
	o.flush()
	w.advance(50 * time.Millisecond)
}

// TestPromisesUnderFailure lets owners take over, freeze and die, orders get
// lost, answered late or carried out late, upstreams restart and be cut off.
// No work unit runs twice, out of order or beyond its attempts, nothing is said
// to be completed that is not, and in calm weather every job ends.
func TestPromisesUnderFailure(t *testing.T) { playFailures(t, false) }

// TestShapesUnderFailure does the same with gangs, labels, racks, limits for an
// upstream, schedules and advice.
func TestShapesUnderFailure(t *testing.T) { playFailures(t, true) }

func playFailures(t *testing.T, shapes bool) {
	rapid.Check(t, func(t *rapid.T) {
		p := &player{T: t, world: newWorld("i-1", "i-2", "i-3"), shapes: shapes}
		p.world.claim()
		t.Repeat(map[string]func(*rapid.T){
			"accept":   p.accept,
			"plan":     p.plan,
			"planMore": p.plan,
			"hold":     p.hold,
			"holdMore": p.hold,
			"holdMost": p.hold,
			"holdSlow": p.holdSlowly,
			"answer":   p.answerArrives,
			"answerIt": p.answerArrives,
			"flush":    p.flush,
			"wait":     p.wait,
			"takeOver": p.takeOver,
			"kill":     p.kill,
			"cut":      p.cut,
			"reboot":   p.reboot,
			"cancel":   p.cancel,
			"":         p.check,
		})
		p.calm()
		require.Empty(t, p.world.faults)
		for id := range p.world.store.jobs {
			require.NotEmpty(t, p.world.store.final[id], "job %s never ended", id)
		}
	})
}
