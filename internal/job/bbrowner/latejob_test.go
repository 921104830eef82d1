package bbrowner

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// lateJobStore delays what the store tells of a job that is accepted while the owner's last
// list of jobs arrives.
type lateJobStore struct {
	*bbrkv.Store
	// key is the job's key, and accept accepts it.
	key    string
	accept func()
	// readableAt is when reads by key of the job begin to succeed, and watchableAt when
	// watches of jobs do.
	readableAt, watchableAt time.Time
	once                    sync.Once
}

// store returns the store as the owner sees it.
func (s *lateJobStore) store() *bbrkv.Store {
	return &bbrkv.Store{Get: s.get, Range: s.Store.Range, Scan: s.scan, Watch: s.watch, Commit: s.Store.Commit}
}

func (s *lateJobStore) get(ctx context.Context, key string) (bbrkv.Item, error) {
	if key == s.key && time.Now().Before(s.readableAt) {
		return bbrkv.Item{}, bbrkv.ErrAnswerLost
	}
	return s.Store.Get(ctx, key)
}

func (s *lateJobStore) scan(ctx context.Context, prefix, after string, each func(bbrkv.Item)) (bbrkv.ScanResult, error) {
	result, err := s.Store.Scan(ctx, prefix, after, each)
	if strings.HasPrefix(s.key, prefix) && err == nil && !result.More {
		s.once.Do(s.accept)
		time.Sleep(500 * time.Millisecond)
	}
	return result, err
}

func (s *lateJobStore) watch(ctx context.Context, prefix string, after bbrkv.Revision, wait time.Duration) (bbrkv.Page, error) {
	if strings.HasPrefix(s.key, prefix) && time.Now().Before(s.watchableAt) {
		time.Sleep(wait)
		return bbrkv.Page{}, bbrkv.ErrAnswerLost
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// TestLateJobOfAnEarlierOwnerIsDoneOnce guards against work that is done twice, because an
// earlier owner started a job that was accepted after the list of jobs was read: what upstreams
// list of it before or after the list ended was dropped.
func TestLateJobOfAnEarlierOwnerIsDoneOnce(t *testing.T) {
	for _, test := range []struct {
		name    string
		runTime time.Duration
		// afterLoad means that the job's upstream answers only once the owner has loaded.
		afterLoad bool
	}{
		{name: "ended", runTime: 100 * time.Millisecond},
		{name: "running", runTime: 4 * time.Second},
		{name: "ended, listed after the load", runTime: 100 * time.Millisecond, afterLoad: true},
		{name: "running, listed after the load", runTime: 4 * time.Second, afterLoad: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLoadScene(3, 2, 0, 0, test.runTime)
				s.store.put(bbrrecord.SequenceKey(s.shard), bbrrecord.Encode(bbrrecord.Sequence{Token: 1, Number: 6, Horizon: 500, OrdersStored: true}))
				o := s.claim()
				unit := bbrwork.Unit{Job: s.jobID(3)}
				late := &lateJobStore{
					Store: s.store.store(), key: bbrrecord.JobKey(s.shard, unit.Job),
					readableAt: time.Now().Add(time.Second), watchableAt: time.Now().Add(2 * time.Second),
				}
				o.Store = late.store()
				accepted := make(chan struct{})
				late.accept = func() {
					s.accept(3, time.Now())
					s.upstreams.run("i-01", unit, 1, time.Now())
					close(accepted)
				}
				o.Client.Renew = func(ctx context.Context, up bbrwork.Upstream, renewal bbrorder.Renewal) (bbrwork.Listing, error) {
					if up.ID == "i-01" {
						<-accepted
						if test.afterLoad {
							if _, loaded := awaitLoaded(o, time.Second); !loaded {
								return bbrwork.Listing{}, bbrorder.ErrAnswerLost
							}
						}
					}
					return s.upstreams.renew(ctx, up, renewal)
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var wg sync.WaitGroup
				wg.Go(func() { o.Run(ctx) })
				time.Sleep(30 * time.Second)
				cancel()
				wg.Wait()
				s.upstreams.mu.Lock()
				defer s.upstreams.mu.Unlock()
				require.Equal(t, 1, s.upstreams.done[unit])
				require.Empty(t, s.upstreams.overlaps)
				require.Zero(t, s.store.count(bbrrecord.JobPrefix), "all jobs end")
			})
		})
	}
}
