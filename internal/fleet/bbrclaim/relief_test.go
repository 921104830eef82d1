package bbrclaim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const roundInterval = 100 * time.Millisecond

// TestLatenessNeedsSecondsOfLateRounds guards against a hand-over after one long pause or a
// short burst of work.
func TestLatenessNeedsSecondsOfLateRounds(t *testing.T) {
	tests := []struct {
		name string
		// pause returns the pause after each round.
		pause func(round int) time.Duration
		late  bool
	}{
		{name: "in time", pause: func(int) time.Duration { return roundInterval }},
		{name: "woken early", pause: func(int) time.Duration { return 10 * time.Millisecond }},
		{name: "the process was paused", pause: func(round int) time.Duration {
			if round == 10 {
				return time.Minute
			}
			return roundInterval
		}},
		{name: "every fifth round late", pause: func(round int) time.Duration {
			if round%5 == 0 {
				return 350 * time.Millisecond
			}
			return roundInterval
		}},
		{name: "a burst", pause: func(round int) time.Duration {
			if round < 6 {
				return 600 * time.Millisecond
			}
			return roundInterval
		}},
		{name: "slow", pause: func(int) time.Duration { return 400 * time.Millisecond }, late: true},
		{name: "mostly slow", pause: func(round int) time.Duration { return time.Duration(100+400*(round%2)) * time.Millisecond }, late: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var lateness Lateness
			now, late := time.Unix(1000, 0), false
			for round := range 200 {
				late = lateness.Record(now, roundInterval) || late
				now = now.Add(test.pause(round))
			}
			require.Equal(t, test.late, late)
		})
	}
}

func TestHandOverIsBounded(t *testing.T) {
	require.Equal(t, KeptRecent, decideHandOver(minOwnedTime-1, time.Hour, true))
	require.Equal(t, KeptAfterAnother, decideHandOver(minOwnedTime, handOverPause-1, true))
	require.Equal(t, KeptNoSpare, decideHandOver(minOwnedTime, handOverPause, false))
	require.Equal(t, HandOverLate, decideHandOver(minOwnedTime, handOverPause, true))
}

// TestHandOverWaitsForOthers guards against entries that are all slow and release all their
// shards within a short time.
func TestHandOverWaitsForOthers(t *testing.T) {
	now, d := time.Unix(1000, 0), &Directory{}
	d.Snapshot([]bbrkv.Item{
		registered(t, "e0", 1, entryRecord{Entry: "e0", MilliCPU: 400}),
		registered(t, "e1", 2, entryRecord{Entry: "e1", MilliCPU: 400}),
		{Key: ClaimKey("press/1"), Revision: 3, Created: 3, Value: marshal(t, claimRecord{Entry: "e1"})},
	}, 3, now)
	d.Change(bbrkv.Item{Key: ClaimKey("press/1"), Revision: 4, Deleted: true}, now)
	r := &Relief{Entry: "e0", Directory: d, Count: func(Decision) {}}
	since := now.Add(-time.Hour)
	require.False(t, r.HandOver("press/0", since, now.Add(handOverPause-1)), "another entry's claim has just ended")
	require.True(t, r.HandOver("press/0", since, now.Add(handOverPause)))
	require.False(t, r.HandOver("press/2", since, now.Add(2*handOverPause-1)), "this entry has just handed over")
	require.True(t, r.HandOver("press/2", since, now.Add(2*handOverPause)))
}

// TestLeadershipDoesNotDelayShards guards against a shard that stays with a slow entry since the fleet leadership has just been handed over.
func TestLeadershipDoesNotDelayShards(t *testing.T) {
	now, d := time.Unix(1000, 0), &Directory{}
	d.Snapshot([]bbrkv.Item{registered(t, "e1", 1, entryRecord{Entry: "e1", MilliCPU: 400})}, 1, now)
	d.RecordOwnClaim(LeadershipName, Claim{Entry: "e0", Revision: 2})
	r := &Relief{Entry: "e0", Directory: d, Count: func(Decision) {}}
	require.False(t, r.HandOver(LeadershipName, now.Add(1-minOwnedTime), now))
	require.True(t, r.HandOver(LeadershipName, now.Add(-minOwnedTime), now))
	require.True(t, r.leaves(LeadershipName, now.Add(deferral-1)))
	d.RecordOwnEnd(LeadershipName, 2, now)
	require.True(t, r.HandOverOverdue("press/0", now.Add(-minOwnedTime), now))
}

// TestSpareEntry checks which entries count as able to take a shard over.
func TestSpareEntry(t *testing.T) {
	tests := []struct {
		name string
		// milliCPU and claims are those of the slow entry and of the other one.
		milliCPU, claims [2]int
		want             bool
	}{
		{name: "alone", milliCPU: [2]int{800, 0}, claims: [2]int{2, 0}},
		{name: "idle", milliCPU: [2]int{800, 800}, claims: [2]int{2, 0}, want: true},
		{name: "as many claims", milliCPU: [2]int{400, 400}, claims: [2]int{2, 2}, want: true},
		{name: "many more claims", milliCPU: [2]int{400, 400}, claims: [2]int{1, 4}},
		{name: "small", milliCPU: [2]int{800, 192}, claims: [2]int{1, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now, d := time.Unix(1000, 0), &Directory{}
			d.Snapshot(nil, 0, now)
			for i, milliCPU := range test.milliCPU {
				name := fmt.Sprintf("e%d", i)
				if milliCPU > 0 {
					d.Change(registered(t, name, 1, entryRecord{Entry: name, MilliCPU: milliCPU}), now)
				}
				for claim := range test.claims[i] {
					d.RecordOwnClaim(fmt.Sprintf("press/%d%d", i, claim), Claim{Entry: name, Revision: 3})
				}
			}
			require.Equal(t, test.want, d.hasSpareEntry("e0"))
		})
	}
}

// slowFleet is a fleet of entries that claim shards from one store.
type slowFleet struct {
	store    *claimStore
	claimers []*Claimer
	// slow has the entries whose owners' rounds are late.
	slow map[string]bool
	// overdue means that the leases of a slow owner's runs run out.
	overdue bool
	// unloaded means that slow owners get nothing of the shards that they load.
	unloaded bool

	mu sync.Mutex
	// owners has the entries that owned each shard, in order.
	owners map[string][]string
	// claimedAt has when they began, and releasedAt when the last owner ended.
	claimedAt  map[string][]time.Time
	releasedAt map[string]time.Time
	// longestGap is the longest time that a shard had no owner.
	longestGap time.Duration
}

func newSlowFleet(t *testing.T, entries int, enabled bool) *slowFleet {
	fleet := &slowFleet{store: &claimStore{revision: 10, items: make(map[string]bbrkv.Item)}, slow: make(map[string]bool), owners: make(map[string][]string),
		claimedAt: make(map[string][]time.Time), releasedAt: make(map[string]time.Time)}
	for i := range entries {
		name := fmt.Sprintf("e%d", i)
		session := &Session{Store: &bbrkv.Store{Commit: fleet.store.commit}, Entry: name, Incarnation: name}
		revision := bbrkv.Revision(i + 1)
		fleet.store.items[session.Key()] = bbrkv.Item{Key: session.Key(), Revision: revision, Created: revision, Value: marshal(t, entryRecord{Entry: name, Incarnation: name, Lease: bbrkv.Lease(i + 1), MilliCPU: 400})}
		session.setLease(bbrkv.Lease(i+1), revision, time.Now().Add(time.Hour))
		c := &Claimer{Session: session, Directory: &Directory{}, Names: func() []string { return []string{"press/0", "press/1", "press/2", "press/3"} }}
		if enabled {
			c.Relief = &Relief{Entry: name, Directory: c.Directory, Count: func(Decision) {}}
		}
		c.RunOwner = func(ctx context.Context, held HeldClaim) { fleet.own(ctx, c, held) }
		fleet.claimers = append(fleet.claimers, c)
	}
	return fleet
}

// own plans as an owner does: its rounds are late while its entry is slow.
func (f *slowFleet) own(ctx context.Context, c *Claimer, held HeldClaim) {
	defer c.Release(held)
	since := time.Now()
	f.mu.Lock()
	f.owners[held.Name] = append(f.owners[held.Name], c.Session.Entry)
	f.claimedAt[held.Name] = append(f.claimedAt[held.Name], since)
	if released, ok := f.releasedAt[held.Name]; ok {
		f.longestGap = max(f.longestGap, since.Sub(released))
	}
	f.mu.Unlock()
	defer f.recordRelease(held.Name)
	var lateness, overdue Lateness
	advancedAt := since
	for ctx.Err() == nil {
		if f.unloaded && c.Relief.HandOverUnloaded(held.Name, time.Since(advancedAt), since, time.Now()) {
			return
		}
		if f.overdue && overdue.RecordHarmful(time.Now(), roundInterval) && c.Relief.HandOverOverdue(held.Name, since, time.Now()) {
			return
		}
		if !f.overdue && !f.unloaded && c.Relief != nil && lateness.Record(time.Now(), roundInterval) {
			lateness.Reset()
			if c.Relief.HandOver(held.Name, since, time.Now()) {
				return
			}
		}
		f.mu.Lock()
		pause := roundInterval
		if f.slow[c.Session.Entry] {
			pause = 500 * time.Millisecond
		} else {
			advancedAt = time.Now()
		}
		f.mu.Unlock()
		time.Sleep(pause)
	}
}

// recordRelease records that the shard has no owner from now on.
func (f *slowFleet) recordRelease(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.releasedAt[name] = time.Now()
}

// play runs the claimers for some time.
func (f *slowFleet) play(ctx context.Context, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(claimInterval) {
		for _, c := range f.claimers {
			f.store.mu.Lock()
			revision := f.store.revision
			f.store.mu.Unlock()
			c.Directory.Snapshot(f.store.list(), revision, time.Now())
			c.round(ctx, time.Now())
			synctest.Wait()
		}
	}
}

// handOvers returns how often each shard has changed its owner.
func (f *slowFleet) handOvers() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := make(map[string]int)
	for name, owners := range f.owners {
		if len(owners) > 1 {
			counts[name] = len(owners) - 1
		}
	}
	return counts
}

// playSlowFleet runs a fleet whose named entries are slow after a while.
func playSlowFleet(t *testing.T, entries int, enabled bool, length time.Duration, slow ...string) *slowFleet {
	return playFleet(t, entries, enabled, false, length, slow...)
}

// playFleet is playSlowFleet; with overdue, the slow owners ask by HandOverOverdue.
func playFleet(t *testing.T, entries int, enabled, overdue bool, length time.Duration, slow ...string) *slowFleet {
	return playArranged(t, entries, enabled, func(fleet *slowFleet) { fleet.overdue = overdue }, length, slow...)
}

// playArranged is playSlowFleet for a fleet that arrange has changed.
func playArranged(t *testing.T, entries int, enabled bool, arrange func(*slowFleet), length time.Duration, slow ...string) *slowFleet {
	var fleet *slowFleet
	synctest.Test(t, func(t *testing.T) {
		fleet = newSlowFleet(t, entries, enabled)
		arrange(fleet)
		ctx, cancel := context.WithCancel(t.Context())
		fleet.play(ctx, 2*time.Minute)
		require.Len(t, fleet.owners, 4)
		require.Empty(t, fleet.handOvers(), "nothing moves while no entry is slow")
		fleet.mu.Lock()
		for _, entry := range slow {
			fleet.slow[entry] = true
		}
		fleet.mu.Unlock()
		fleet.play(ctx, length)
		for _, c := range fleet.claimers {
			require.LessOrEqual(t, c.Count(), 4)
		}
		cancel()
		for _, c := range fleet.claimers {
			c.wg.Wait()
		}
	})
	return fleet
}

// TestSlowOwnerHandsOverOnce guards against a shard that stays with an entry that cannot keep
// up with it, and against a shard that returns to it or moves on from its new owner.
func TestSlowOwnerHandsOverOnce(t *testing.T) {
	require.Empty(t, playSlowFleet(t, 4, false, 30*time.Second, "e1").handOvers(), "disabled")

	fleet := playSlowFleet(t, 4, true, 5*time.Minute, "e1")
	counts := fleet.handOvers()
	require.Len(t, counts, 1, "the slow entry had one shard")
	for name, owners := range fleet.owners {
		require.LessOrEqual(t, len(owners), 2, name)
		require.False(t, len(owners) == 2 && (owners[0] != "e1" || owners[1] == "e1"), "%s: %v", name, owners)
	}
}

// TestShardsDoNotCirculateInSlowFleet guards against shards that move from one slow entry to
// another all the time.
func TestShardsDoNotCirculateInSlowFleet(t *testing.T) {
	const minutes = 3
	fleet := playSlowFleet(t, 4, true, minutes*time.Minute, "e0", "e1", "e2", "e3")
	for name, count := range fleet.handOvers() {
		require.LessOrEqual(t, count, minutes, name)
	}
}

// TestOverdueOwnerHandsOverSoon guards against a shard that stays for a minute with an entry that is too late for the leases of its runs, and against one that returns to it or moves on.
func TestOverdueOwnerHandsOverSoon(t *testing.T) {
	fleet := playFleet(t, 4, true, true, 8*time.Second, "e1")
	counts := fleet.handOvers()
	require.Len(t, counts, 1, "the slow entry had one shard")
	for name, owners := range fleet.owners {
		require.LessOrEqual(t, len(owners), 2, name)
		require.False(t, len(owners) == 2 && (owners[0] != "e1" || owners[1] == "e1"), "%s: %v", name, owners)
	}
	require.LessOrEqual(t, fleet.longestGap, time.Second)
}

// TestShardsOfOverdueOwnersDoNotCirculate guards against shards that move from one slow entry to another all the time, or have no owner because all leave them to others.
func TestShardsOfOverdueOwnersDoNotCirculate(t *testing.T) {
	for _, slow := range [][]string{{"e0", "e1"}, {"e0", "e1", "e2", "e3"}} {
		fleet := playFleet(t, len(slow), true, true, 5*time.Minute, slow...)
		for name, claimed := range fleet.claimedAt {
			for i := range claimed {
				moves := 0
				for _, at := range claimed[max(1, i):] {
					if at.Sub(claimed[i]) < minOwnedTime {
						moves++
					}
				}
				require.LessOrEqual(t, moves, 1, "moves of %s within a minute: %v", name, claimed)
			}
		}
		require.NotEmpty(t, fleet.handOvers())
		require.LessOrEqual(t, fleet.longestGap, time.Second, "%d entries", len(slow))
	}
}

// TestOverdueSuccessorOfALostOwnerHandsOver guards against a slow successor that keeps its shard because its predecessor, or owners of other shards, were lost shortly before.
func TestOverdueSuccessorOfALostOwnerHandsOver(t *testing.T) {
	now, d := time.Unix(1000, 0), &Directory{}
	d.Snapshot([]bbrkv.Item{registered(t, "e1", 1, entryRecord{Entry: "e1", Lease: 7, MilliCPU: 400}), registered(t, "e2", 2, entryRecord{Entry: "e2", Lease: 8, MilliCPU: 400})}, 2, now)
	for i, name := range []string{"press/0", "press/1"} {
		d.RecordOwnClaim(name, Claim{Entry: "e1", Revision: bbrkv.Revision(3 + i), Lease: 7})
		d.RecordOwnEnd(name, bbrkv.Revision(3+i), now)
	}
	r := &Relief{Entry: "e0", Directory: d, Count: func(Decision) {}}
	at := now.Add(minOverdueOwnedTime)
	require.False(t, r.HandOverOverdue("press/0", now, at), "the owner before has handed the shard over")
	d.Change(bbrkv.Item{Key: (&Session{Entry: "e1"}).Key(), Revision: 9, Deleted: true}, now)
	require.False(t, r.HandOverOverdue("press/0", now, at.Add(-1)))
	require.True(t, r.HandOverOverdue("press/0", now, at))
	require.False(t, r.HandOverOverdue("press/1", now, at.Add(handOverPause-1)), "one shard at a time")
	require.True(t, r.HandOverOverdue("press/1", now, at.Add(handOverPause)))
}

// TestOverdueHandOverIsBounded guards against overdue owners that hand over too early, right after another hand-over, or without an entry that can take the shard.
func TestOverdueHandOverIsBounded(t *testing.T) {
	require.Equal(t, KeptRecent, decideOverdue(minOverdueOwnedTime-1, time.Hour, false, true))
	require.Equal(t, HandOverOverdue, decideOverdue(minOverdueOwnedTime, handOverPause, false, true))
	require.Equal(t, KeptRecent, decideOverdue(minOwnedTime-1, time.Hour, true, true))
	require.Equal(t, HandOverOverdue, decideOverdue(minOwnedTime, handOverPause, true, true))
	require.Equal(t, KeptAfterAnother, decideOverdue(time.Hour, handOverPause-1, false, true))
	require.Equal(t, KeptNoSpare, decideOverdue(time.Hour, time.Hour, false, false))
}

// TestLossIsNoHandOver guards against the successor of a lost entry that has to keep its shard for a minute, and against one that follows a hand-over and need not.
func TestLossIsNoHandOver(t *testing.T) {
	now := time.Unix(1000, 0)
	claim := bbrkv.Item{Key: ClaimKey("press/0"), Revision: 5, Created: 5, Lease: 7, Value: marshal(t, claimRecord{Entry: "e0", Incarnation: "x"})}
	entry := registered(t, "e0", 1, entryRecord{Entry: "e0", Incarnation: "x", Lease: 7})
	for name, end := range map[string]func(d *Directory){
		"own end": func(d *Directory) { d.RecordOwnEnd("press/0", 5, now) },
		"watch":   func(d *Directory) { d.Change(bbrkv.Item{Key: claim.Key, Revision: 6, Deleted: true}, now) },
		"list":    func(d *Directory) { d.Snapshot([]bbrkv.Item{entry}, 6, now) },
	} {
		d := &Directory{}
		d.Snapshot([]bbrkv.Item{entry, claim}, 5, now)
		require.False(t, d.handedOver("press/0"), name)
		end(d)
		require.True(t, d.handedOver("press/0"), name)
		d.Change(registered(t, "e0", 7, entryRecord{Entry: "e0", Incarnation: "x", Lease: 8}), now)
		require.False(t, d.handedOver("press/0"), "%s: the session was lost", name)
		d.Change(bbrkv.Item{Key: entry.Key, Revision: 8, Deleted: true}, now)
		require.False(t, d.handedOver("press/0"), "%s: the entry was lost", name)
	}
}

// TestHarmfulLatenessNeedsSeveralLateRounds guards against a process that was paused once and is taken for a slow one, and against one that counts as slow long after it was.
func TestHarmfulLatenessNeedsSeveralLateRounds(t *testing.T) {
	var lateness Lateness
	now := time.Unix(1000, 0)
	lateness.RecordHarmful(now, roundInterval)
	require.False(t, lateness.RecordHarmful(now.Add(5*time.Second), roundInterval))
	now = now.Add(5 * time.Second)
	for range 100 {
		now = now.Add(700 * time.Millisecond)
		lateness.RecordHarmful(now, roundInterval)
	}
	require.True(t, lateness.RecordHarmful(now, roundInterval))
	for range 11 {
		now = now.Add(roundInterval)
		lateness.RecordHarmful(now, roundInterval)
	}
	require.False(t, lateness.RecordHarmful(now, roundInterval))
}

// TestOnlyEntryKeepsItsShards guards against shards without an owner.
func TestOnlyEntryKeepsItsShards(t *testing.T) {
	require.Empty(t, playSlowFleet(t, 1, true, 2*time.Minute, "e0").handOvers())
	require.Empty(t, playFleet(t, 1, true, true, 2*time.Minute, "e0").handOvers())
}

// TestOwnerThatLoadsNothingHandsOver guards against a claim that is kept for good by an owner that gets nothing of its shard, and against one that is given up while its shard arrives, if slowly.
func TestOwnerThatLoadsNothingHandsOver(t *testing.T) {
	unloaded := func(fleet *slowFleet) { fleet.unloaded = true }
	fleet := playArranged(t, 4, true, unloaded, MaxLoadIdleTime+2*time.Second, "e1")
	require.Len(t, fleet.handOvers(), 1, "the entry had one shard")
	for name, owners := range fleet.owners {
		require.LessOrEqual(t, len(owners), 2, name)
		require.False(t, len(owners) == 2 && (owners[0] != "e1" || owners[1] == "e1"), "%s: %v", name, owners)
	}
	require.LessOrEqual(t, fleet.longestGap, time.Second)
	require.Empty(t, playArranged(t, 1, true, unloaded, 2*time.Minute, "e0").handOvers(), "nobody else can take it")

	now, d := time.Unix(1000, 0), &Directory{}
	d.Snapshot([]bbrkv.Item{registered(t, "e1", 1, entryRecord{Entry: "e1", MilliCPU: 400})}, 1, now)
	var decisions []Decision
	r := &Relief{Entry: "e0", Directory: d, Count: func(decision Decision) { decisions = append(decisions, decision) }}
	require.False(t, r.HandOverUnloaded("press/0", MaxLoadIdleTime-1, now.Add(-time.Hour), now), "slow progress is no reason")
	require.Empty(t, decisions)
	require.True(t, r.HandOverUnloaded("press/0", MaxLoadIdleTime, now.Add(-MaxLoadIdleTime), now))
	require.True(t, r.leaves("press/0", now.Add(deferral-1)), "the entry does not claim it again at once")
	require.False(t, r.HandOverUnloaded("press/1", MaxLoadIdleTime, now.Add(-time.Hour), now.Add(handOverPause-1)), "one shard at a time")
	require.Equal(t, []Decision{HandOverUnloaded, KeptAfterAnother}, decisions)
}

// TestShardsThatNobodyLoadsDoNotCirculate guards against shards that move from entry to entry all the time while the store lets nobody load them.
func TestShardsThatNobodyLoadsDoNotCirculate(t *testing.T) {
	require.Equal(t, KeptRecent, decideUnloaded(minOwnedTime-1, time.Hour, true, true))
	require.Equal(t, HandOverUnloaded, decideUnloaded(minOwnedTime, time.Hour, true, true))
	require.Equal(t, KeptNoSpare, decideUnloaded(time.Hour, time.Hour, false, false))
	slow := []string{"e0", "e1", "e2", "e3"}
	fleet := playArranged(t, len(slow), true, func(fleet *slowFleet) { fleet.unloaded = true }, 3*time.Minute, slow...)
	require.NotEmpty(t, fleet.handOvers())
	for name, claimed := range fleet.claimedAt {
		for i := 2; i < len(claimed); i++ {
			require.GreaterOrEqual(t, claimed[i].Sub(claimed[i-1]), minOwnedTime, "%s: %v", name, claimed)
		}
	}
}
