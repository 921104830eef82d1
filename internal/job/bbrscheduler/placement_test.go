package bbrscheduler

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// newTrial returns a job that is not stored.
func (s *scene) newTrial(id, queue string, steps ...bbrwork.Step) *bbrwork.Job {
	return &bbrwork.Job{ID: id, Queue: queue, Service: "press", Spec: "x", Steps: steps, Accepted: s.now}
}

// record lets the upstreams be recorded for a successor, as the first starts require.
func (s *scene) record() {
	s.sched.Plan(true, s.now)
	s.store()
}

// TestPlaceAnswersAsThePlanDecides guards against a placement that differs from the starts
// of the next plan, or a wait without the reason that holds once the job is stored.
func TestPlaceAnswersAsThePlanDecides(t *testing.T) {
	wide := bbrwork.Step{Count: 3, Need: bbrwork.Resources{MilliCPU: 3000}, Gang: true, Estimate: time.Second}
	labelled := unitStep(1)
	labelled.Label = "gpu"
	spread := unitStep(3)
	spread.MaxPerUpstream = 1
	second := unitStep(1)
	second.DependsOn = []int{0}
	tests := []struct {
		name   string
		steps  []bbrwork.Step
		queue  string
		reason []Reason
	}{
		{name: "fits", steps: []bbrwork.Step{unitStep(2)}, reason: []Reason{""}},
		{name: "fits in part", steps: []bbrwork.Step{unitStep(20)}, reason: []Reason{ReasonCapacityUsedByFiniteWork}},
		{name: "later step", steps: []bbrwork.Step{unitStep(1), second}, reason: []Reason{"", ReasonEarlierSteps}},
		{name: "two steps compete", steps: []bbrwork.Step{unitStep(8), unitStep(1)}, reason: []Reason{"", ReasonCapacityUsedByFiniteWork}},
		{name: "gang", steps: []bbrwork.Step{wide}, reason: []Reason{ReasonGangPartlyFits}},
		{name: "label", steps: []bbrwork.Step{labelled}, reason: []Reason{ReasonLabelMissing}},
		{name: "anti-affinity", steps: []bbrwork.Step{spread}, reason: []Reason{ReasonMaxPerUpstream}},
		{name: "advice", steps: []bbrwork.Step{unitStep(1)}, queue: "plates", reason: []Reason{ReasonTicketMissing}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newScene(t, true, "i-1", "i-2")
			s.sched.SetConfig(bbrwork.NewConfig(2, testQueues, nil, bbrwork.Limits{}))
			s.record()
			job := s.newTrial(testJob, test.queue, test.steps...)
			got, ok := s.sched.Place(job, true, s.now)
			require.True(t, ok)
			require.Len(t, got.Steps, len(test.steps))
			var placed, started []string
			for i, step := range got.Steps {
				require.Equal(t, test.reason[i], step.Reason, step.WaitDetail)
				placed = append(placed, step.Upstreams...)
			}
			s.sched.AddJob(job, 0, nil, s.now)
			for _, start := range s.sched.Plan(true, s.now).Starts {
				started = append(started, start.Upstream.ID)
			}
			slices.Sort(placed)
			slices.Sort(started)
			require.Equal(t, started, placed)
			got, ok = s.sched.Place(job, true, s.now)
			require.True(t, ok)
			require.NotEmpty(t, got.State, "the job is known now")
		})
	}
}

// TestPlaceOfWhatCannotStart checks the answers that do not depend on capacity.
func TestPlaceOfWhatCannotStart(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.record()
	job := s.newTrial(testJob, "proofs", unitStep(1))
	got, ok := s.sched.Place(job, false, s.now)
	require.True(t, ok)
	require.Equal(t, ReasonClaimUnconfirmed, got.Steps[0].Reason)
	require.Zero(t, got.Steps[0].Running)
	_, ok = s.sched.Place(&bbrwork.Job{Service: "other"}, true, s.now)
	require.False(t, ok, "another shard")
	_, ok = s.sched.Place(s.newTrial(testJob, "proofs", bbrwork.Step{}), true, s.now)
	require.False(t, ok, "a step without work units")

	many := make([]bbrwork.Step, maxPlacedSteps+1)
	for i := range many {
		many[i] = unitStep(1)
	}
	got, _ = s.sched.Place(s.newTrial(testJob, "proofs", many...), true, s.now)
	require.Len(t, got.Steps, maxPlacedSteps)
	require.Equal(t, 1, got.OmittedSteps)
}

// TestPlaceCountsWorkThatComesFirst guards against an answer that hides that other work
// takes the free capacity first.
func TestPlaceCountsWorkThatComesFirst(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.record()
	s.accept("00000000000000b1", unitStep(3))
	s.advance(time.Millisecond)
	got, ok := s.sched.Place(s.newTrial(testJob, "proofs", unitStep(1)), true, s.now)
	require.True(t, ok)
	require.Equal(t, 1, got.Steps[0].StepsBefore)
	require.Equal(t, 3, got.Steps[0].UnitsBefore)
}

// TestPlaceCountsWorkWithinItsShare guards against the placement of a job beyond its
// organisation's share that leaves out later work within its share, which comes first.
func TestPlaceCountsWorkWithinItsShare(t *testing.T) {
	for organisation, before := range map[string]int{"a": 8, "": 0} {
		s := newSharedScene(t, true, true, "i-1", "i-2")
		s.acceptOf("00000000000000d1", "a", 0, 4)
		var running []bbrwork.Run
		for i := range 4 {
			running = append(running, bbrwork.Run{Unit: bbrwork.Unit{Job: "00000000000000d1", Index: i}, Number: 1})
		}
		s.listRunning("i-1", running)
		s.record()
		s.advance(1300 * time.Millisecond)
		s.acceptOf("00000000000000b1", "b", 0, 8)
		in := s.newTrial(testJob, "proofs", unitStep(1))
		in.Organisation, in.Accepted = organisation, s.now.Add(-100*time.Millisecond)
		got, ok := s.sched.Place(in, true, s.now)
		require.True(t, ok)
		require.Equal(t, before, got.Steps[0].UnitsBefore, "organisation %q", organisation)
		require.Equal(t, min(before, 1), got.Steps[0].StepsBefore, "organisation %q", organisation)
	}
}

var twinUpstreams = []string{"i-1", "i-2", "i-3"}

// twin is a scene with the actions of a rapid test.
type twin struct {
	*scene
	running []StartOrder
}

func newTwin(t *testing.T, fairShares bool) *twin {
	s := newScene(t, true, twinUpstreams...)
	s.sched.ReserveCapacity, s.sched.FairShares = true, fairShares
	s.sched.SeparateInterfering(nil, s.now)
	s.sched.SetConfig(placementConfig(t))
	for _, name := range []string{"guild", "union"} {
		account := s.sched.Account(name)
		account.Held, account.Verified = bbrwork.Resources{MilliCPU: 3000, MemoryMB: 4000}, true
	}
	return &twin{scene: s}
}

func placementConfig(t *testing.T) *bbrwork.Config {
	config, err := bbrwork.NewConfig(2, []*bbrwork.Queue{
		{Name: "proofs", Service: "press", Attempts: 3, Stretch: 1.6, Objective: 600 * time.Millisecond},
		{Name: "inserts", Service: "press", Attempts: 3, Stretch: 1.6, Objective: 600 * time.Millisecond, Priority: 1},
		{Name: "plates", Service: "press", Attempts: 3, Objective: time.Second, Advice: &bbrwork.Advice{TicketTTL: time.Second}},
	}, nil, bbrwork.Limits{}).WithOrganisations([]*bbrwork.Organisation{
		{Name: "guild", Weight: 2, Cap: bbrwork.Resources{MilliCPU: 3000, MemoryMB: 4000}}, {Name: "union", Weight: 1},
	})
	require.NoError(t, err)
	return config
}

// planAndStart plans and lets the starts succeed.
func (w *twin) planAndStart() Plan {
	plan := w.sched.Plan(true, w.now)
	// The order of the stops of one cause is not determined.
	slices.SortFunc(plan.Stops, func(a, b StopOrder) int { return cmp.Compare(fmt.Sprint(a.Stop), fmt.Sprint(b.Stop)) })
	w.answerStarts(plan, nil)
	for _, request := range plan.AdviceRequests {
		w.sched.ApplyAdvice(request, map[string]string{"i-1": "t"}, 0, nil, w.now, w.now)
	}
	w.running = append(w.running, plan.Starts...)
	w.store()
	return plan
}

// renew renews the leases of all upstreams and lists their runs. If end is set, the run
// that was started first has ended.
func (w *twin) renew(end bool, sequence int64) {
	for _, id := range twinUpstreams {
		w.sched.PlanRenewal(id, true, w.now)
		var running []bbrwork.Run
		var ended []bbrwork.RunEnd
		for at, order := range w.running {
			switch {
			case order.Upstream.ID != id:
			case end && at == 0:
				ended = append(ended, bbrwork.RunEnd{Sequence: sequence, Unit: order.Start.Unit, Run: order.Start.Run, Outcome: bbrwork.OutcomeDone})
			default:
				running = append(running, bbrwork.Run{Unit: order.Start.Unit, Number: order.Start.Run})
			}
		}
		w.listRunning(id, running, ended...)
	}
	if end && len(w.running) > 0 {
		w.running = w.running[1:]
	}
	w.store()
	// The order of notes from one event is not determined.
	slices.SortFunc(w.sched.notes, func(a, b Note) int { return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
}

func drawStep(t *rapid.T) bbrwork.Step {
	step := unitStep(rapid.IntRange(1, 4).Draw(t, "units"))
	step.Need.MilliCPU = rapid.SampledFrom([]int{500, 1000, 3000}).Draw(t, "need")
	step.Gang = rapid.Bool().Draw(t, "gang")
	step.Label = rapid.SampledFrom([]string{"", "", "a", "gpu"}).Draw(t, "label")
	step.DataRack = rapid.SampledFrom([]string{"", "", "rack-1", "rack-2"}).Draw(t, "rack")
	step.MaxPerUpstream = rapid.SampledFrom([]int{0, 0, 1}).Draw(t, "limit")
	step.LongRunning = rapid.IntRange(0, 5).Draw(t, "long") == 0
	return step
}

func drawJob(t *rapid.T, id int, now time.Time) *bbrwork.Job {
	job := &bbrwork.Job{ID: fmt.Sprintf("%016x", id), Service: "press", Spec: "x", Accepted: now}
	job.Queue = rapid.SampledFrom([]string{"proofs", "inserts", "plates"}).Draw(t, "queue")
	job.Organisation = rapid.SampledFrom([]string{"", "guild", "union", "unlisted"}).Draw(t, "organisation")
	job.Steps = []bbrwork.Step{drawStep(t)}
	job.Steps[0].Image = rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "image")
	if rapid.Bool().Draw(t, "two steps") {
		second := drawStep(t)
		second.DependsOn = []int{0}
		job.Steps = append(job.Steps, second)
	}
	return job
}

// TestPlaceChangesNothing runs the same events with and without queries, and guards against
// a query that changes the scheduler's state or its next plan: requests to the advice
// service, accounts of caps, reservations, statistics, notes and the horizon.
func TestPlaceChangesNothing(t *testing.T) {
	reserved, preempted, capped, advised := 0, 0, 0, 0
	check := func(rt *rapid.T) {
		// With shares, preemptions are rare.
		fairShares := rapid.IntRange(0, 3).Draw(rt, "fair shares") == 0
		queried, plain := newTwin(t, fairShares), newTwin(t, fairShares)
		both := []*twin{queried, plain}
		for step := range rapid.IntRange(5, 40).Draw(rt, "events") {
			pause := time.Duration(rapid.IntRange(1, 300).Draw(rt, "pause")) * time.Millisecond
			for _, w := range both {
				w.advance(pause)
			}
			switch rapid.IntRange(0, 2).Draw(rt, "event") {
			case 0, 1:
				job := drawJob(rt, step+1, queried.now)
				for _, w := range both {
					w.sched.AddJob(job, 0, nil, w.now)
				}
			case 2:
				id := rapid.SampledFrom(twinUpstreams).Draw(rt, "upstream")
				for _, w := range both {
					w.sched.SetReserved(map[string]bool{id: true}, w.now)
				}
			}
			end := rapid.Bool().Draw(rt, "end")
			for _, w := range both {
				w.renew(end, int64(step+1))
			}
			for range rapid.IntRange(1, 3).Draw(rt, "queries") {
				trial := drawJob(rt, 1000+step, queried.now)
				got, ok := queried.sched.Place(trial, rapid.Bool().Draw(rt, "confirmed"), queried.now)
				require.True(rt, ok)
				for _, s := range got.Steps {
					capped += btoi(s.Reason == ReasonOrganisationCap)
					advised += btoi(s.Reason == ReasonTicketMissing)
				}
			}
			require.Equal(rt, plain.sched, queried.sched, "the state")
			reserved += len(queried.sched.reservations)
			require.Equal(rt, plain.planAndStart(), queried.planAndStart(), "the next plan")
			preempted += queried.sched.preempted
		}
	}
	// A few hundred draws are needed to meet everything that a query must not change.
	for batch := 0; batch < 10 && min(reserved, preempted, capped, advised) == 0; batch++ {
		rapid.Check(t, check)
	}
	require.Positive(t, reserved, "no draw made a reservation")
	require.Positive(t, preempted, "no draw preempted")
	require.Positive(t, capped, "no draw met a cap")
	require.Positive(t, advised, "no draw needed advice")
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
