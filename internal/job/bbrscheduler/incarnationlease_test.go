package bbrscheduler

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// sameIDScene is a simulation whose upstreams have been up for minutes, so that a deadline
// by the clock of an upstream is far beyond the clock of its next incarnation. Work runs on
// until its lease ends.
type sameIDScene struct {
	*testing.T
	sim *simulation
	o   *simOwner
}

func newSameIDScene(t *testing.T, ids ...string) *sameIDScene {
	s := &sameIDScene{T: t, sim: newSimulation(ids...)}
	for _, up := range s.sim.upstreams {
		up.bootedAt = up.bootedAt.Add(-3 * time.Minute)
	}
	s.o = s.sim.claim()
	s.register()
	s.renewAll()
	return s
}

// takeOver lets another owner take over, which reads all registrations.
func (s *sameIDScene) takeOver() {
	s.o.flush()
	s.sim.advance(10 * time.Millisecond)
	s.o = s.sim.claim()
	s.register()
}

func (s *sameIDScene) register() {
	for _, id := range slices.Sorted(maps.Keys(s.sim.upstreams)) {
		if up := s.sim.upstreams[id]; up.alive && !up.disconnected {
			s.o.sched.RegisterUpstream(up.registration, s.sim.now)
		} else {
			s.o.sched.UnregisterUpstream(id, s.sim.now)
		}
	}
}

// restart ends the incarnation and starts the next one, connected, after the upstream was down for
// the time.
func (s *sameIDScene) restart(id string, down time.Duration) {
	up := s.sim.upstreams[id]
	up.alive = false
	s.sim.advance(down)
	s.sim.boot(id, up.slowClock)
	s.sim.upstreams[id].connect(true)
}

func (s *sameIDScene) cut(id string) { s.sim.upstreams[id].disconnected = true }

// renewal is a renewal that was planned.
type renewal struct {
	RenewalPlan
	owner     *simOwner
	plannedAt time.Time
}

func (s *sameIDScene) planRenewal(id string) renewal {
	plan, known := s.o.sched.PlanRenewal(id, true, s.sim.now)
	require.True(s, known)
	return renewal{plan, s.o, s.sim.now}
}

// deliver lets the present incarnation carry out the renewal.
func (s *sameIDScene) deliver(r renewal) (bbrwork.Listing, error) {
	up := s.sim.upstreams[r.Upstream.ID]
	if up.disconnected || !up.alive {
		return bbrwork.Listing{}, bbrorder.ErrAnswerLost
	}
	return s.carryOut(r)
}

// carryOut lets the present incarnation carry out the renewal, also if nobody reaches it.
func (s *sameIDScene) carryOut(r renewal) (bbrwork.Listing, error) {
	up := s.sim.upstreams[r.Upstream.ID]
	return up.renew(r.Upstream.Incarnation, bbrorder.Renewal{Until: r.LeaseUntil, Token: r.Token, Acknowledged: r.Acknowledged})
}

// send delivers the renewal and its answer.
func (s *sameIDScene) send(r renewal) {
	listing, err := s.deliver(r)
	s.sim.advance(10 * time.Millisecond)
	if err != nil {
		r.owner.sched.ApplyRenewalFailure(r.Upstream.Incarnation, err, s.sim.now)
		return
	}
	r.owner.sched.ApplyListing(r.Upstream.Incarnation, &listing, r.plannedAt, s.sim.now)
	r.owner.sched.ConfirmLease(r.Upstream.Incarnation, r.LeaseUntil)
}

func (s *sameIDScene) renewAll() {
	for _, id := range s.o.sched.UpstreamIDs() {
		if plan, known := s.o.sched.PlanRenewal(id, true, s.sim.now); known && !plan.Idle {
			s.send(renewal{plan, s.o, s.sim.now})
		}
	}
}

// plan sends the starts and stops of a round, and returns the starts.
func (s *sameIDScene) plan() []StartOrder {
	plan := s.o.sched.Plan(true, s.sim.now)
	s.o.flush()
	for _, order := range plan.Stops {
		up := s.sim.upstreams[order.Upstream.ID]
		if up.disconnected || !up.alive {
			s.o.sched.ApplyStopResult(order, bbrorder.ErrAnswerLost, s.sim.now)
			continue
		}
		s.o.sched.ApplyStopResult(order, up.stop(order), s.sim.now)
	}
	for _, order := range plan.Starts {
		up := s.sim.upstreams[order.Upstream.ID]
		if up.disconnected || !up.alive {
			s.o.sched.ApplyStartResult(order, 0, bbrorder.ErrAnswerLost, s.sim.now)
			continue
		}
		err := up.start(order, time.Hour, bbrwork.OutcomeDone)
		s.o.sched.ApplyStartResult(order, up.clock(), err, s.sim.now)
	}
	return plan.Starts
}

// endRuns ends all runs on the upstream.
func (s *sameIDScene) endRuns(id string, outcome bbrwork.RunOutcome) {
	up := s.sim.upstreams[id]
	for _, run := range up.sorted() {
		up.end(run, outcome)
	}
}

// accept accepts a job whose only unit runs for an hour.
func (s *sameIDScene) accept(id string) { s.acceptStep(id, unitStep(1)) }

// acceptStep accepts a job of one step.
func (s *sameIDScene) acceptStep(id string, step bbrwork.Step) {
	s.sim.store.jobs[id] = &bbrwork.Job{ID: id, Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{step}, Accepted: s.sim.now}
	s.sim.store.revision++
	s.sim.store.jobRevisions[id] = s.sim.store.revision
	s.o.addJob(id)
}

// awaitStart plans until the unit starts, and returns the upstream.
func (s *sameIDScene) awaitStart() string {
	for range 100 {
		if starts := s.plan(); len(starts) > 0 {
			return starts[0].Upstream.ID
		}
		s.sim.advance(10 * time.Millisecond)
	}
	require.FailNow(s, "the unit does not start")
	return ""
}

// work lets the owner work for the time.
func (s *sameIDScene) work(length time.Duration) {
	for end := s.sim.now.Add(length); s.sim.now.Before(end); {
		s.renewAll()
		s.plan()
		s.sim.advance(50 * time.Millisecond)
	}
}

// requireStartElsewhereOnce lets the owner work until the unit, which ran on an upstream that
// is cut off, has started elsewhere, and checks that it never ran twice at once.
func (s *sameIDScene) requireStartElsewhereOnce() {
	s.requireStartElsewhereOnceWithin(2 * testTiming.MaxRunLease)
}

// requireStartElsewhereOnceWithin does the same for the time.
func (s *sameIDScene) requireStartElsewhereOnceWithin(limit time.Duration) {
	s.sim.boot("i-9", false)
	s.register()
	started := 0
	for end := s.sim.now.Add(limit); s.sim.now.Before(end); {
		s.renewAll()
		started += len(s.plan())
		s.sim.advance(50 * time.Millisecond)
	}
	require.Empty(s, s.sim.violations)
	require.Equal(s, 1, started)
}

// TestLeaseByEarlierClockKeepsLaterRuns guards against a unit that starts elsewhere while it
// runs on an upstream whose lease an order for its earlier incarnation has extended.
func TestLeaseByEarlierClockKeepsLaterRuns(t *testing.T) {
	tests := map[string]func(s *sameIDScene){
		"renewal before the first listing": func(s *sameIDScene) {
			r := s.planRenewal("i-1")
			require.NotZero(s, r.LeaseUntil)
			s.restart("i-1", 600*time.Millisecond)
			s.send(r)
			s.register()
		},
		"renewal without an answer, registration first": func(s *sameIDScene) {
			r := s.planRenewal("i-1")
			s.restart("i-1", 600*time.Millisecond)
			_, err := s.deliver(r)
			require.NoError(s, err)
			s.o.sched.ApplyRenewalFailure(r.Upstream.Incarnation, bbrorder.ErrAnswerLost, s.sim.now)
			s.register()
		},
		"renewal of a predecessor": func(s *sameIDScene) {
			r := s.planRenewal("i-1")
			s.restart("i-1", 600*time.Millisecond)
			s.takeOver()
			_, err := s.deliver(r)
			require.NoError(s, err)
		},
		"renewal of a predecessor that knew the restart": func(s *sameIDScene) {
			r := s.planRenewal("i-1")
			s.restart("i-1", 600*time.Millisecond)
			s.o.sched.ApplyRenewalFailure(r.Upstream.Incarnation, bbrorder.ErrAnswerLost, s.sim.now)
			_, err := s.deliver(r)
			require.NoError(s, err)
			s.register()
			s.renewAll()
			s.register()
			require.Empty(s, s.plan(), "the incarnation is recorded first")
			s.takeOver()
		},
		"renewal after the registration ended": func(s *sameIDScene) {
			r := s.planRenewal("i-1")
			s.sim.upstreams["i-1"].alive = false
			s.o.sched.ApplyRenewalFailure(r.Upstream.Incarnation, bbrorder.ErrAnswerLost, s.sim.now)
			s.register()
			s.o.sched.EndIncarnation(r.Upstream.Incarnation, "the platform lists it no more", s.sim.now)
			s.restart("i-1", 600*time.Millisecond)
			_, err := s.deliver(r)
			require.NoError(s, err)
			s.register()
		},
	}
	for name, restart := range tests {
		for _, renewed := range []time.Duration{0, 250 * time.Millisecond, time.Second} {
			t.Run(name+", renewed for "+renewed.String(), func(t *testing.T) {
				s := newSameIDScene(t, "i-1")
				s.accept(testJob)
				s.awaitStart()
				s.work(time.Second)
				restart(s)
				s.renewAll()
				s.awaitStart()
				s.work(renewed)
				s.cut("i-1")
				s.requireStartElsewhereOnce()
			})
		}
	}
}
