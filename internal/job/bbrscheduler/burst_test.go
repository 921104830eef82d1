package bbrscheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// turn plays the beginning of a turn of demand on a pool that is given more
// upstreams as it asks for them, each some time after it was asked for.
type turn struct {
	*scene
	random *rand.Rand
	// foresees means that rises are asked for ahead.
	foresees  bool
	upstreams map[string]*turnUpstream
	// coming has when the upstreams that were asked for can work.
	coming []time.Time
	jobs   int
	began  map[string]time.Time
	// inTime counts the jobs that were completed within their objective.
	inTime int
}

// turnUpstream is an upstream of the turn.
type turnUpstream struct {
	running map[runKey]time.Time
	ended   int64
}

const (
	turnStep      = 20 * time.Millisecond
	turnWork      = 600 * time.Millisecond
	turnObjective = 1560 * time.Millisecond
	turnLength    = 6 * time.Second
	turnFill      = 0.75
	// turnComes is how long an upstream takes until it works.
	turnComes = 1800 * time.Millisecond
	turnRoom  = 4000
)

func newTurn(t *testing.T, seed uint64, foresees bool) *turn {
	w := &turn{scene: newScene(t, true), random: rand.New(rand.NewPCG(seed, 0)), foresees: foresees, upstreams: make(map[string]*turnUpstream), began: make(map[string]time.Time)}
	for range 6 {
		w.come()
	}
	return w
}

func (w *turn) come() {
	id := fmt.Sprintf("i-%03d", len(w.upstreams))
	w.upstreams[id] = &turnUpstream{running: make(map[runKey]time.Time)}
	w.register(id)
	w.list(id)
}

// play plays the turn and what is left of it, and returns the share of the jobs
// that were completed within their objective.
func (w *turn) play(rate func(at float64) float64) float64 {
	for at := time.Duration(0); at < turnLength+3*time.Second; at += turnStep {
		if at < turnLength && w.random.Float64() < rate(at.Seconds())*turnStep.Seconds() {
			w.submit()
		}
		w.work()
		w.ask()
		w.wait(turnStep - 2*time.Millisecond)
	}
	return float64(w.inTime) / float64(w.jobs)
}

func (w *turn) submit() {
	id := jobNumber(w.jobs)
	w.jobs++
	w.began[id] = w.now
	work := unitStep(6)
	work.Estimate = turnWork
	w.accept(id, work)
}

// work ends what is due, stores it, and starts what has room.
func (w *turn) work() {
	for id, up := range w.upstreams {
		var ends []bbrwork.RunEnd
		var running []bbrwork.Run
		for key, until := range up.running {
			if w.now.Before(until) {
				running = append(running, bbrwork.Run{Unit: key.unit, Number: key.number})
				continue
			}
			delete(up.running, key)
			up.ended++
			ends = append(ends, bbrwork.RunEnd{Sequence: up.ended, Unit: key.unit, Run: key.number, Outcome: bbrwork.OutcomeDone})
		}
		if len(ends) > 0 {
			w.ledger.ApplyListing(w.upstream(id).Incarnation, &bbrwork.Listing{Clock: w.now.Sub(w.start), StartMillis: 1000, Running: running, Ended: ends}, w.now, w.now)
		}
	}
	for _, write := range w.store() {
		if write.FinalState == bbrwork.Completed && w.now.Sub(w.began[write.Job.ID]) <= turnObjective {
			w.inTime++
		}
	}
	plan := w.plan()
	for _, order := range plan.Starts {
		w.upstreams[order.Upstream.ID].running[runKey{order.Start.Unit, order.Start.Run}] = w.now.Add(turnWork)
	}
	w.started(plan, nil)
}

// ask asks for as many upstreams as the demand wants.
func (w *turn) ask() {
	if !w.foresees {
		w.ledger.arrivals = nil
	}
	want := int(float64(w.ledger.Demand(w.now).MilliCPU)/(turnFill*turnRoom)) + 1
	for len(w.upstreams)+len(w.coming) < want {
		w.coming = append(w.coming, w.now.Add(turnComes))
	}
	w.coming = slices.DeleteFunc(w.coming, func(at time.Time) bool {
		if w.now.Before(at) {
			return false
		}
		w.come()
		return true
	})
}

// rising is a turn whose demand rises for all of its length.
func rising(at float64) float64 { return 2 + 25*at }

// TestTurnsAreServedInTime holds that of the jobs that callers lose to the
// beginning of a turn, a fifth or more are completed in time where the rise is
// foreseen, against asking for what has arrived only; and that a step of demand,
// which looks like a rise at first, asks for at most twice as many upstreams.
func TestTurnsAreServedInTime(t *testing.T) {
	const seeds = 10
	foreseen, followed := 0.0, 0.0
	more, usual := 0, 0
	for seed := range uint64(seeds) {
		foreseen += newTurn(t, seed, true).play(rising) / seeds
		followed += newTurn(t, seed, false).play(rising) / seeds
		step := func(float64) float64 { return 60 }
		ahead, behind := newTurn(t, seed, true), newTurn(t, seed, false)
		ahead.play(step)
		behind.play(step)
		more += len(ahead.upstreams)
		usual += len(behind.upstreams)
	}
	t.Logf("in time: %.3f foreseen, %.3f followed; upstreams for a step: %d, %d", foreseen, followed, more/seeds, usual/seeds)
	require.Less(t, 1-foreseen, 0.8*(1-followed))
	require.LessOrEqual(t, more, 2*usual)
}
