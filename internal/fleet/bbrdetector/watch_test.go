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

func TestCutOff(t *testing.T) {
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

// TestOneSideOnly holds that of the sides of a cut at most one ends leases of
// the others, however the fleet falls apart.
func TestOneSideOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sides := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 12).Draw(t, "sides")
		owner := rapid.IntRange(0, 3).Draw(t, "ownerSide")
		var ending []int
		for side := range 4 {
			var opinions []Reachability
			for _, other := range sides {
				opinion := NoAnswer
				if other == side {
					opinion = Unreachable
				}
				if other == side && side == owner {
					opinion = Reachable
				}
				opinions = append(opinions, opinion)
			}
			if UnreachableByMajority(opinions) {
				ending = append(ending, side)
			}
		}
		require.LessOrEqual(t, len(ending), 1)
		require.NotContains(t, ending, owner)
	})
}

// fleet is a directory of entries, of which e1 holds a claim, and who of them is
// reached from where.
type fleet struct {
	directory *bbrclaim.Directory
	mu        sync.Mutex
	// down has the addresses that nobody reaches, and opinions what the entries
	// say.
	down     map[netip.AddrPort]bool
	opinions map[netip.AddrPort]Reachability
	ended    map[bbrkv.Lease]time.Time
	// slow returns the round trip of pings; nil for none. The others then judge by
	// pings of their own.
	slow func(now time.Time) time.Duration
	// refusing means that addresses that are down refuse connections.
	refusing bool
	// failing is how many more times the store fails to end a lease.
	failing int
}

const ownerLease = bbrkv.Lease(7)

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7075)
}

func newFleet(t *testing.T, zones int) *fleet {
	t.Helper()
	var items []bbrkv.Item
	for n := 1; n <= 6; n++ {
		record := fmt.Sprintf(`{"entry":"e%d","zone":"z%d","incarnation":"i%d","lease":%d,"milliCPU":500,"peers":%q}`, n, n%zones, n, int(ownerLease)+n-1, address(n))
		require.True(t, json.Valid([]byte(record)))
		items = append(items, bbrkv.Item{Key: fmt.Sprintf("%sentries/e%d", bbrclaim.FleetPrefix, n), Revision: bbrkv.Revision(n), Value: []byte(record)})
	}
	items = append(items, bbrkv.Item{Key: bbrclaim.ClaimKey("press"), Revision: 10, Created: 10, Lease: ownerLease, Value: []byte(`{"entry":"e1","incarnation":"i1"}`)})
	f := &fleet{directory: &bbrclaim.Directory{}, down: make(map[netip.AddrPort]bool), opinions: make(map[netip.AddrPort]Reachability), ended: make(map[bbrkv.Lease]time.Time)}
	f.directory.Snapshot(items, time.Now())
	return f
}

func (f *fleet) watch(entry string) *Detector {
	return &Detector{
		Entry: entry, Directory: f.directory,
		Ping: func(_ context.Context, address netip.AddrPort, within time.Duration, _ time.Time) error {
			return f.ping(address, within)
		},
		AskReachability: func(_ context.Context, address, about netip.AddrPort, within time.Duration, _ time.Time) Reachability {
			if f.slow != nil {
				return ReachabilityOf(f.ping(about, within))
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.opinions[address]
		},
		RevokeLease: func(_ context.Context, lease bbrkv.Lease) error {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.failing > 0 {
				f.failing--
				return errors.New("store is down")
			}
			f.ended[lease] = time.Now()
			return nil
		},
		Event: func(string) {},
	}
}

// ping answers after the owner's round trip, or not in time.
func (f *fleet) ping(address netip.AddrPort, within time.Duration) error {
	f.mu.Lock()
	refusing := f.refusing
	f.mu.Unlock()
	took := time.Duration(0)
	switch {
	case f.isDown(address) && refusing:
		return syscall.ECONNREFUSED
	case f.isDown(address):
		took = time.Hour
	case f.slow != nil:
		took = f.slow(time.Now())
	}
	time.Sleep(min(took, within))
	if took > within {
		return errors.New("no answer")
	}
	return nil
}

func (f *fleet) isDown(address netip.AddrPort) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down[address]
}

func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// run plays the watch of an entry for 10 s, with the owner out of its reach from
// the fifth second on, and returns how long after that the lease was ended.
func (f *fleet) run(t *testing.T, entry string) (after time.Duration, ended bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	began := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() { f.watch(entry).Run(ctx) })
	time.Sleep(5 * time.Second)
	f.set(func() { f.down[address(1)] = true })
	wg.Wait()
	at, ended := f.ended[ownerLease]
	return at.Sub(began.Add(5 * time.Second)), ended
}

// TestOwnerOutOfReach holds that an owner that all lost is replaced well before
// its lease of 3 s would end.
func TestOwnerOutOfReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		for n := 2; n <= 6; n++ {
			f.opinions[address(n)] = Unreachable
		}
		after, ended := f.run(t, "e2")
		require.True(t, ended)
		require.Less(t, after, 1500*time.Millisecond)
	})
}

// TestStoreOnItsWayBack holds that a lease that the store did not end at once is
// tried again before the others are asked anew.
func TestStoreOnItsWayBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		for n := 2; n <= 6; n++ {
			f.opinions[address(n)] = Unreachable
		}
		f.failing = 2
		after, ended := f.run(t, "e2")
		require.True(t, ended)
		require.Less(t, after, 2*time.Second)
	})
}

// TestOwnerKept holds that an owner keeps its lease where another reaches it,
// where most do not answer, and where it never answered entries.
func TestOwnerKept(t *testing.T) {
	for name, prepare := range map[string]func(f *fleet){
		"another reaches it": func(f *fleet) {
			for n := 2; n <= 6; n++ {
				f.opinions[address(n)] = Unreachable
			}
			f.opinions[address(4)] = Reachable
		},
		"most do not answer": func(f *fleet) { f.opinions[address(4)] = Unreachable },
		"never answered": func(f *fleet) {
			f.down[address(1)] = true
			for n := 2; n <= 6; n++ {
				f.opinions[address(n)] = Unreachable
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				prepare(f)
				_, ended := f.run(t, "e2")
				require.False(t, ended)
			})
		})
	}
}

// TestSlowOwnerIsNotGone holds that an owner keeps its lease whose link fills up,
// so that its answers come later and later, to everybody.
func TestSlowOwnerIsNotGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		began := time.Now()
		f.slow = func(now time.Time) time.Duration {
			if now.Sub(began) > 5*time.Second {
				return 700 * time.Millisecond
			}
			return 10*time.Millisecond + now.Sub(began)*7/50
		}
		ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
		defer cancel()
		f.watch("e2").Run(ctx)
		require.Empty(t, f.ended)
	})
}

// TestNoEndsInSeries holds that an owner that has just taken over from another
// keeps its lease while it is silent, and loses it early only where its address
// refuses connections.
func TestNoEndsInSeries(t *testing.T) {
	for _, refusing := range []bool{false, true} {
		t.Run(fmt.Sprintf("refusing %v", refusing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				f.refusing = refusing
				for n := 2; n <= 6; n++ {
					f.opinions[address(n)] = Unreachable
				}
				claim := func(revision bbrkv.Revision, deleted bool) bbrkv.Item {
					return bbrkv.Item{Key: bbrclaim.ClaimKey("press"), Revision: revision, Created: revision, Lease: ownerLease, Deleted: deleted, Value: []byte(`{"entry":"e1","incarnation":"i1"}`)}
				}
				f.directory.Change(claim(11, true), time.Now())
				f.directory.Change(claim(12, false), time.Now())
				_, ended := f.run(t, "e2")
				require.Equal(t, refusing, ended)
			})
		})
	}
}

// TestWatched holds that an owner is watched once from each other zone, or twice
// in a fleet of one zone, and never by itself.
func TestWatched(t *testing.T) {
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
