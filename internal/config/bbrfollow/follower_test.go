package bbrfollow

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const (
	testKey   = "op/config"
	testApply = 2 * time.Second
	// largeConfig is about the size of a configuration of some hundred queues, in
	// bytes.
	largeConfig = 100 << 10
)

// configStore is a store with one configuration; its value is its version.
type configStore struct {
	mu      sync.Mutex
	version int
	// missesChanges makes watches miss all changes.
	missesChanges bool
	// bytesRead is the size of all configurations that were read.
	bytesRead int
	changed   chan struct{}
}

func (s *configStore) set(version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
	if !s.missesChanges {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *configStore) item() bbrkv.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytesRead += largeConfig
	return bbrkv.Item{Key: testKey, Revision: bbrkv.Revision(s.version), Value: []byte(strconv.Itoa(s.version))}
}

func (s *configStore) store() *bbrkv.Store {
	return &bbrkv.Store{
		Get: func(context.Context, string) (bbrkv.Item, error) { return s.item(), nil },
		Range: func(context.Context, string, string) (bbrkv.Page, error) {
			item := s.item()
			other := bbrkv.Item{Key: testKey + "/other", Revision: item.Revision + 50, Value: []byte("90")}
			return bbrkv.Page{Items: []bbrkv.Item{item, other}, AsOf: item.Revision}, nil
		},
		Watch: func(ctx context.Context, _ string, after bbrkv.Revision, wait time.Duration) (bbrkv.Page, error) {
			s.mu.Lock()
			changed := s.changed
			s.mu.Unlock()
			select {
			case <-changed:
				item := s.item()
				return bbrkv.Page{Items: []bbrkv.Item{item}, AsOf: item.Revision}, nil
			case <-time.After(wait):
				return bbrkv.Page{AsOf: after}, nil
			case <-ctx.Done():
				return bbrkv.Page{}, bbrkv.ErrAnswerLost
			}
		},
	}
}

// TestChangeIsApplied checks that a change is applied at once if the watch
// reports it, and in time if the watch misses it, and that the follower reads
// little while nothing changes.
func TestChangeIsApplied(t *testing.T) {
	for _, missesChanges := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := &configStore{version: 3, changed: make(chan struct{}), missesChanges: missesChanges}
			f := &Follower{Store: s.store(), Key: testKey, MaxApplyDelay: testApply, Decode: func(value []byte) (*bbrwork.Config, error) {
				version, err := strconv.ParseInt(string(value), 10, 64)
				return bbrwork.NewConfig(version, nil, nil, bbrwork.Limits{}), err
			}}
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			wg.Go(func() { f.Run(ctx) })
			time.Sleep(time.Second)
			require.EqualValues(t, 3, f.Config().Version)

			s.set(8)
			bound := testApply / 2
			if !missesChanges {
				bound = 50 * time.Millisecond
			}
			time.Sleep(bound)
			require.EqualValues(t, 8, f.Config().Version)

			s.mu.Lock()
			s.bytesRead = 0
			s.mu.Unlock()
			time.Sleep(time.Minute)
			s.mu.Lock()
			read := s.bytesRead
			s.mu.Unlock()
			require.Less(t, read, 105*largeConfig, "the configuration is read less than twice a second")
			s.set(5)
			time.Sleep(testApply)
			require.EqualValues(t, 8, f.Config().Version, "the version never decreases")
			cancel()
			wg.Wait()
		})
	}
}

// TestSlowReadsLeaveRoom guards against a link that is full of reads of a large
// configuration.
func TestSlowReadsLeaveRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &configStore{version: 3, changed: make(chan struct{})}
		store := s.store()
		var reading time.Duration
		store.Get = func(context.Context, string) (bbrkv.Item, error) {
			time.Sleep(5 * time.Second)
			reading += 5 * time.Second
			return s.item(), nil
		}
		f := &Follower{Store: store, Key: testKey, MaxApplyDelay: testApply, Decode: func([]byte) (*bbrwork.Config, error) {
			return bbrwork.NewConfig(3, nil, nil, bbrwork.Limits{}), nil
		}}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { f.Run(ctx) })
		time.Sleep(time.Minute)
		cancel()
		wg.Wait()
		require.LessOrEqual(t, reading, 25*time.Second)
	})
}
