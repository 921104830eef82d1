package bbrowner

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const (
	// maxDetectionTime is the part of the 6 s for which a long-running work unit may be
	// without a run that the owner has to release its shard. The others are 2 s for the end
	// of the owner and the removal of its claim, 0.75 s for the successor's claim, 1 s to
	// load the shard and list the runs, and 1 s for the start.
	maxDetectionTime = time.Second
	// lateFrom is how long the owner has had its shard when it becomes late.
	lateFrom = 10 * time.Second
)

// lateScene is the owner of a long-running work unit, and the unit's upstream. All times are
// passed to it.
type lateScene struct {
	*testing.T
	owner     *Owner
	relief    *bbrclaim.Relief
	decisions []bbrclaim.Decision
	start     time.Time
	// runEnd is when the run's lease runs out.
	runEnd time.Time
}

func (s *lateScene) upstream() bbrwork.Upstream {
	return bbrwork.Upstream{
		Incarnation: bbrwork.Incarnation{ID: "i-1", StartMillis: 1000}, Service: "press",
		Address: netip.MustParseAddrPort("10.0.0.1:80"), Capacity: bbrwork.Resources{MilliCPU: 4000, MemoryMB: 8000},
	}
}

// newLateScene returns an owner at one of several equal entries, whose work unit runs.
func newLateScene(t *testing.T) *lateScene {
	s := &lateScene{T: t, start: time.Unix(1000, 0)}
	shard := bbrwork.Shard{Service: "press"}
	s.relief = newTestRelief(t, s.start, func(decision bbrclaim.Decision) { s.decisions = append(s.decisions, decision) })
	timing := bbrscheduler.Timing{
		RunLease: 4500 * time.Millisecond, MaxRunLease: 6 * time.Second, StartTimeout: 1500 * time.Millisecond,
		Handover: bbrclaim.ConfirmationTTL, StopTimeout: time.Second, RecoveryTime: 4 * time.Second, RemoteDataFactor: 3,
	}
	s.owner = &Owner{
		Held: bbrclaim.HeldClaim{Name: shard.String(), Token: 7}, Shard: shard, Confirmed: func(time.Time) bool { return true },
		startedAt: s.start, scheduler: bbrscheduler.New(shard, 7, timing, true, s.start),
	}
	s.owner.HandOverOverdue = func(ownedSince, now time.Time) bool { return s.relief.HandOverOverdue(shard.String(), ownedSince, now) }
	sched := s.owner.scheduler
	sched.SetConfig(bbrwork.NewConfig(1, []*bbrwork.Queue{{Name: "proofs", Service: "press", Attempts: 3, Stretch: 1.6, Objective: time.Second}}, nil, bbrwork.Limits{}))
	sched.RegisterUpstream(s.upstream(), s.start)
	s.list(s.start, nil)
	step := bbrwork.Step{Count: 1, Need: bbrwork.Resources{MilliCPU: 1000, MemoryMB: 100}, LongRunning: true}
	sched.AddJob(&bbrwork.Job{ID: "00000000000000a1", Queue: "proofs", Service: "press", Steps: []bbrwork.Step{step}, Accepted: s.start}, 0, nil, s.start)
	for range 2 { // The upstream is stored first, and then the start.
		require.Empty(t, sched.Plan(true, s.start).Starts)
		sched.ApplyStored(sched.Batch(1000, s.start), 1, s.start)
	}
	starts := sched.Plan(true, s.start.Add(time.Millisecond)).Starts
	require.Len(t, starts, 1)
	sched.ApplyStartResult(starts[0], time.Millisecond, nil, s.start.Add(time.Millisecond))
	return s
}

// newTestRelief returns the relief of one of three equal entries that have a claim each.
func newTestRelief(t *testing.T, now time.Time, count func(bbrclaim.Decision)) *bbrclaim.Relief {
	directory := &bbrclaim.Directory{}
	var items []bbrkv.Item
	for i, entry := range []string{"e-1", "e-2", "e-3"} {
		value, err := json.Marshal(map[string]any{"entry": entry, "milliCPU": 800})
		require.NoError(t, err)
		session := &bbrclaim.Session{Entry: entry}
		items = append(items, bbrkv.Item{Key: session.Key(), Value: value, Revision: bbrkv.Revision(i + 1), Created: bbrkv.Revision(i + 1)})
	}
	directory.Snapshot(items, 3, now)
	return &bbrclaim.Relief{Entry: "e-1", Directory: directory, Count: count}
}

// at returns the time after the claim.
func (s *lateScene) at(age time.Duration) time.Time { return s.start.Add(age) }

// list makes the upstream answer to a renewal at once.
func (s *lateScene) list(now time.Time, running []bbrwork.Run) {
	listing := bbrwork.Listing{Clock: now.Sub(s.start) + time.Millisecond, StartMillis: 1000, Running: running}
	s.owner.scheduler.ApplyListing(s.upstream().Incarnation, &listing, now, now)
}

func (s *lateScene) running() []bbrwork.Run {
	return []bbrwork.Run{{Unit: bbrwork.Unit{Job: "00000000000000a1"}, Number: 1}}
}

// renew sends a renewal, and reports whether it extends the lease.
func (s *lateScene) renew(now time.Time) bool {
	plan, known := s.owner.scheduler.PlanRenewal("i-1", s.owner.Confirmed(now), now)
	require.True(s, known)
	if plan.LeaseUntil > 0 {
		s.runEnd = s.start.Add(plan.LeaseUntil)
	}
	return plan.LeaseUntil > 0
}

// runInTime plays the first 10 s, with rounds and renewals in time.
func (s *lateScene) runInTime() {
	for age := time.Duration(0); age <= lateFrom; age += planInterval {
		require.False(s, s.owner.mustHandOver(s.at(age)))
		if age%time.Second == 0 {
			require.True(s, s.renew(s.at(age)))
			s.list(s.at(age), s.running())
		}
	}
}

// seriesOfLateRounds returns by how much the rounds begin late, by turns.
var seriesOfLateRounds = []time.Duration{400 * time.Millisecond, 800 * time.Millisecond, 600 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond}

// TestOwnerThatIsLateForItsLeasesReleasesItsShard guards against an owner that keeps its shard by a renewed session while its work's leases run out.
func TestOwnerThatIsLateForItsLeasesReleasesItsShard(t *testing.T) {
	for _, test := range []struct {
		name string
		// readLate makes the owner read an answer after the call's timeout instead of
		// sending no renewal.
		readLate bool
	}{{name: "no renewal is sent"}, {name: "answers are read too late", readLate: true}} {
		t.Run(test.name, func(t *testing.T) {
			s := newLateScene(t)
			s.runInTime()
			released := time.Time{}
			now := s.at(lateFrom)
			for round := 0; released.IsZero() && round < 40; round++ {
				now = now.Add(planInterval + seriesOfLateRounds[round%len(seriesOfLateRounds)])
				if test.readLate {
					s.readAnswersTooLate(round, now)
				}
				if s.owner.mustHandOver(now) {
					released = now
				}
			}
			require.False(t, released.IsZero(), "the shard is not released: %v", s.decisions)
			require.LessOrEqual(t, released.Sub(s.runEnd), maxDetectionTime, "after the end of the run's lease")
		})
	}
}

// readAnswersTooLate makes the owner send a renewal in every fifth round, and read its answer
// over 2 s later, after the call's timeout, so that it counts as lost.
func (s *lateScene) readAnswersTooLate(round int, now time.Time) {
	switch round % 5 {
	case 0:
		require.Equal(s, round == 0, s.renew(now), "only the first renewal extends the lease")
	case 4:
		s.owner.scheduler.ApplyRenewalFailure(s.upstream().Incarnation, bbrorder.ErrAnswerLost, now)
	}
}

// TestLateOwnerKeepsItsShardWithoutHarmOfItsOwn guards against hand-overs for lateness that harms no work, and for leases that run out because answers are lost or the store is away, which no other entry would change.
func TestLateOwnerKeepsItsShardWithoutHarmOfItsOwn(t *testing.T) {
	const late = 700 * time.Millisecond
	for _, test := range []struct {
		name string
		// pause returns the pause before a round.
		pause func(round int) time.Duration
		// renews, answered and confirmed are whether the owner sends renewals, the upstream
		// answers them, and the claim is confirmed.
		renews, answered, confirmed bool
	}{
		{name: "late, but renews in time", pause: func(int) time.Duration { return late }, renews: true, answered: true, confirmed: true},
		{name: "answers lost", pause: func(int) time.Duration { return planInterval }, renews: true, confirmed: true},
		{name: "late, and answers lost", pause: func(int) time.Duration { return late }, renews: true, confirmed: true},
		{name: "late, and claim not confirmed", pause: func(int) time.Duration { return late }, renews: true, answered: true},
		{name: "no renewals, but rounds in time", pause: func(int) time.Duration { return planInterval }, confirmed: true},
		{name: "paused once", renews: true, answered: true, confirmed: true, pause: func(round int) time.Duration {
			if round == 0 {
				return 5 * time.Second
			}
			return planInterval
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newLateScene(t)
			s.runInTime()
			s.owner.Confirmed = func(time.Time) bool { return test.confirmed }
			now := s.at(lateFrom)
			for round := range 60 {
				now = now.Add(test.pause(round))
				require.False(t, s.owner.mustHandOver(now), "round %d", round)
				if test.renews {
					s.renewOnce(now, test.answered)
				}
			}
			require.Empty(t, s.decisions)
			if !test.confirmed {
				s.owner.Confirmed = func(time.Time) bool { return true }
				require.False(t, s.owner.mustHandOver(now.Add(late)), "the store is back")
			}
		})
	}
}

// renewOnce sends a renewal, which is answered, or fails within the call's timeout.
func (s *lateScene) renewOnce(now time.Time, answered bool) {
	s.renew(now)
	if answered {
		s.list(now, s.running())
		return
	}
	s.owner.scheduler.ApplyRenewalFailure(s.upstream().Incarnation, bbrorder.ErrAnswerLost, now.Add(90*time.Millisecond))
}

// TestOverdueOwnerAsksAgain guards against an owner that keeps its shard for good because it may not hand over at first, and against one that asks in each round.
func TestOverdueOwnerAsksAgain(t *testing.T) {
	s := newLateScene(t)
	s.runInTime()
	asked := 0
	s.owner.HandOverOverdue = func(ownedSince, _ time.Time) bool {
		require.Equal(t, s.start, ownedSince)
		asked++
		return false
	}
	for round := range 20 {
		require.False(t, s.owner.mustHandOver(s.at(lateFrom+time.Duration(round)*500*time.Millisecond)))
	}
	require.InDelta(t, 6, asked, 1, "once a second from 3.5 to 9.5 s")
}

// TestOwnerThatIsLateByTurnsReleasesItsShard guards against rounds in time between late ones that hide that the owner is too late for its leases.
func TestOwnerThatIsLateByTurnsReleasesItsShard(t *testing.T) {
	for _, late := range []time.Duration{400 * time.Millisecond, 800 * time.Millisecond} {
		for period := 1; period <= 3; period++ {
			s := newLateScene(t)
			s.runInTime()
			now, released := s.at(lateFrom), false
			for round := 0; !released && now.Before(s.runEnd.Add(maxDetectionTime)); round++ {
				now = now.Add(planInterval)
				if round%period == 0 {
					now = now.Add(late)
				}
				released = s.owner.mustHandOver(now)
			}
			require.True(t, released, "every round of %d is %v late", period, late)
		}
	}
}
