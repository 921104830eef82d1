package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// longRunningWaitLimit is how long callers accept that a long-running work unit has no run
// while there is capacity for it.
const longRunningWaitLimit = 6 * time.Second

func longRunningStep(count int) bbrwork.Step {
	step := unitStep(count)
	step.LongRunning = true
	return step
}

// registerCapacity registers an upstream with the capacity and labels, which then answers.
func (s *scene) registerCapacity(id string, milliCPU int, labels ...string) {
	up := s.upstream(id)
	up.Capacity.MilliCPU = milliCPU
	if len(labels) > 0 {
		up.Labels = labels
	}
	s.sched.RegisterUpstream(up, s.now)
	s.list(id)
}

// TestFailedStartsOfLongRunningWorkMoveOn guards against a long-running work unit that is
// tried again and again on the upstream with the most free capacity, which answers
// renewals but starts nothing.
func TestFailedStartsOfLongRunningWorkMoveOn(t *testing.T) {
	for _, failure := range []error{bbrorder.ErrAnswerLost, bbrorder.ErrNotSent, bbrorder.ErrInvalid, bbrorder.ErrExpired, bbrorder.ErrNoCapacity, bbrorder.ErrUnhealthy, bbrorder.ErrStaleRun} {
		t.Run(failure.Error(), func(t *testing.T) {
			s := newScene(t, true)
			s.registerCapacity("i-1", 16000)
			s.registerCapacity("i-2", 8000)
			s.registerCapacity("i-3", 4000)
			s.accept(testJob, longRunningStep(1))
			for limit := s.now.Add(longRunningWaitLimit); s.now.Before(limit); {
				for _, order := range s.plan().Starts {
					if order.Upstream.ID == "i-3" {
						return
					}
					s.advance(100 * time.Millisecond)
					s.sched.ApplyStartResult(order, 0, failure, s.now)
				}
				for _, id := range []string{"i-1", "i-2", "i-3"} {
					s.list(id)
				}
				s.advance(50 * time.Millisecond)
			}
			require.Fail(t, "the work unit never started on the upstream that accepts it")
		})
	}
}
