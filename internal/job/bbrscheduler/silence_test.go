package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// TestFurtherSilenceDoesNotDelayVerification guards against an upstream that is never
// verified, because each further start that it does not answer counts as the first one.
func TestFurtherSilenceDoesNotDelayVerification(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.accept(testJob, unitStep(2))
	plan := s.plan()
	require.Len(t, plan.Starts, 2)
	s.sched.ApplyStartResult(plan.Starts[0], 0, bbrorder.ErrAnswerLost, s.now)
	s.advance(2 * verifyAfter / 3)
	s.sched.ApplyStartResult(plan.Starts[1], 0, bbrorder.ErrAnswerLost, s.now)
	s.advance(2 * verifyAfter / 3)
	require.Equal(t, []bbrwork.Incarnation{s.upstream("i-1").Incarnation}, s.sched.Unverified(s.now.Add(time.Millisecond)))
}
