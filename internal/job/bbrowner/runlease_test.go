package bbrowner

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrregistry"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// leasedUpstream is an upstream on which runs end when their lease expires.
type leasedUpstream struct {
	mu       sync.Mutex
	bootedAt time.Time
	lease    time.Duration
	running  []bbrwork.Run
	ended    []bbrwork.RunEnd
	// starts and renewals count the orders that were sent, also the lost ones.
	starts, renewals int
	// loseStart and loseRenewal report whether the order of that number, from 1, is lost
	// on its way.
	loseStart, loseRenewal func(number int) bool
	// startAnswersLost means that lost starts are carried out, and only their answers lost.
	startAnswersLost bool
	// idleFor is how long the upstream is idle before there is work.
	idleFor time.Duration
	// confirmed reports whether the owner's claim is confirmed; nil means that it is.
	confirmed func(now time.Time) bool
}

const (
	// roundTrip is the time that an answered order takes.
	roundTrip = 20 * time.Millisecond
	// lostStartTimeout is when a start without an answer is given up.
	lostStartTimeout = 800 * time.Millisecond
)

// expire ends the runs if their lease has expired.
func (u *leasedUpstream) expire(now time.Time) {
	if now.Sub(u.bootedAt) <= u.lease {
		return
	}
	for _, run := range u.running {
		u.ended = append(u.ended, bbrwork.RunEnd{Sequence: int64(len(u.ended) + 1), Unit: run.Unit, Run: run.Number, Outcome: bbrwork.OutcomeLeaseExpired})
	}
	u.running = nil
}

// lapsed returns how many runs have ended with their lease.
func (u *leasedUpstream) lapsed(now time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expire(now)
	return len(u.ended)
}

func (u *leasedUpstream) start(_ context.Context, _ bbrwork.Upstream, start bbrorder.Start) (time.Duration, error) {
	u.mu.Lock()
	u.starts++
	lost := u.loseStart(u.starts)
	if !lost || u.startAnswersLost {
		u.expire(time.Now())
		u.lease = max(u.lease, start.Until)
		u.running = append(u.running, bbrwork.Run{Unit: start.Unit, Number: start.Run, Percent: 100})
	}
	u.mu.Unlock()
	if lost {
		time.Sleep(lostStartTimeout)
		return 0, bbrorder.ErrAnswerLost
	}
	time.Sleep(roundTrip)
	return time.Since(u.bootedAt), nil
}

func (u *leasedUpstream) renew(_ context.Context, _ bbrwork.Upstream, renewal bbrorder.Renewal) (bbrwork.Listing, error) {
	u.mu.Lock()
	u.renewals++
	lost := u.loseRenewal(u.renewals)
	if !lost {
		u.expire(time.Now())
		u.lease = max(u.lease, renewal.Until)
	}
	u.mu.Unlock()
	if lost {
		time.Sleep(renewal.Wait + answerTimeout(renewal))
		return bbrwork.Listing{}, bbrorder.ErrAnswerLost
	}
	time.Sleep(roundTrip)
	for waitEnd := time.Now().Add(renewal.Wait); time.Now().Before(waitEnd) && u.lapsed(time.Now()) <= int(renewal.Acknowledged); {
		time.Sleep(10 * time.Millisecond)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expire(time.Now())
	return bbrwork.Listing{Clock: time.Since(u.bootedAt), StartMillis: 1000, Running: u.running, Ended: u.ended[renewal.Acknowledged:]}, nil
}

// answerTimeout returns how much longer than it waits the client lets a renewal take.
func answerTimeout(renewal bbrorder.Renewal) time.Duration { return renewal.AnswerTimeout }

// runUnits runs an owner with one upstream and a job with long-running work units for
// some time.
func runUnits(t *testing.T, u *leasedUpstream, units int, length time.Duration) {
	u.bootedAt = time.Now()
	o := newLoopOwner(0)
	if u.confirmed != nil {
		o.Confirmed = u.confirmed
	}
	o.renewers = make(map[string]*leaseRenewer)
	o.Client = &bbrorder.Client{Start: u.start, Renew: u.renew}
	o.Registered = func(_ bbrwork.Shard, known bbrregistry.Version) ([]bbrwork.Upstream, bbrregistry.Version) {
		return nil, known
	}
	o.scheduler = bbrscheduler.New(o.Shard, 7, bbrscheduler.Timing{
		RunLease: 4500 * time.Millisecond, MaxRunLease: 6 * time.Second, StartTimeout: 1500 * time.Millisecond, Handover: 2200 * time.Millisecond,
	}, true, time.Now())
	o.scheduler.SetConfig(bbrwork.NewConfig(1, []*bbrwork.Queue{{Name: "proofs", Service: "press", Attempts: 3, Stretch: 1.6}}, nil, bbrwork.Limits{}))
	o.scheduler.RegisterUpstream(bbrwork.Upstream{
		Incarnation: bbrwork.Incarnation{ID: "i-1", StartMillis: 1000}, Service: "press", Address: netip.MustParseAddrPort("10.0.0.1:80"),
		Capacity: bbrwork.Resources{MilliCPU: 8000, MemoryMB: 8000},
	}, time.Now())
	step := bbrwork.Step{Count: units, LongRunning: true, Need: bbrwork.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second}
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	o.wg.Go(func() { o.loop(ctx) })
	o.wg.Go(func() { storeAll(ctx, o) })
	time.Sleep(time.Second + u.idleFor)
	o.mu.Lock()
	o.scheduler.AddJob(&bbrwork.Job{ID: "00000000000000a1", Queue: "proofs", Service: "press", Cell: 2, Spec: "x", Steps: []bbrwork.Step{step}, Accepted: time.Now()}, 0, nil, time.Now())
	o.mu.Unlock()
	o.requestPlan()
	o.wg.Wait()
}

// storeAll stores what the owner has to store, until ctx ends.
func storeAll(ctx context.Context, o *Owner) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-o.flushNow:
			o.mu.Lock()
			o.scheduler.ApplyStored(o.scheduler.Batch(1000, time.Now()), 1, time.Now())
			if o.nextStored != nil {
				close(o.nextStored)
				o.nextStored = nil
			}
			o.mu.Unlock()
		}
	}
}

func loseNone(int) bool { return false }

// TestOneLostRenewalAfterAStartDoesNotLetRunsLapse guards against a first renewal that
// waits, and is given up, so long that the short lease of the starts expires meanwhile.
func TestOneLostRenewalAfterAStartDoesNotLetRunsLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &leasedUpstream{loseStart: loseNone}
		lost := false
		u.loseRenewal = func(int) bool {
			first := u.starts > 0 && !lost
			lost = lost || first
			return first
		}
		runUnits(t, u, 3, 8*time.Second)
		require.True(t, lost)
		require.Zero(t, u.lapsed(time.Now()))
		require.Equal(t, 3, u.starts)
	})
}

// loseAfterStart returns a function that loses count renewals in a row, beginning with the
// one that is sent after that many others since the first start.
func loseAfterStart(u *leasedUpstream, after, count int) func(int) bool {
	beforeStart := -1
	return func(number int) bool {
		if u.starts == 0 {
			return false
		}
		if beforeStart < 0 {
			beforeStart = number - 1
		}
		number -= beforeStart
		return number > after && number <= after+count
	}
}

// TestLostRenewalsInARowDoNotLetRunsLapse guards against runs that lapse because a
// renewal is lost twice, right after the start or later.
func TestLostRenewalsInARowDoNotLetRunsLapse(t *testing.T) {
	for after := range 6 {
		synctest.Test(t, func(t *testing.T) {
			u := &leasedUpstream{loseStart: loseNone}
			u.loseRenewal = loseAfterStart(u, after, 2)
			runUnits(t, u, 3, 12*time.Second)
			require.Zero(t, u.lapsed(time.Now()), "lost renewals %d and %d after the start", after+1, after+2)
		})
	}
}

// TestRenewalsOfABusyUpstreamArePacedByTheirWait guards against an owner that renews an
// upstream without lost answers more often than about once a second.
func TestRenewalsOfABusyUpstreamArePacedByTheirWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &leasedUpstream{loseStart: loseNone, loseRenewal: loseNone}
		runUnits(t, u, 3, 21*time.Second)
		require.Zero(t, u.lapsed(time.Now()))
		require.InDelta(t, 20, u.renewals, 3)
	})
}

// TestEveryOtherRenewalLostDoesNotLetRunsLapse guards against runs that lapse although every
// other renewal, or every third, reaches their upstream, since the one that repeats a lost
// renewal does not extend the lease.
func TestEveryOtherRenewalLostDoesNotLetRunsLapse(t *testing.T) {
	for every := 2; every <= 3; every++ {
		for first := range every {
			synctest.Test(t, func(t *testing.T) {
				u := &leasedUpstream{loseStart: loseNone}
				u.loseRenewal = func(number int) bool { return u.starts > 0 && number%every != first }
				runUnits(t, u, 3, 20*time.Second)
				require.Zero(t, u.lapsed(time.Now()), "one in %d arrives", every)
			})
		}
	}
}

// TestOwnerWithoutConfirmedClaimPacesItsQueries guards against an owner that queries each
// upstream with runs without a pause while the store does not confirm its claim.
func TestOwnerWithoutConfirmedClaimPacesItsQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &leasedUpstream{loseStart: loseNone, loseRenewal: loseNone}
		begin := time.Now()
		u.confirmed = func(now time.Time) bool { return now.Sub(begin) < 3*time.Second || now.Sub(begin) > 6*time.Second }
		runUnits(t, u, 3, 8*time.Second)
		require.Zero(t, u.lapsed(time.Now()))
		require.Less(t, u.renewals, 40)
	})
}

// TestLostAnswerOfTheFirstStartDoesNotLetItsRunLapse guards against a run on an upstream that
// was idle whose lease is renewed only once its start is given up, even if a renewal is lost
// as well.
func TestLostAnswerOfTheFirstStartDoesNotLetItsRunLapse(t *testing.T) {
	for idleFor := time.Duration(0); idleFor < idleCheckInterval; idleFor += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			u := &leasedUpstream{loseStart: func(number int) bool { return number == 1 }, startAnswersLost: true, idleFor: idleFor}
			u.loseRenewal = loseAfterStart(u, 0, 1)
			runUnits(t, u, 1, 5*time.Second)
			require.Zero(t, u.lapsed(time.Now()), "idle for %v", idleFor)
			require.Equal(t, 1, u.starts)
		})
	}
}
