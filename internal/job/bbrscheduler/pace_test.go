package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	servingJob    = "00000000000000b1"
	bestEffortJob = "00000000000000b2"
	testTarget    = 100 * time.Millisecond
)

// newPacedScene returns a scene with a serving and a best-effort work unit on one
// upstream.
func newPacedScene(t *testing.T) *scene {
	s := newScene(t, true, "i-1")
	serving, bestEffort := unitStep(1), unitStep(1)
	serving.LongRunning, serving.LatencyTarget = true, testTarget
	bestEffort.LongRunning, bestEffort.BestEffort = true, true
	s.accept(servingJob, serving)
	s.accept(bestEffortJob, bestEffort)
	s.answerStarts(s.plan(), nil)
	return s
}

// listTail delivers a listing with the tail latency of the serving work unit.
func (s *scene) listTail(tail time.Duration) {
	s.listRunning("i-1", []bbrwork.Run{
		{Unit: bbrwork.Unit{Job: servingJob}, Number: 1, Percent: fullPercent, TailLatency: tail},
		{Unit: bbrwork.Unit{Job: bestEffortJob}, Number: 1, Percent: fullPercent},
	})
}

// TestBestEffortWorkYieldsToServingWork lists arbitrary tail latencies. The pace
// stays within its bounds, best-effort work is paused well before a serving work
// unit has exceeded its target for 4 s, and is at full speed again once all tail
// latencies are low.
func TestBestEffortWorkYieldsToServingWork(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newPacedScene(t)
		pace := fullPace
		listRounds := func(rounds int, tail func() time.Duration) {
			for range rounds {
				s.advance(100 * time.Millisecond)
				s.listTail(tail())
				for _, order := range s.sched.Plan(true, s.now).Paces {
					require.Equal(r, bbrwork.Unit{Job: bestEffortJob}, order.Pace.Unit)
					pace = order.Pace.Percent
				}
				require.GreaterOrEqual(r, pace, 0)
				require.LessOrEqual(r, pace, fullPace)
			}
		}
		listRounds(rapid.IntRange(0, 40).Draw(r, "rounds"), func() time.Duration {
			return time.Duration(rapid.IntRange(0, 300).Draw(r, "tail")) * time.Millisecond
		})
		listRounds(30, func() time.Duration { return 2 * testTarget })
		require.Zero(r, pace)
		listRounds(60, func() time.Duration { return testTarget / 10 })
		require.Equal(r, fullPace, pace)
	})
}

// TestSuccessorResetsPace checks that work which an earlier owner slowed down does
// not stay slow, as its pace is not known to the successor.
func TestSuccessorResetsPace(t *testing.T) {
	s := newScene(t, false, "i-1")
	bestEffort := unitStep(1)
	bestEffort.LongRunning, bestEffort.BestEffort = true, true
	s.accept(bestEffortJob, bestEffort)
	s.listRunning("i-1", []bbrwork.Run{{Unit: bbrwork.Unit{Job: bestEffortJob}, Number: 1, Percent: fullPercent}})
	paces := s.sched.Plan(true, s.now).Paces
	require.Len(t, paces, 1)
	require.Equal(t, fullPace, paces[0].Pace.Percent)
}
