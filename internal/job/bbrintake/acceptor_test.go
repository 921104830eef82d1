package bbrintake

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// scriptedStore answers the first commits as the script says, and later ones as a store
// does.
type scriptedStore struct {
	mu     sync.Mutex
	keys   map[string]bool
	script []func(apply func() error) error
	calls  int
}

func (s *scriptedStore) commit(_ context.Context, transaction bbrkv.Transaction) (bbrkv.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply := func() error { return s.apply(transaction) }
	call := s.calls
	s.calls++
	if call < len(s.script) {
		return 1, s.script[call](apply)
	}
	return 1, apply()
}

func (s *scriptedStore) apply(transaction bbrkv.Transaction) error {
	conflict := &bbrkv.Conflict{Items: make(map[string]bbrkv.Item)}
	for _, condition := range transaction.Conditions {
		if s.keys[condition.Key] {
			conflict.Items[condition.Key] = bbrkv.Item{Key: condition.Key, Revision: 1}
		}
	}
	if len(conflict.Items) > 0 {
		return conflict
	}
	for _, put := range transaction.Puts {
		s.keys[put.Key] = true
	}
	return nil
}

func answerLostAfterCommit(apply func() error) error {
	_ = apply()
	return bbrkv.ErrAnswerLost
}

func answerLostBeforeCommit(func() error) error { return bbrkv.ErrAnswerLost }

func refusedCommit(func() error) error { return bbrkv.ErrRefused }

const (
	firstID  = "00000000000000a1"
	secondID = "00000000000000a2"
)

// acceptAll accepts the jobs concurrently. It returns their codes and how long the
// slowest one took on the virtual clock.
func acceptAll(t *testing.T, store *scriptedStore, ids ...string) (codes []bbrcode.Code, elapsed time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAcceptor(&bbrkv.Store{Commit: store.commit})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go a.Run(ctx)
		codes = make([]bbrcode.Code, len(ids))
		start := time.Now()
		var wg sync.WaitGroup
		for i, id := range ids {
			wg.Go(func() { codes[i], _ = a.Accept(&bbrwork.Job{ID: id}, start.Add(3*time.Second)) })
		}
		wg.Wait()
		elapsed = time.Since(start)
	})
	return codes, elapsed
}

func TestAcceptance(t *testing.T) {
	tests := []struct {
		name   string
		stored []string
		script []func(apply func() error) error
		want   []bbrcode.Code
	}{
		{name: "stored", want: []bbrcode.Code{bbrcode.Accepted, bbrcode.Accepted}},
		{name: "one already stored", stored: []string{firstID}, want: []bbrcode.Code{bbrcode.AlreadyStored, bbrcode.Accepted}},
		{name: "answer lost, stored", script: []func(func() error) error{answerLostAfterCommit}, want: []bbrcode.Code{bbrcode.AlreadyStored, bbrcode.AlreadyStored}},
		{name: "answer lost, not stored", script: []func(func() error) error{answerLostBeforeCommit}, want: []bbrcode.Code{bbrcode.Accepted, bbrcode.Accepted}},
		{name: "refused", script: []func(func() error) error{refusedCommit}, want: []bbrcode.Code{bbrcode.StoreUnavailable, bbrcode.StoreUnavailable}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := &scriptedStore{keys: make(map[string]bool), script: test.script}
			for _, id := range test.stored {
				store.keys[bbrrecord.StatusKey(id)] = true
			}
			codes, _ := acceptAll(t, store, firstID, secondID)
			require.Equal(t, test.want, codes)
		})
	}
}

// TestRefusalAfterLostAnswerIsUnsettled guards against the answer 503, which says that
// the job is not and will not be stored, after a lost answer: the job may have been
// stored, and the answer must be 504. It must come long before the caller's deadline.
func TestRefusalAfterLostAnswerIsUnsettled(t *testing.T) {
	store := &scriptedStore{keys: make(map[string]bool)}
	store.script = append(store.script, answerLostBeforeCommit)
	for range 100 {
		store.script = append(store.script, refusedCommit)
	}
	codes, elapsed := acceptAll(t, store, firstID)
	require.Equal(t, []bbrcode.Code{bbrcode.StoreWriteUnknown}, codes)
	require.Less(t, elapsed, 2*unknownTimeout)
}

// TestJobThatCannotBeEncodedIsRefused guards against an entry that ends on a job with a
// due time after the year 9999, and takes others down when its client tries again there.
func TestJobThatCannotBeEncodedIsRefused(t *testing.T) {
	store := &scriptedStore{keys: make(map[string]bool)}
	acceptor := NewAcceptor(&bbrkv.Store{Commit: store.commit})
	due := bbrwork.Schedule{Count: 1, First: time.UnixMilli(1_780_000_000_000_000)}
	code, _ := acceptor.Accept(&bbrwork.Job{ID: "00000000000000a1", Schedule: due}, time.Now().Add(time.Second))
	require.Equal(t, bbrcode.BadJob, code)
}
