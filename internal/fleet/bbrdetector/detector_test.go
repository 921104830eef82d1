package bbrdetector

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

func TestUnreachableByMajority(t *testing.T) {
	for name, test := range map[string]struct {
		opinions []Reachability
		want     bool
	}{
		"nobody asked":            {nil, false},
		"killed":                  {[]Reachability{Unreachable, Unreachable, Unreachable, Unreachable}, true},
		"its zone cut off":        {[]Reachability{Unreachable, Unreachable, Unreachable, NoAnswer}, true},
		"own zone cut off":        {[]Reachability{Unreachable, Unreachable, NoAnswer, NoAnswer, NoAnswer, NoAnswer}, false},
		"half of the fleet each":  {[]Reachability{Unreachable, NoAnswer}, false},
		"only this link is cut":   {[]Reachability{Unreachable, Unreachable, Reachable}, false},
		"answers the second time": {[]Reachability{Unreachable, Unreachable, Unreachable, Reachable}, false},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, test.want, UnreachableByMajority(test.opinions)) })
	}
}

// TestAtMostOnePartitionRevokesLeases holds that of the sides of a cut at most one ends leases of
// the others, however the fleet falls apart.
func TestAtMostOnePartitionRevokesLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		partitions := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 12).Draw(t, "sides")
		ownerPartition := rapid.IntRange(0, 3).Draw(t, "ownerSide")
		var revoking []int
		for partition := range 4 {
			var reports []Reachability
			for _, other := range partitions {
				report := NoAnswer
				if other == partition {
					report = Unreachable
				}
				if other == partition && partition == ownerPartition {
					report = Reachable
				}
				reports = append(reports, report)
			}
			if UnreachableByMajority(reports) {
				revoking = append(revoking, partition)
			}
		}
		require.LessOrEqual(t, len(revoking), 1)
		require.NotContains(t, revoking, ownerPartition)
	})
}

// testFleet is a directory of entries, of which e1 holds a claim, and who of them is
// reached from where.
type testFleet struct {
	directory *bbrclaim.Directory
	mu        sync.Mutex
	// unreachable has the addresses that nobody reaches, and opinions what the entries
	// say.
	unreachable map[netip.AddrPort]bool
	answers     map[netip.AddrPort]Reachability
	revokedAt   map[bbrkv.Lease]time.Time
	// roundTrip returns the round trip of pings; nil for none. The others then judge by
	// pings of their own.
	roundTrip func(now time.Time) time.Duration
	// refuseConnections means that addresses that are down refuse connections.
	refuseConnections bool
	// revokeFailures is how many more times the store fails to end a lease.
	revokeFailures int
}

const ownerLease = bbrkv.Lease(7)

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7075)
}

func newFleet(t *testing.T, zones int) *testFleet {
	t.Helper()
	var items []bbrkv.Item
	for n := 1; n <= 6; n++ {
		record := fmt.Sprintf(`{"entry":"e%d","zone":"z%d","incarnation":"i%d","lease":%d,"milliCPU":500,"peers":%q}`, n, n%zones, n, int(ownerLease)+n-1, address(n))
		require.True(t, json.Valid([]byte(record)))
		items = append(items, bbrkv.Item{Key: fmt.Sprintf("%sentries/e%d", bbrclaim.FleetPrefix, n), Revision: bbrkv.Revision(n), Value: []byte(record)})
	}
	items = append(items, bbrkv.Item{Key: bbrclaim.ClaimKey("press"), Revision: 10, Created: 10, Lease: ownerLease, Value: []byte(`{"entry":"e1","incarnation":"i1"}`)})
	f := &testFleet{directory: &bbrclaim.Directory{}, unreachable: make(map[netip.AddrPort]bool), answers: make(map[netip.AddrPort]Reachability), revokedAt: make(map[bbrkv.Lease]time.Time)}
	f.directory.Snapshot(items, time.Now())
	return f
}

func (f *testFleet) newDetector(entry string) *Detector {
	return &Detector{
		Entry: entry, Directory: f.directory,
		Ping: func(_ context.Context, address netip.AddrPort, within time.Duration, _ time.Time) error {
			return f.ping(address, within)
		},
		AskReachability: func(_ context.Context, address, about netip.AddrPort, within time.Duration, _ time.Time) Reachability {
			if f.roundTrip != nil {
				return ReachabilityOf(f.ping(about, within))
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.answers[address]
		},
		RevokeLease: func(_ context.Context, lease bbrkv.Lease) error {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.revokeFailures > 0 {
				f.revokeFailures--
				return errors.New("store is down")
			}
			f.revokedAt[lease] = time.Now()
			return nil
		},
		Event: func(string) {},
	}
}

// ping answers after the owner's round trip, or not in time.
func (f *testFleet) ping(address netip.AddrPort, timeout time.Duration) error {
	f.mu.Lock()
	refuse := f.refuseConnections
	f.mu.Unlock()
	roundTrip := time.Duration(0)
	switch {
	case f.isUnreachable(address) && refuse:
		return syscall.ECONNREFUSED
	case f.isUnreachable(address):
		roundTrip = time.Hour
	case f.roundTrip != nil:
		roundTrip = f.roundTrip(time.Now())
	}
	time.Sleep(min(roundTrip, timeout))
	if roundTrip > timeout {
		return errors.New("no answer")
	}
	return nil
}

func (f *testFleet) isUnreachable(address netip.AddrPort) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unreachable[address]
}

func (f *testFleet) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// loseOwner plays the watch of an entry for 10 s, with the owner out of its reach from
// the fifth second on, and returns how long after that the lease was ended.
func (f *testFleet) loseOwner(t *testing.T, entry string) (after time.Duration, revoked bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	startedAt := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() { f.newDetector(entry).Run(ctx) })
	time.Sleep(5 * time.Second)
	f.update(func() { f.unreachable[address(1)] = true })
	wg.Wait()
	revokedAt, revoked := f.revokedAt[ownerLease]
	return revokedAt.Sub(startedAt.Add(5 * time.Second)), revoked
}

// TestUnreachableOwnerIsReplacedEarly holds that an owner that all lost is replaced well before
// its lease of 3 s would end.
func TestUnreachableOwnerIsReplacedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		for n := 2; n <= 6; n++ {
			f.answers[address(n)] = Unreachable
		}
		after, revoked := f.loseOwner(t, "e2")
		require.True(t, revoked)
		require.Less(t, after, 1500*time.Millisecond)
	})
}

// TestRevocationIsRetried holds that a lease that the store did not end at once is
// tried again before the others are asked anew.
func TestRevocationIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		for n := 2; n <= 6; n++ {
			f.answers[address(n)] = Unreachable
		}
		f.revokeFailures = 2
		after, revoked := f.loseOwner(t, "e2")
		require.True(t, revoked)
		require.Less(t, after, 2*time.Second)
	})
}

// TestOwnerKeepsLease holds that an owner keeps its lease where another reaches it,
// where most do not answer, and where it never answered entries.
func TestOwnerKeepsLease(t *testing.T) {
	for name, prepare := range map[string]func(f *testFleet){
		"another reaches it": func(f *testFleet) {
			for n := 2; n <= 6; n++ {
				f.answers[address(n)] = Unreachable
			}
			f.answers[address(4)] = Reachable
		},
		"most do not answer": func(f *testFleet) { f.answers[address(4)] = Unreachable },
		"never answered": func(f *testFleet) {
			f.unreachable[address(1)] = true
			for n := 2; n <= 6; n++ {
				f.answers[address(n)] = Unreachable
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				prepare(f)
				_, revoked := f.loseOwner(t, "e2")
				require.False(t, revoked)
			})
		})
	}
}

// TestSlowOwnerKeepsLease holds that an owner keeps its lease whose link fills up,
// so that its answers come later and later, to everybody.
func TestSlowOwnerKeepsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		startedAt := time.Now()
		f.roundTrip = func(now time.Time) time.Duration {
			if now.Sub(startedAt) > 5*time.Second {
				return 700 * time.Millisecond
			}
			return 10*time.Millisecond + now.Sub(startedAt)*7/50
		}
		ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
		defer cancel()
		f.newDetector("e2").Run(ctx)
		require.Empty(t, f.revokedAt)
	})
}

// TestRecentSuccessorKeepsLease holds that an owner that has just taken over from another
// keeps its lease while it is silent, and loses it early only where its address
// refuses connections.
func TestRecentSuccessorKeepsLease(t *testing.T) {
	for _, refuse := range []bool{false, true} {
		t.Run(fmt.Sprintf("refusing %v", refuse), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				f.refuseConnections = refuse
				for n := 2; n <= 6; n++ {
					f.answers[address(n)] = Unreachable
				}
				claim := func(revision bbrkv.Revision, deleted bool) bbrkv.Item {
					return bbrkv.Item{Key: bbrclaim.ClaimKey("press"), Revision: revision, Created: revision, Lease: ownerLease, Deleted: deleted, Value: []byte(`{"entry":"e1","incarnation":"i1"}`)}
				}
				f.directory.Change(claim(11, true), time.Now())
				f.directory.Change(claim(12, false), time.Now())
				_, revoked := f.loseOwner(t, "e2")
				require.Equal(t, refuse, revoked)
			})
		})
	}
}

// TestOwnersWatchedBy holds that an owner is watched once from each other zone, or twice
// in a fleet of one zone, and never by itself.
func TestOwnersWatchedBy(t *testing.T) {
	for zones, want := range map[int][]string{1: {"e2", "e3"}, 2: {"e2"}, 3: {"e2", "e3"}} {
		f := newFleet(t, zones)
		var watchers []string
		for n := 1; n <= 6; n++ {
			entry := fmt.Sprintf("e%d", n)
			for _, owner := range f.directory.OwnersWatchedBy(entry, time.Now()) {
				require.Equal(t, "e1", owner.Entry)
				require.Equal(t, ownerLease, owner.Lease)
				require.Equal(t, address(1), owner.PeerAddress)
				watchers = append(watchers, entry)
			}
		}
		require.Equal(t, want, watchers, "zones: %d", zones)
	}
}
