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
		reports []Reachability
		want    bool
	}{
		"no reports":              {nil, false},
		"owner failed":            {[]Reachability{Unreachable, Unreachable, Unreachable, Unreachable}, true},
		"owner's zone isolated":   {[]Reachability{Unreachable, Unreachable, Unreachable, NoAnswer}, true},
		"own zone isolated":       {[]Reachability{Unreachable, Unreachable, NoAnswer, NoAnswer, NoAnswer, NoAnswer}, false},
		"two halves of the fleet": {[]Reachability{Unreachable, NoAnswer}, false},
		"a peer reaches it":       {[]Reachability{Unreachable, Unreachable, Reachable}, false},
		"answers the second ping": {[]Reachability{Unreachable, Unreachable, Unreachable, Reachable}, false},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, test.want, UnreachableByMajority(test.reports)) })
	}
}

// TestAtMostOnePartitionRevokesLeases checks that however the network is
// partitioned, at most one partition revokes leases, and never that of an owner
// in the same partition.
func TestAtMostOnePartitionRevokesLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		partitions := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 12).Draw(t, "partitions")
		ownerPartition := rapid.IntRange(0, 3).Draw(t, "ownerPartition")
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

// testFleet is a directory of six entries, of which e1 holds a claim, with a
// simulated network and store.
type testFleet struct {
	directory *bbrclaim.Directory
	mu        sync.Mutex
	// unreachable contains the addresses that no entry reaches, and answers what the
	// entries report when they are queried.
	unreachable map[netip.AddrPort]bool
	answers     map[netip.AddrPort]Reachability
	revokedAt   map[bbrkv.Lease]time.Time
	// roundTrip returns the round trip of pings at a time; if nil, it is 0. If set,
	// queried entries report the result of a ping of their own.
	roundTrip func(now time.Time) time.Duration
	// refuseConnections makes unreachable addresses refuse connections.
	refuseConnections bool
	// revokeFailures is how many more attempts to revoke a lease fail.
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
	f.directory.Snapshot(items, 0, time.Now())
	return f
}

func (f *testFleet) newDetector(entry string) *Detector {
	return &Detector{
		Entry: entry, Directory: f.directory,
		Ping: func(_ context.Context, address netip.AddrPort, timeout time.Duration, _ time.Time) error {
			return f.ping(address, timeout)
		},
		AskReachability: func(_ context.Context, address, about netip.AddrPort, timeout time.Duration, _ time.Time) Reachability {
			if f.roundTrip != nil {
				return ReachabilityOf(f.ping(about, timeout))
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
				return errors.New("store unavailable")
			}
			f.revokedAt[lease] = time.Now()
			return nil
		},
		Event: func(string) {},
	}
}

// ping returns after the round trip, or with an error after the timeout.
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

// loseOwner runs the detector of the entry for 10 s. The owner is unreachable from
// the fifth second on. It returns how long after that the lease was revoked, and
// whether it was.
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

// TestUnreachableOwnerIsReplacedEarly checks that the lease of an owner that no
// entry reaches is revoked well before it would expire after 3 s.
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

// TestRevocationIsRetried checks that a revocation that the store failed is retried
// before the peers are queried anew.
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

// TestOwnerKeepsLease checks that an owner keeps its lease if a peer reaches it, if
// most peers do not answer, and if it has never answered a ping.
func TestOwnerKeepsLease(t *testing.T) {
	for name, prepare := range map[string]func(f *testFleet){
		"a peer reaches it": func(f *testFleet) {
			for n := 2; n <= 6; n++ {
				f.answers[address(n)] = Unreachable
			}
			f.answers[address(4)] = Reachable
		},
		"most peers do not answer": func(f *testFleet) { f.answers[address(4)] = Unreachable },
		"never answered a ping": func(f *testFleet) {
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

// TestSlowOwnerKeepsLease checks that an owner keeps its lease while its link gets
// congested, so that its answers to all entries take longer and longer.
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

// TestRecentSuccessorKeepsLease checks that an owner that has just succeeded another
// keeps its lease while it does not answer, and that it is revoked only if its
// address refuses connections.
func TestRecentSuccessorKeepsLease(t *testing.T) {
	for _, refuse := range []bool{false, true} {
		t.Run(fmt.Sprintf("connection refused %v", refuse), func(t *testing.T) {
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

// TestOwnersWatchedBy checks that an owner is watched by one entry of each other
// zone, or by two in a fleet of one zone, and never by itself.
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
