package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// TestStalledRunIsStopped checks that a run that is listed without progress for
// many times its estimate is stopped if another upstream can take its work unit.
func TestStalledRunIsStopped(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2")
	s.accept(testJob, unitStep(1))
	plan := s.plan()
	require.Len(t, plan.Starts, 1)
	s.answerStarts(plan, nil)
	on := plan.Starts[0].Upstream.ID
	stops := 0
	for range 300 {
		s.listRunning(on, []bbrwork.Run{{Unit: unitName(0), Number: 1, Percent: 20}})
		stops += len(s.sched.Plan(true, s.now).Stops)
		s.advance(100 * time.Millisecond)
	}
	require.NotZero(t, stops, "30 s at 20%%, with an estimate of 1 s and an empty upstream")
}

// listFor starts the step, lists its runs every 100 ms for a while, and returns the
// first start and the number of stops ordered.
func (s *scene) listFor(length time.Duration, step bbrwork.Step, percent func(since time.Duration) int) (start StartOrder, stops int) {
	s.accept(testJob, step)
	plan := s.plan()
	require.NotEmpty(s, plan.Starts)
	s.answerStarts(plan, nil)
	startTime := s.now
	for s.now.Sub(startTime) < length {
		running := make(map[string][]bbrwork.Run)
		for _, order := range plan.Starts {
			running[order.Upstream.ID] = append(running[order.Upstream.ID], bbrwork.Run{Unit: order.Start.Unit, Number: 1, Percent: percent(s.now.Sub(startTime))})
		}
		for id, runs := range running {
			s.listRunning(id, runs)
		}
		next := s.sched.Plan(true, s.now)
		require.Empty(s, next.Starts, "no work unit may run twice at once")
		stops += len(next.Stops)
		s.advance(100 * time.Millisecond)
	}
	return plan.Starts[0], stops
}

func constantPercent(percent int) func(time.Duration) int {
	return func(time.Duration) int { return percent }
}

// TestStalledUnitRestartsElsewhereOnceRunEnded checks that the work unit starts on
// the other upstream, and not before the end of its stalled run is listed.
func TestStalledUnitRestartsElsewhereOnceRunEnded(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2")
	start, stops := s.listFor(12*time.Second, unitStep(1), constantPercent(20))
	require.NotZero(t, stops)
	s.list(start.Upstream.ID, bbrwork.RunEnd{Sequence: 1, Unit: start.Start.Unit, Run: 1, Outcome: bbrwork.OutcomeStopped, Checkpoint: "c"})
	plan := s.plan()
	require.Len(t, plan.Starts, 1)
	require.NotEqual(t, start.Upstream.ID, plan.Starts[0].Upstream.ID)
	require.Equal(t, "c", plan.Starts[0].Start.Checkpoint)
	require.Empty(t, s.sched.jobs[testJob].occurrences[0].steps[0].units[0].failedRuns, "a stalled run is not a failed attempt")
}

// TestRunThatIsNotStalledIsNotStopped checks that slow work, throttled work, work
// that has just started, and work that could not run elsewhere is not stopped.
func TestRunThatIsNotStalledIsNotStopped(t *testing.T) {
	const length = 40 * time.Second
	estimated := func(estimate time.Duration) bbrwork.Step {
		step := unitStep(1)
		step.Estimate = estimate
		return step
	}
	bestEffort := unitStep(1)
	bestEffort.BestEffort = true
	longRunning, gang := unitStep(1), unitStep(2)
	longRunning.LongRunning, gang.Gang = true, true
	tests := []struct {
		name      string
		upstreams []string
		step      bbrwork.Step
		percent   func(since time.Duration) int
	}{
		{"one percent in nine seconds", []string{"i-1", "i-2"}, unitStep(1), func(since time.Duration) int { return 1 + int(since/(9*time.Second)) }},
		{"estimate of a quarter of the time", []string{"i-1", "i-2"}, estimated(length / stallFactor), constantPercent(20)},
		{"no percent yet", []string{"i-1", "i-2"}, unitStep(1), constantPercent(0)},
		{"full percent", []string{"i-1", "i-2"}, unitStep(1), constantPercent(fullPercent)},
		{"best effort", []string{"i-1", "i-2"}, bestEffort, constantPercent(20)},
		{"long-running", []string{"i-1", "i-2"}, longRunning, constantPercent(20)},
		{"gang", []string{"i-1", "i-2", "i-3"}, gang, constantPercent(20)},
		{"no other upstream", []string{"i-1"}, unitStep(1), constantPercent(20)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, stops := newScene(t, true, test.upstreams...).listFor(length, test.step, test.percent)
			require.Zero(t, stops)
		})
	}
}

// TestRunIsNotMovedToUpstreamWithStalledRun checks that work is not moved to an
// upstream that has a stalled run as well.
func TestRunIsNotMovedToUpstreamWithStalledRun(t *testing.T) {
	for _, percent := range []int{20, 0} {
		s := newScene(t, true, "i-1")
		other := s.upstream("i-2")
		other.Labels = append(other.Labels, "b")
		s.sched.RegisterUpstream(other, s.now)
		s.list("i-2")
		labelled := unitStep(1)
		labelled.Label = "b"
		const second = "00000000000000b2"
		s.accept(second, labelled)
		plan := s.plan()
		require.Len(t, plan.Starts, 1)
		s.answerStarts(plan, nil)
		stopped := make(map[string]bool)
		s.accept(testJob, unitStep(1))
		s.sched.jobs[testJob].occurrences[0].steps[0].units[0].avoidUpstream = "i-2"
		plan = s.plan()
		require.Len(t, plan.Starts, 1)
		require.Equal(t, "i-1", plan.Starts[0].Upstream.ID)
		s.answerStarts(plan, nil)
		for range 200 {
			s.listRunning("i-1", []bbrwork.Run{{Unit: unitName(0), Number: 1, Percent: 20}})
			s.listRunning("i-2", []bbrwork.Run{{Unit: bbrwork.Unit{Job: second}, Number: 1, Percent: percent}})
			for _, stop := range s.sched.Plan(true, s.now).Stops {
				stopped[stop.Upstream.ID] = true
			}
			s.advance(100 * time.Millisecond)
		}
		require.Equal(t, percent == 0, stopped["i-1"])
		require.False(t, stopped["i-2"], "its work unit fits nowhere else")
	}
}

// TestTimeWithoutListingsIsNotStall checks that the time between distant listings
// counts only in part.
func TestTimeWithoutListingsIsNotStall(t *testing.T) {
	s := newScene(t, true, "i-1", "i-2")
	start, stops := s.listFor(5*time.Second, unitStep(1), constantPercent(20))
	require.Zero(t, stops)
	s.advance(3 * time.Second)
	s.listRunning(start.Upstream.ID, []bbrwork.Run{{Unit: start.Start.Unit, Number: 1, Percent: 20}})
	s.advance(3 * time.Second)
	s.listRunning(start.Upstream.ID, []bbrwork.Run{{Unit: start.Start.Unit, Number: 1, Percent: 20}})
	require.Empty(t, s.sched.Plan(true, s.now).Stops)
}
