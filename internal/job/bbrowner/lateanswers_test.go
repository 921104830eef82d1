package bbrowner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
)

// lateCalls plays an owner whose rounds and renewals all come late by the same time, while the
// upstream carries out each renewal at once and answers after the renewal's wait.
type lateCalls struct {
	*lateScene
	late time.Duration
	// nextRound and nextCall are when the next round begins, and when the next renewal is
	// sent or the one in flight ends.
	nextRound, nextCall time.Time
	inFlight            bool
	// timeout is the answer timeout of the renewal in flight.
	timeout time.Duration
	// failures counts the renewals whose answer was read after their timeout.
	failures int
}

// releasedBefore returns when the owner releases its shard; zero if it does not before the end.
func (c *lateCalls) releasedBefore(end time.Time) time.Time {
	for now := c.nextCall; now.Before(end); {
		if c.nextCall.After(c.nextRound) {
			now, c.nextRound = c.nextRound, c.nextRound.Add(planInterval+c.late)
			if c.owner.mustHandOver(now) {
				return now
			}
			continue
		}
		now = c.nextCall
		if c.inFlight {
			c.read(now)
		} else {
			c.send(now)
		}
	}
	return time.Time{}
}

// send sends a renewal.
func (c *lateCalls) send(now time.Time) {
	plan, known := c.owner.scheduler.PlanRenewal("i-1", true, now)
	require.True(c, known)
	if plan.LeaseUntil > 0 {
		c.runEnd = c.start.Add(plan.LeaseUntil)
	}
	c.inFlight, c.timeout, c.nextCall = true, plan.AnswerTimeout, now.Add(plan.Wait+c.late)
}

// read reads the answer to the renewal, which counts as lost after the call's timeout.
func (c *lateCalls) read(now time.Time) {
	c.inFlight = false
	if c.late <= c.timeout {
		c.list(now, c.running())
		c.nextCall = now.Add(c.late)
		return
	}
	c.failures++
	c.owner.scheduler.ApplyRenewalFailure(c.upstream().Incarnation, bbrorder.ErrAnswerLost, now)
	c.nextCall = now.Add(bbrscheduler.RenewalRetryDelay + c.late)
}

// TestOwnerThatReadsShortCallsTooLateReleasesItsShard guards against an owner that reads all answers after the timeouts of its calls, but is excused for them as it reads them sooner than the answer to the longest call.
func TestOwnerThatReadsShortCallsTooLateReleasesItsShard(t *testing.T) {
	for _, late := range []time.Duration{750 * time.Millisecond, 800 * time.Millisecond, time.Second, 1100 * time.Millisecond, 1300 * time.Millisecond, 1600 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			s := newLateScene(t)
			s.runInTime()
			s.owner.scheduler.ConfirmLease(s.upstream().Incarnation, s.runEnd.Sub(s.start))
			now := s.at(lateFrom)
			c := &lateCalls{lateScene: s, late: late, nextRound: now.Add(late), nextCall: now.Add(planInterval)}
			released := c.releasedBefore(now.Add(15 * time.Second))
			t.Logf("%d failures, lease until %v", c.failures, s.runEnd.Sub(s.start))
			require.False(t, released.IsZero(), "the shard is not released: %v", s.decisions)
			require.LessOrEqual(t, released.Sub(s.runEnd), maxDetectionTime, "after the end of the run's lease")
		})
	}
}

// TestOwnerThatIsLateAfterAStartReleasesItsShard guards against an owner that reads all answers too late after a start, and is excused because the first renewal has a shorter timeout.
func TestOwnerThatIsLateAfterAStartReleasesItsShard(t *testing.T) {
	for _, late := range []time.Duration{400 * time.Millisecond, 500 * time.Millisecond, 650 * time.Millisecond, 800 * time.Millisecond, time.Second, 1300 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			s := newLateScene(t)
			s.owner.scheduler.ConfirmLease(s.upstream().Incarnation, 1500*time.Millisecond)
			now, end := s.at(10*time.Millisecond), s.at(20*time.Second)
			c := &lateCalls{lateScene: s, late: late, nextRound: now.Add(late), nextCall: now}
			released := c.releasedBefore(end)
			t.Logf("%d failures, lease until %v", c.failures, s.runEnd.Sub(s.start))
			if s.runEnd.Before(end) {
				require.False(t, released.IsZero(), "the work has lapsed, and the shard is not released: %v", s.decisions)
				require.LessOrEqual(t, released.Sub(s.runEnd), maxDetectionTime, "after the end of the run's lease")
			}
		})
	}
}
