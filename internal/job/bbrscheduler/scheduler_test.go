package bbrscheduler

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const testJob = "00000000000000a1"

var testTiming = Timing{
	RunLease:         4500 * time.Millisecond,
	MaxRunLease:      6 * time.Second,
	StartTimeout:     1500 * time.Millisecond,
	Handover:         2200 * time.Millisecond,
	StopTimeout:      900 * time.Millisecond,
	RecoveryTime:     4500 * time.Millisecond,
	RemoteDataFactor: 3,
}

// scene is a Scheduler with a clock, and upstreams that answer as the test says.
type scene struct {
	*testing.T
	sched *Scheduler
	now   time.Time
	// start is when the scene began; the upstreams' clocks count from it.
	start time.Time
}

func newScene(t *testing.T, fresh bool, upstreams ...string) *scene {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	s := &scene{T: t, sched: New(bbrwork.Shard{Service: "press"}, 7, testTiming, fresh, start), now: start, start: start}
	s.sched.SetConfig(bbrwork.NewConfig(1, []*bbrwork.Queue{
		{Name: "proofs", Service: "press", Attempts: 3, Stretch: 1.6, Objective: 600 * time.Millisecond},
	}, nil, bbrwork.Limits{}))
	for _, id := range upstreams {
		s.register(id)
		s.list(id)
	}
	return s
}

func (s *scene) upstream(id string) bbrwork.Upstream {
	return bbrwork.Upstream{
		Incarnation: bbrwork.Incarnation{ID: id, StartMillis: 1000},
		Service:     "press",
		Address:     netip.MustParseAddrPort("10.0.0.1:80"),
		Capacity:    bbrwork.Resources{MilliCPU: 4000, MemoryMB: 8000},
		Labels:      []string{"a", "rack-1"},
	}
}

func (s *scene) register(id string) { s.sched.RegisterUpstream(s.upstream(id), s.now) }

func (s *scene) advance(d time.Duration) { s.now = s.now.Add(d) }

// list delivers a listing that was requested just now.
func (s *scene) list(id string, ends ...bbrwork.RunEnd) {
	s.listRunning(id, nil, ends...)
}

func (s *scene) listRunning(id string, running []bbrwork.Run, ends ...bbrwork.RunEnd) {
	listing := bbrwork.Listing{Clock: s.now.Sub(s.start), StartMillis: 1000, Running: running, Ended: ends}
	sent := s.now
	s.advance(time.Millisecond)
	s.sched.ApplyListing(s.upstream(id).Incarnation, &listing, sent, s.now)
}

func (s *scene) accept(id string, steps ...bbrwork.Step) {
	s.sched.AddJob(&bbrwork.Job{ID: id, Queue: "proofs", Service: "press", Spec: "x", Steps: steps, Accepted: s.now}, 0, nil, s.now)
}

// plan plans, and plans again after storing the upstreams and the starts that the plans before
// request if these had no starts.
func (s *scene) plan() Plan {
	s.advance(time.Millisecond)
	plan := s.sched.Plan(true, s.now)
	for round := 0; len(plan.Starts) == 0 && round < 2; round++ {
		s.store()
		next := s.sched.Plan(true, s.now)
		next.Stops = append(plan.Stops, next.Stops...)
		next.AdviceRequests = append(plan.AdviceRequests, next.AdviceRequests...)
		plan = next
	}
	return plan
}

// store stores everything that has to be stored, and returns the writes.
func (s *scene) store() []Write {
	batch := s.sched.Batch(1000, s.now)
	s.sched.ApplyStored(batch, 1, s.now)
	return batch.Writes
}

// answerStarts answers all starts.
func (s *scene) answerStarts(plan Plan, err error) {
	s.advance(time.Millisecond)
	for _, order := range plan.Starts {
		s.sched.ApplyStartResult(order, s.now.Sub(s.start), err, s.now)
	}
}

func unitStep(count int) bbrwork.Step {
	return bbrwork.Step{Count: count, Need: bbrwork.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second}
}

func unitName(index int) bbrwork.Unit { return bbrwork.Unit{Job: testJob, Index: index} }

func TestCompletedJobIsNotStartedAgain(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.accept(testJob, unitStep(1))
	plan := s.plan()
	require.Len(t, plan.Starts, 1)
	s.answerStarts(plan, nil)
	s.list("i-1", bbrwork.RunEnd{Sequence: 1, Unit: unitName(0), Run: 1, Outcome: bbrwork.OutcomeDone})
	writes := s.store()
	require.Len(t, writes, 1)
	require.Equal(t, bbrwork.Completed, writes[0].FinalState)
	// A list of jobs that was read before the end was stored arrives late.
	s.accept(testJob, unitStep(1))
	require.Empty(t, s.plan().Starts)
}

func TestLeaseOfSilentUpstreamIsNotExtended(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2")
	s.accept(testJob, unitStep(1))
	plan := s.plan()
	require.Len(t, plan.Starts, 1)
	s.answerStarts(plan, nil)
	silent := plan.Starts[0].Upstream.ID
	limit := s.now.Add(2 * leaseBound(testTiming.RunLease))
	for s.now.Before(limit) {
		_, known := s.sched.PlanRenewal(silent, true, s.now)
		require.True(t, known)
		s.advance(300 * time.Millisecond)
		s.sched.ApplyRenewalFailure(s.upstream(silent).Incarnation, bbrorder.ErrAnswerLost, s.now)
		if next := s.plan(); len(next.Starts) > 0 {
			require.NotEqual(t, silent, next.Starts[0].Upstream.ID)
			require.Equal(t, 2, next.Starts[0].Start.Run)
			return
		}
	}
	require.Fail(t, "the work unit was never started elsewhere")
}

func TestLateRegistrationDoesNotDelayDrained(t *testing.T) {
	s := newScene(t, false)
	loadAll(s.sched, []bbrwork.Upstream{s.upstream("i-gone")}, 0, s.now)
	s.register("i-1")
	s.list("i-1")
	s.sched.SetReserved(map[string]bool{"i-1": true}, s.now)
	require.Empty(t, s.sched.Drained(s.now), "work of the earlier owner may be on i-gone and restart here")
	s.advance(s.sched.earlierLeasesEnd.Sub(s.now) + time.Millisecond)
	s.plan()
	s.register("i-2")
	require.Equal(t, []string{"i-1"}, s.sched.Drained(s.now))
}

func TestGoneIncarnationIsNoLongerRecorded(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2")
	s.accept(testJob, unitStep(1))
	s.plan()
	require.Nil(t, s.sched.upstreamsToRecord())
	s.sched.UnregisterUpstream("i-2", s.now)
	recorded := s.sched.upstreamsToRecord()
	require.Len(t, recorded, 1)
	require.Equal(t, "i-1", recorded[0].ID)
}

func TestOverdueWorkCountsAsDemand(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.accept(testJob, unitStep(100))
	s.advance(time.Minute)
	require.Greater(t, s.sched.Demand(s.now).MilliCPU, 0)
}

func TestReturningUpstreamTakesWorkAgain(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.accept(testJob, unitStep(1))
	plan := s.plan()
	require.Len(t, plan.Starts, 1)
	s.answerStarts(plan, nil)
	s.sched.UnregisterUpstream("i-1", s.now)
	s.sched.ApplyRenewalFailure(s.upstream("i-1").Incarnation, bbrorder.ErrAnswerLost, s.now)
	s.advance(2 * leaseBound(testTiming.RunLease))
	require.Empty(t, s.plan().Starts)
	s.register("i-1")
	// The work failed before the lease expired, but the end no longer counts.
	s.list("i-1", bbrwork.RunEnd{Sequence: 1, Unit: unitName(0), Run: 1, Outcome: bbrwork.OutcomeFailed})
	plan = s.plan()
	require.Len(t, plan.Starts, 1)
	require.Equal(t, 2, plan.Starts[0].Start.Run)
	require.Zero(t, s.sched.jobs[testJob].findUnit(unitName(0)).failureCount())
}

// TestLateOwnerQueriesUpstreamBeforeRestart checks that an owner that was suspended
// until a lease had expired queries the upstream, which answers how the runs ended.
func TestLateOwnerQueriesUpstreamBeforeRestart(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2")
	s.accept(testJob, unitStep(1))
	plan := s.plan()
	require.Len(t, plan.Starts, 1)
	s.answerStarts(plan, nil)
	s.advance(2 * leaseBound(testTiming.RunLease))
	require.Empty(t, s.plan().Starts)
	s.list(plan.Starts[0].Upstream.ID, bbrwork.RunEnd{Sequence: 1, Unit: unitName(0), Run: 1, Outcome: bbrwork.OutcomeDone})
	require.Empty(t, s.plan().Starts)
	s.store()
	state, _ := s.sched.State(testJob)
	require.Equal(t, bbrwork.Completed, state)
}

// TestWorkOnSilentUpstreamRestartsOnlyAfterLease checks that work on a silent
// upstream, whose clock may be slow, starts elsewhere only after its lease has
// certainly ended.
func TestWorkOnSilentUpstreamRestartsOnlyAfterLease(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2")
	s.accept(testJob, unitStep(1))
	plan := s.plan()
	require.Len(t, plan.Starts, 1)
	s.answerStarts(plan, nil)
	first := plan.Starts[0].Upstream.ID
	renewal, known := s.sched.PlanRenewal(first, true, s.now)
	require.True(t, known)
	require.NotZero(t, renewal.LeaseUntil)
	for range maxLostAnswers {
		s.sched.ApplyRenewalFailure(s.upstream(first).Incarnation, bbrorder.ErrAnswerLost, s.now)
	}
	s.advance(testTiming.RunLease * 102 / 100)
	require.Empty(t, s.plan().Starts)
	s.advance(time.Second)
	starts := s.plan().Starts
	require.Len(t, starts, 1)
	require.NotEqual(t, first, starts[0].Upstream.ID)
}

// TestNothingStartsBesideOrphan checks that a successor starts nothing on an
// upstream that still lists work of an ended job, since the resources of that work
// are not known. The work is stopped until it is no longer listed.
func TestNothingStartsBesideOrphan(t *testing.T) {
	s := newScene(t, true, "i-1")
	orphaned := bbrwork.Run{Unit: bbrwork.Unit{Job: "00000000000000ff"}, Number: 1}
	s.listRunning("i-1", []bbrwork.Run{orphaned})
	s.accept(testJob, unitStep(1))
	plan := s.plan()
	require.Empty(t, plan.Starts)
	s.advance(orphanGrace)
	require.Len(t, s.plan().Stops, 1)
	require.Empty(t, s.plan().Stops, "one stop is in flight")
	s.advance(stopRetryInterval)
	s.listRunning("i-1", []bbrwork.Run{orphaned})
	plan = s.plan()
	require.Empty(t, plan.Starts)
	require.Len(t, plan.Stops, 1, "an earlier stop had no effect")
	renewal, _ := s.sched.PlanRenewal("i-1", true, s.now)
	require.False(t, renewal.Idle)
	require.Zero(t, renewal.LeaseUntil, "its lease is not renewed")
	s.list("i-1")
	require.Len(t, s.plan().Starts, 1)
}

// TestUnlocatedIncarnationStaysRecorded checks that a successor that has had no
// answer from an incarnation keeps it recorded for its own successor: work of the
// first owner may run there.
func TestUnlocatedIncarnationStaysRecorded(t *testing.T) {
	s := newScene(t, false)
	loadAll(s.sched, []bbrwork.Upstream{s.upstream("i-silent")}, 0, s.now)
	s.register("i-silent")
	s.register("i-1")
	s.list("i-1")
	s.accept(testJob, unitStep(1))
	s.sched.Plan(true, s.now)
	batch := s.sched.Batch(1000, s.now)
	recorded := make([]string, 0, len(batch.Recorded))
	for _, up := range batch.Recorded {
		recorded = append(recorded, up.ID)
	}
	require.Equal(t, []string{"i-1", "i-silent"}, recorded)
}

func TestUnregisteredIncarnationOfEarlierOwnerIsQueried(t *testing.T) {
	s := newScene(t, false)
	loadAll(s.sched, []bbrwork.Upstream{s.upstream("i-old")}, 0, s.now)
	plan, known := s.sched.PlanRenewal("i-old", true, s.now)
	require.True(t, known)
	require.False(t, plan.Idle)
	s.sched.ApplyRenewalFailure(s.upstream("i-old").Incarnation, bbrorder.ErrAnswerLost, s.now)
	require.Equal(t, []bbrwork.Incarnation{s.upstream("i-old").Incarnation}, s.sched.Unverified(s.now))
	s.sched.EndIncarnation(s.upstream("i-old").Incarnation, "the platform lists it no more", s.now)
	require.True(t, s.sched.EarlierWorkLocated(s.now))
}

// newSuccessor returns the scene of a successor that knows the stored job and the
// incarnations that the earlier owner recorded.
func newSuccessor(t *testing.T, progress []byte, recorded ...string) *scene {
	s := newScene(t, false)
	s.sched.AddJob(&bbrwork.Job{ID: testJob, Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{unitStep(1)}, Accepted: s.now}, 0, progress, s.now)
	var upstreams []bbrwork.Upstream
	for _, id := range recorded {
		upstreams = append(upstreams, s.upstream(id))
	}
	loadAll(s.sched, upstreams, 0, s.now)
	return s
}

func TestSuccessorWaitsForUnlocatedWork(t *testing.T) {
	s := newSuccessor(t, nil, "i-1", "i-2")
	s.register("i-2")
	s.list("i-2")
	require.Empty(t, s.plan().Starts, "the work unit may be running on i-1")
	s.advance(s.sched.earlierLeasesEnd.Sub(s.now) - 10*time.Millisecond)
	s.list("i-2")
	require.Empty(t, s.plan().Starts, "a lease of the earlier owner may still last")
	s.advance(20 * time.Millisecond)
	require.Len(t, s.plan().Starts, 1)
}

// TestSuccessorOutwaitsLastLeaseOfReplacedOwner checks that work starts elsewhere
// only after the last lease of a replaced owner has ended. That owner may renew a
// lease until it learns that its claim is lost, on an upstream that only it
// reaches.
func TestSuccessorOutwaitsLastLeaseOfReplacedOwner(t *testing.T) {
	s := newSuccessor(t, nil, "i-1", "i-2")
	s.register("i-2")
	const slowClock = 1.02
	lastRenewal := s.now.Add(testTiming.Handover)
	leaseEnds := lastRenewal.Add(time.Duration(slowClock * float64(testTiming.RunLease)))
	for s.now.Before(leaseEnds) {
		s.list("i-2")
		require.Empty(t, s.plan().Starts, "%v before the earlier owner's last lease ends", leaseEnds.Sub(s.now))
		s.advance(50 * time.Millisecond)
	}
}

func TestSuccessorStartsAtOnceWhenAllWorkIsLocated(t *testing.T) {
	s := newSuccessor(t, nil, "i-1")
	s.register("i-1")
	s.list("i-1")
	plan := s.plan()
	require.Len(t, plan.Starts, 1)
	require.Greater(t, plan.Starts[0].Start.Run, runNumberGap)
}

func TestSuccessorCountsEarlierFailures(t *testing.T) {
	first := newScene(t, true, "i-1")
	first.accept(testJob, unitStep(1))
	first.answerStarts(first.plan(), nil)
	first.list("i-1", bbrwork.RunEnd{Sequence: 1, Unit: unitName(0), Run: 1, Outcome: bbrwork.OutcomeFailed})
	writes := first.store()
	require.Len(t, writes, 1)
	s := newSuccessor(t, writes[0].Progress, "i-1")
	s.register("i-1")
	for attempt := int64(2); attempt <= 3; attempt++ {
		s.advance(time.Second)
		s.list("i-1")
		plan := s.plan()
		require.Len(t, plan.Starts, 1, "attempt %d", attempt)
		s.answerStarts(plan, nil)
		s.list("i-1", bbrwork.RunEnd{Sequence: attempt, Unit: unitName(0), Run: plan.Starts[0].Start.Run, Outcome: bbrwork.OutcomeFailed})
	}
	require.Equal(t, bbrwork.Failed, s.store()[0].FinalState)
}

func TestSuccessorWaitsForEarlierStopsBeforeEvacuation(t *testing.T) {
	longRunning := unitStep(2)
	longRunning.LongRunning, longRunning.MaxUnavailable, longRunning.MaxPerUpstream = true, 1, 1
	s := newScene(t, false)
	s.sched.AddJob(&bbrwork.Job{ID: testJob, Queue: "proofs", Service: "press", Spec: "x", Steps: []bbrwork.Step{longRunning}, Accepted: s.now}, 0, nil, s.now)
	loadAll(s.sched, []bbrwork.Upstream{s.upstream("i-1"), s.upstream("i-2")}, 0, s.now)
	// The earlier owner may already be stopping the unit on i-2.
	for index, id := range []string{"i-1", "i-2"} {
		s.register(id)
		s.listRunning(id, []bbrwork.Run{{Unit: unitName(index), Number: 1, Percent: 100}})
	}
	s.sched.SetReserved(map[string]bool{"i-1": true}, s.now)
	require.Empty(t, s.plan().Stops)
	s.advance(testTiming.StopTimeout + stopSlack)
	require.Len(t, s.plan().Stops, 1)
}

func TestBusyPoolKeepsWorkNearItsData(t *testing.T) {
	near := unitStep(1)
	near.DataRack, near.Estimate = "rack-1", 10*time.Second
	fill := unitStep(4)
	fill.Need.MilliCPU = 1000
	s := newScene(t, true, "i-1")
	far := s.upstream("i-2")
	far.Labels = []string{"a", "rack-2"}
	s.sched.RegisterUpstream(far, s.now)
	s.list("i-2")
	s.accept(testJob, fill)
	s.answerStarts(s.plan(), nil)
	s.accept("00000000000000a2", fill)
	s.answerStarts(s.plan(), nil)
	s.accept("00000000000000a3", near)
	require.Empty(t, s.plan().Starts, "there is no capacity near the data, and far from it the work would be late")
	var still []bbrwork.Run
	for key := range s.sched.upstreams["i-1"].runs {
		require.Equal(t, testJob, key.unit.Job)
		if key.unit != unitName(0) && key.unit != unitName(2) {
			still = append(still, bbrwork.Run{Unit: key.unit, Number: key.number})
		}
	}
	s.listRunning("i-1", still,
		bbrwork.RunEnd{Sequence: 1, Unit: unitName(0), Run: 1, Outcome: bbrwork.OutcomeDone},
		bbrwork.RunEnd{Sequence: 2, Unit: unitName(2), Run: 1, Outcome: bbrwork.OutcomeDone})
	plan := s.plan()
	require.Len(t, plan.Starts, 1)
	require.Equal(t, "i-1", plan.Starts[0].Upstream.ID)
}

func TestStartingLongRunningUnitsRespectAvailabilityBudget(t *testing.T) {
	longRunning := unitStep(2)
	longRunning.LongRunning, longRunning.MaxUnavailable, longRunning.MaxPerUpstream = true, 1, 1
	s := newScene(t, true, "i-1", "i-2")
	s.accept(testJob, longRunning)
	plan := s.plan()
	require.Len(t, plan.Starts, 2)
	s.answerStarts(plan, nil)
	// No listing has shown yet whether the units work.
	s.sched.SetReserved(map[string]bool{"i-1": true, "i-2": true}, s.now)
	require.LessOrEqual(t, len(s.plan().Stops), 1)
}

// TestSlowLoadingKeepsSuccessorWaiting checks that an owner whose loading took
// longer than the handover still waits for work that an earlier owner may have
// started.
func TestSlowLoadingKeepsSuccessorWaiting(t *testing.T) {
	s := newScene(t, false, "i-1")
	s.advance(testTiming.Handover + 3*time.Second)
	s.accept(testJob, unitStep(1))
	loadAll(s.sched, []bbrwork.Upstream{s.upstream("i-silent")}, 0, s.now)
	require.Empty(t, s.plan().Starts, "the earlier owner may have started the work unit on i-silent")
	s.list("i-silent")
	require.Len(t, s.plan().Starts, 1)
}

// TestLargeUnitRequestsExclusiveUpstream checks that a work unit that fits on none
// of a few partly used upstreams requests another one, even if they have the free
// capacity in sum.
func TestLargeUnitRequestsExclusiveUpstream(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2")
	small := unitStep(6)
	small.Need.MilliCPU = 1000
	s.accept(testJob, small)
	s.answerStarts(s.plan(), nil)
	require.Zero(t, s.sched.Demand(s.now).Exclusive)
	large := unitStep(2)
	large.Need.MilliCPU = 3500
	s.accept("00000000000000b2", large)
	require.Empty(t, s.plan().Starts)
	demand := s.sched.Demand(s.now)
	require.Greater(t, demand.Occupied+demand.Exclusive, 2, "the demand must exceed the present upstreams")
	s.register("i-3")
	s.list("i-3")
	require.Len(t, s.plan().Starts, 1)
}
