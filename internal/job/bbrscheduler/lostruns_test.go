package bbrscheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
)

func TestCrashAfterAnEarlierLostAnswerCounts(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.accept(testJob, unitStep(1), unitStep(1))
	plan := s.plan()
	lost := Plan{Starts: plan.Starts[:1]}
	s.answerStarts(lost, bbrorder.ErrAnswerLost)
	s.answerStarts(Plan{Starts: plan.Starts[1:]}, nil)
	s.accept("00000000000000c1", unitStep(1))
	s.answerStarts(s.plan(), nil)
	s.sched.EndIncarnation(s.upstream("i-1").Incarnation, "crashed", s.now)
	require.Len(t, s.unit("00000000000000c1", 0).crashes, 1)
}
