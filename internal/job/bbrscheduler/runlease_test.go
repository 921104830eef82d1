package bbrscheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// TestRepeatedRenewalDoesNotPostponeRestart guards against a repetition of a lost renewal
// that grants more than the lost one, or is sent while a start may take effect in another
// incarnation, which would take the deadline as one of its own clock.
func TestRepeatedRenewalDoesNotPostponeRestart(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.accept(testJob, unitStep(2))
	starts := s.plan()
	require.Len(t, starts.Starts, 2)
	s.answerStarts(Plan{Starts: starts.Starts[:1]}, nil)
	lost, _ := s.sched.PlanRenewal("i-1", true, s.now)
	require.Positive(t, lost.LeaseUntil)
	leaseEnd := s.sched.upstreams["i-1"].leaseEnd
	s.advance(200 * time.Millisecond)
	s.sched.ApplyRenewalFailure(lost.Upstream.Incarnation, bbrorder.ErrAnswerLost, s.now)
	query, _ := s.sched.PlanRenewal("i-1", true, s.now)
	require.Zero(t, query.LeaseUntil, "a start is on its way")
	s.answerStarts(Plan{Starts: starts.Starts[1:]}, nil)
	s.sched.ApplyRenewalFailure(lost.Upstream.Incarnation, bbrorder.ErrAnswerLost, s.now)
	repeated, _ := s.sched.PlanRenewal("i-1", true, s.now)
	require.Equal(t, lost.LeaseUntil, repeated.LeaseUntil)
	require.Zero(t, repeated.Wait)
	require.Equal(t, leaseEnd, s.sched.upstreams["i-1"].leaseEnd)
	unconfirmed, _ := s.sched.PlanRenewal("i-1", false, s.now)
	require.Zero(t, unconfirmed.LeaseUntil)
	s.advance(testTiming.RunLease)
	late, _ := s.sched.PlanRenewal("i-1", true, s.now)
	require.Zero(t, late.LeaseUntil, "the deadline has passed")
}

// TestListingReadLateDoesNotShortenTheLease guards against an owner that reads an answer late,
// takes its clock for the present one, and grants a lease that is shorter by the delay.
func TestListingReadLateDoesNotShortenTheLease(t *testing.T) {
	s := newScene(t, true, "i-1")
	s.accept(testJob, longRunningStep(1))
	s.answerStarts(s.plan(), nil)
	sent := s.now
	listing := bbrwork.Listing{Clock: s.now.Sub(s.start), StartMillis: 1000, Running: []bbrwork.Run{{Unit: unitName(0), Number: 1, Percent: fullPercent}}}
	s.advance(1500 * time.Millisecond)
	s.sched.ApplyListing(s.upstream("i-1").Incarnation, &listing, sent, s.now)
	renewal, _ := s.sched.PlanRenewal("i-1", true, s.now)
	granted := renewal.LeaseUntil - s.now.Sub(s.start)
	require.InDelta(t, testTiming.RunLease.Seconds(), granted.Seconds(), 0.1)
}
