package bbrclaim

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// claimStore has the keys of claims, and commits as the platform's store does.
type claimStore struct {
	mu       sync.Mutex
	revision bbrkv.Revision
	items    map[string]bbrkv.Item
}

func (s *claimStore) commit(_ context.Context, transaction bbrkv.Transaction) (bbrkv.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := &bbrkv.Conflict{Items: make(map[string]bbrkv.Item)}
	unmet := false
	for _, condition := range transaction.Conditions {
		item := s.items[condition.Key]
		if item.Revision != 0 {
			conflict.Items[condition.Key] = item
		}
		unmet = unmet || item.Revision != condition.Revision
	}
	if unmet {
		return 0, conflict
	}
	s.revision++
	for _, put := range transaction.Puts {
		s.items[put.Key] = bbrkv.Item{Key: put.Key, Value: put.Value, Revision: s.revision, Created: s.revision, Lease: put.Lease}
	}
	for _, key := range transaction.Removals {
		delete(s.items, key)
	}
	return s.revision, nil
}

func (s *claimStore) list() []bbrkv.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []bbrkv.Item
	for _, item := range s.items {
		items = append(items, item)
	}
	return items
}

// claimScene is a claimer of one name, with a store and the owners that it started.
type claimScene struct {
	*Claimer
	ctx    context.Context
	store  *claimStore
	tokens chan bbrkv.Revision
}

// testClaims runs a test of a claim scene with a virtual clock.
func testClaims(t *testing.T, test func(t *testing.T, s *claimScene)) {
	synctest.Test(t, func(t *testing.T) {
		s := newClaimScene(t)
		ctx, cancel := context.WithCancel(t.Context())
		s.ctx = ctx
		test(t, s)
		cancel()
		s.wg.Wait()
	})
}

func newClaimScene(t *testing.T) *claimScene {
	store := &claimStore{revision: 10, items: make(map[string]bbrkv.Item)}
	session := &Session{Store: &bbrkv.Store{Commit: store.commit}, Entry: "e1", Incarnation: "one"}
	store.items[session.Key()] = bbrkv.Item{Key: session.Key(), Revision: 5, Created: 5, Value: marshal(t, entryRecord{Entry: "e1", Incarnation: "one"})}
	session.setLease(4, 5, time.Now().Add(time.Hour))
	s := &claimScene{store: store, tokens: make(chan bbrkv.Revision, 100)}
	s.Claimer = &Claimer{
		Session: session, Directory: &Directory{},
		Names: func() []string { return []string{"press/0"} },
		RunOwner: func(ctx context.Context, held HeldClaim) {
			s.tokens <- held.Token
			<-ctx.Done()
		},
	}
	return s
}

// rounds makes a number of rounds of claiming.
func (s *claimScene) rounds(count int) {
	for range count {
		time.Sleep(claimInterval)
		s.round(s.ctx, time.Now())
		synctest.Wait()
	}
}

// TestListReadBeforeClaimDoesNotEndIt guards against an owner that is ended and started
// again ten times a second, since a list that was read before its claim does not have it.
func TestListReadBeforeClaimDoesNotEndIt(t *testing.T) {
	testClaims(t, func(t *testing.T, s *claimScene) {
		s.Directory.Snapshot(nil, 9, time.Now())
		before := s.store.list()
		s.rounds(1)
		s.Directory.Snapshot(before, 10, time.Now())
		s.rounds(5)
		require.Len(t, s.tokens, 1)
		require.True(t, s.holds("press/0"))
		// A list that was read after the claim shows that it has ended.
		s.Directory.Snapshot(before, 20, time.Now())
		s.rounds(1)
		require.True(t, s.Directory.ClaimEnded("press/0", <-s.tokens))
	})
}

// TestLateEventDoesNotEndOwnClaim guards against the same with an event of a watch that is
// older than the claim.
func TestLateEventDoesNotEndOwnClaim(t *testing.T) {
	testClaims(t, func(t *testing.T, s *claimScene) {
		s.Directory.Snapshot(nil, 7, time.Now())
		s.rounds(1)
		s.Directory.Change(bbrkv.Item{Key: ClaimKey("press/0"), Revision: 8, Deleted: true}, time.Now())
		claim, owned := s.Directory.Owner("press/0")
		require.True(t, owned)
		require.False(t, s.Directory.ClaimEnded("press/0", claim.Revision))
	})
}

// TestEachOwnerHasItsOwnToken guards against an owner that continues under the token of an
// earlier one: orders of the earlier one that are still on their way would not be
// fenced off, and start work that the later one starts elsewhere.
func TestEachOwnerHasItsOwnToken(t *testing.T) {
	testClaims(t, func(t *testing.T, s *claimScene) {
		s.rounds(1)
		first := <-s.tokens
		s.Release(HeldClaim{Name: "press/0", Token: first})
		s.rounds(5)
		second := <-s.tokens
		require.Greater(t, second, first)
		require.Empty(t, s.tokens)
	})
}
