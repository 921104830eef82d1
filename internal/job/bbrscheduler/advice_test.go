package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// newAdvisedScene returns a scene whose queue needs tickets, which are valid for a
// minute.
func newAdvisedScene(t *testing.T, upstreams ...string) *scene {
	s := newScene(t, true, upstreams...)
	s.sched.SetConfig(bbrwork.NewConfig(1, []*bbrwork.Queue{
		{Name: "proofs", Service: "press", Attempts: 3, Stretch: 1.6, Objective: 600 * time.Millisecond, Advice: &bbrwork.Advice{TicketTTL: time.Minute}},
	}, nil, bbrwork.Limits{}))
	return s
}

// startWithAdvice plans for a while, answers advice requests by the policy, and
// returns how many work units were started.
func (s *scene) startWithAdvice(length time.Duration, allows func(id string) bool) int {
	count := 0
	for end := s.now.Add(length); s.now.Before(end); s.advance(50 * time.Millisecond) {
		plan := s.sched.Plan(true, s.now)
		s.store()
		s.answerStarts(plan, nil)
		count += len(plan.Starts)
		for _, request := range plan.AdviceRequests {
			tickets := make(map[string]string)
			for _, incarnation := range request.Incarnations {
				if allows(incarnation.ID) {
					tickets[incarnation.ID] = "yes"
				}
			}
			s.sched.ApplyAdvice(request, tickets, 0, nil, s.now, s.now)
		}
	}
	return count
}

// TestSpreadStepRequestsAdviceForMoreUpstreams guards against a spread step that
// waits forever once it has used all upstreams of its first advice request.
func TestSpreadStepRequestsAdviceForMoreUpstreams(t *testing.T) {
	var ids []string
	for i := range upstreamsPerRequest + 10 {
		ids = append(ids, "i-"+jobID(i)[12:])
	}
	s := newAdvisedScene(t, ids...)
	spread := unitStep(6)
	spread.LongRunning, spread.MaxPerUpstream = true, 1
	s.accept(testJob, spread)
	mayRun := map[string]bool{ids[3]: true, ids[9]: true, ids[upstreamsPerRequest+1]: true, ids[upstreamsPerRequest+3]: true, ids[upstreamsPerRequest+5]: true, ids[upstreamsPerRequest+7]: true}
	require.Equal(t, 6, s.startWithAdvice(20*time.Second, func(id string) bool { return mayRun[id] }))
}

// TestRefusedWorkRequestsExclusiveUpstream guards against work that the advice
// service refuses on all upstreams and that requests no others.
func TestRefusedWorkRequestsExclusiveUpstream(t *testing.T) {
	s := newAdvisedScene(t, "i-1", "i-2")
	s.accept(testJob, unitStep(1))
	require.Zero(t, s.startWithAdvice(5*time.Second, func(string) bool { return false }))
	require.NotZero(t, s.sched.Demand(s.now).Exclusive)
}

// TestTrialGetsATicket guards against a suspect that is never tried alone, and so is never given up,
// since the advice service is not asked about the upstream that is reserved for it.
func TestTrialGetsATicket(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2", "i-3")
	s.sched.SetConfig(bbrwork.NewConfig(2, testQueues, nil, bbrwork.Limits{}))
	s.plan()
	s.sched.AddJob(&bbrwork.Job{ID: testJob, Queue: "plates", Service: "press", Spec: "x", Steps: []bbrwork.Step{unitStep(1)}, Accepted: s.now}, 0, nil, s.now)
	u := s.isolate()
	for limit := s.now.Add(maxTrialReservation); s.now.Before(limit); s.advance(50 * time.Millisecond) {
		plan := s.sched.Plan(true, s.now)
		if len(plan.Starts) > 0 {
			require.Equal(t, u, s.sched.upstreams[plan.Starts[0].Upstream.ID].trialUnit, "it starts on the upstream that is reserved for it")
			return
		}
		for _, request := range plan.AdviceRequests {
			tickets := make(map[string]string)
			for _, id := range request.Upstreams() {
				tickets[id] = "t"
			}
			s.sched.ApplyAdvice(request, tickets, ticketTTL, nil, s.now, s.now)
		}
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			s.list(id)
		}
		s.store()
	}
	require.Fail(t, "the suspect was not tried")
}
