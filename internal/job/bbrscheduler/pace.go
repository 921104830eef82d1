package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
)

const (
	// fullPace is the pace of a run at its start, in percent.
	fullPace = 100
	// nearTarget is the share of the latency target above which best-effort work is
	// slowed down, and farFromTarget the share below which it is sped up again.
	nearTarget    = 0.85
	farFromTarget = 0.6
	// paceDivisor divides the pace when a tail latency nears its target, and its
	// double does when one exceeds it. paceStep is added when all tail latencies
	// are far below their targets.
	paceDivisor = 2
	paceStep    = 15
	// minPaceInterval is the minimum time between two paces of a run. Tail
	// latencies are measured over half a second.
	minPaceInterval = 600 * time.Millisecond
	// minPace is the pace below which best-effort work is paused: it would do
	// little more than occupy memory.
	minPace = 5
)

// planPaces slows down best-effort work beside a serving work unit that nears its
// latency target, and speeds it up again where all are far below.
func (p *planner) planPaces() {
	for _, up := range p.sched.sortedUpstreams() {
		worst, serving := up.worstTail()
		if !serving {
			worst = 0
		}
		for _, r := range up.runs {
			if r.unit.step.spec.BestEffort && r.phase == phaseRunning {
				p.planPace(r, worst)
			}
		}
	}
}

// worstTail returns the highest ratio of a tail latency to its target, and whether
// any serving work unit runs on the upstream.
func (up *upstream) worstTail() (worst float64, serving bool) {
	for _, r := range up.runs {
		target := r.unit.step.spec.LatencyTarget
		if target == 0 || r.phase != phaseRunning {
			continue
		}
		serving = true
		worst = max(worst, float64(r.tailLatency)/float64(target))
	}
	return worst, serving
}

func (p *planner) planPace(r *run, worst float64) {
	if p.now.Sub(r.pacedAt) < minPaceInterval {
		return
	}
	pace := nextPace(r.pace, worst)
	if pace == r.pace {
		return
	}
	r.pace, r.pacedAt = pace, p.now
	r.observePace(p.now)
	p.plan.Paces = append(p.plan.Paces, PaceOrder{Upstream: r.up.Upstream, Pace: bbrorder.Pace{
		Unit: r.unit.name(), Run: r.number, Percent: pace, Token: p.sched.tokenOf(r.up.ID),
	}})
}

func nextPace(pace int, worst float64) int {
	switch {
	case worst > 1:
		pace /= paceDivisor * 2
	case worst > nearTarget:
		pace /= paceDivisor
	case worst < farFromTarget:
		pace += paceStep
	}
	if pace < minPace {
		return 0
	}
	return min(pace, fullPace)
}

// ApplyPaceResult applies the answer to a pace order. An order that failed is sent
// again.
func (sched *Scheduler) ApplyPaceResult(order PaceOrder, err error, now time.Time) {
	up := sched.upstreams[order.Upstream.ID]
	if up == nil || err == nil {
		return
	}
	if r := up.runs[runKey{order.Pace.Unit, order.Pace.Run}]; r != nil {
		r.pace, r.pacedAt = unknownPace, time.Time{}
		r.observePace(now)
		sched.note(now, "Pace order failed", "unit", order.Pace.Unit.String(), "upstream", up.ID, "percent", order.Pace.Percent, "reason", err.Error())
	}
}

// unknownPace is the pace recorded for a run whose pace is not known. It is below
// fullPace, so that a plan orders a pace again as soon as the worst tail latency is
// above nearTarget or below farFromTarget.
const unknownPace = fullPace - 1
