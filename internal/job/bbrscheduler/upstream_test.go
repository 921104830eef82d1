package bbrscheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// TestAnswerToOldIncarnationDoesNotEndNewOne guards against ending the registered
// incarnation because of an answer to an order for an earlier one.
func TestAnswerToOldIncarnationDoesNotEndNewOne(t *testing.T) {
	s := newScene(t, true, "i-1")
	again := s.upstream("i-1")
	again.StartMillis = 2000
	s.sched.RegisterUpstream(again, s.now)
	s.sched.ApplyRenewalFailure(s.upstream("i-1").Incarnation, bbrorder.ErrOtherIncarnation, s.now)
	s.sched.RegisterUpstream(again, s.now)
	s.sched.ApplyListing(again.Incarnation, &bbrwork.Listing{Clock: 1, StartMillis: 2000}, s.now, s.now)
	s.accept(testJob, unitStep(1))
	require.Len(t, s.plan().Starts, 1)
}
