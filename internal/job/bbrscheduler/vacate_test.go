package bbrscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	vacateTick = 20 * time.Millisecond
	// vacateWait bounds the wait of the first wide work unit: the promise for work that has
	// room, and the longest stop until its end is listed.
	vacateWait = 3*time.Second + 900*time.Millisecond + time.Second
)

// fragmentedScene is a shard in which long-running work is spread over all upstreams.
type fragmentedScene struct {
	*scene
	ids []string
	// running has the work units that run, by upstream, and when they end; a zero time
	// means never. sequences has the last sequence numbers of ends.
	running   map[string]map[runKey]time.Time
	sequences map[string]int64
	// stops has the work units that were stopped, in order.
	stops []bbrwork.Unit
	// startedAt has the first starts.
	startedAt map[bbrwork.Unit]time.Time
	runTime   time.Duration
}

// newFragmentedScene returns a scene of upstreams of 16,000 millicores and 65,536 MB with
// four long-running jobs, each with one unit on all upstreams but one.
func newFragmentedScene(t *testing.T, upstreams int, need bbrwork.Resources) *fragmentedScene {
	s := &fragmentedScene{
		scene:     newScene(t, true),
		running:   make(map[string]map[runKey]time.Time),
		sequences: make(map[string]int64),
		startedAt: make(map[bbrwork.Unit]time.Time),
		runTime:   1200 * time.Millisecond,
	}
	for i := range upstreams {
		s.ids = append(s.ids, fmt.Sprintf("i-%d", i))
		s.running[s.ids[i]] = make(map[runKey]time.Time)
		s.addUpstream(s.ids[i])
	}
	for i := range 4 {
		s.accept(fmt.Sprintf("%015xf", i), bbrwork.Step{Count: upstreams - 1, Need: need, LongRunning: true, MaxPerUpstream: 1, MaxUnavailable: 1})
	}
	s.play(time.Second)
	require.Len(t, s.startedAt, 4*(upstreams-1))
	return s
}

func (s *fragmentedScene) addUpstream(id string) {
	up := s.upstream(id)
	up.Capacity = bbrwork.Resources{MilliCPU: 16000, MemoryMB: 65536}
	s.sched.RegisterUpstream(up, s.now)
	s.list(id)
}

// play carries out the owner's plans for a time. It checks that each long-running step
// misses one work unit at most.
func (s *fragmentedScene) play(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); s.advance(vacateTick) {
		for _, id := range s.ids {
			s.listUpstream(id)
		}
		s.store()
		plan := s.sched.Plan(true, s.now)
		for _, order := range plan.Stops {
			key := runKey{order.Stop.Unit, order.Stop.Run}
			require.Contains(s, s.running[order.Upstream.ID], key)
			s.running[order.Upstream.ID][key] = s.now
			s.stops = append(s.stops, order.Stop.Unit)
			s.sched.ApplyStopResult(order, nil, s.now)
		}
		for _, order := range plan.Starts {
			s.start(order)
		}
		s.answerStarts(plan, nil)
		s.requireWithinBudgets()
	}
}

func (s *fragmentedScene) start(order StartOrder) {
	unit := order.Start.Unit
	if s.startedAt[unit].IsZero() {
		s.startedAt[unit] = s.now
	}
	var ends time.Time
	if !s.sched.jobs[unit.Job].Steps[unit.Step].LongRunning {
		ends = s.now.Add(s.runTime)
	}
	s.running[order.Upstream.ID][runKey{unit, order.Start.Run}] = ends
}

// listUpstream lists an upstream with the runs that have ended since.
func (s *fragmentedScene) listUpstream(id string) {
	var running []bbrwork.Run
	var ends []bbrwork.RunEnd
	for key, end := range s.running[id] {
		if end.IsZero() || s.now.Before(end) {
			running = append(running, bbrwork.Run{Unit: key.unit, Number: key.number, Percent: fullPercent})
			continue
		}
		outcome := bbrwork.OutcomeDone
		if s.sched.jobs[key.unit.Job].Steps[key.unit.Step].LongRunning {
			outcome = bbrwork.OutcomeStopped
		}
		s.sequences[id]++
		ends = append(ends, bbrwork.RunEnd{Sequence: s.sequences[id], Unit: key.unit, Run: key.number, Outcome: outcome})
		delete(s.running[id], key)
	}
	s.listRunning(id, running, ends...)
}

func (s *fragmentedScene) requireWithinBudgets() {
	for _, j := range s.sched.jobs {
		if spec := j.Steps[0]; spec.LongRunning && !s.startedAt[bbrwork.Unit{Job: j.ID}].IsZero() {
			running := 0
			for _, runs := range s.running {
				for key, end := range runs {
					if key.unit.Job == j.ID && end.IsZero() {
						running++
					}
				}
			}
			require.GreaterOrEqual(s, running, spec.Count-1, "job %s", j.ID)
		}
	}
}

// incidentStep has the work units that were lost in the incident.
func incidentStep(count int) bbrwork.Step {
	return bbrwork.Step{Count: count, Need: bbrwork.Resources{MilliCPU: 7000, MemoryMB: 46064}, Estimate: 1200 * time.Millisecond}
}

// TestWideWorkStartsBetweenSpreadWork guards against wide finite work that never starts
// beside long-running work that is spread over all upstreams.
func TestWideWorkStartsBetweenSpreadWork(t *testing.T) {
	const units = 11
	s := newFragmentedScene(t, 6, bbrwork.Resources{MilliCPU: 2400, MemoryMB: 12000})
	accepted := s.now
	s.accept(testJob, incidentStep(units))
	s.play(vacateWait)
	require.False(t, s.startedAt[unitName(0)].IsZero(), "a work unit that fits on an empty upstream has waited for %v", s.now.Sub(accepted))
	// One upstream takes one unit after the other.
	s.play((units - 1) * (s.runTime + 4*vacateTick))
	for index := range units {
		require.False(t, s.startedAt[unitName(index)].IsZero(), "unit %d", index)
	}
}
