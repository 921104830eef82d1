package bbrintake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// lateStore is a store that may be slow, lose answers, and do writes seconds later, on the conditions
// that hold then.
type lateStore struct {
	mu       sync.Mutex
	items    map[string]bbrkv.Item
	revision bbrkv.Revision
	random   *rand.Rand
	// trouble is the share of the calls that are disturbed.
	trouble float64
	commits int
	late    sync.WaitGroup
}

func newLateStore(seed uint64) *lateStore {
	return &lateStore{items: make(map[string]bbrkv.Item), random: rand.New(rand.NewPCG(seed, 0))}
}

// draw returns how the next call goes: from 0 to 3 if it is disturbed, and 4 if it is not.
func (s *lateStore) draw() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random.Float64() >= s.trouble {
		return 4
	}
	return s.random.IntN(4)
}

// between returns a time between two bounds.
func (s *lateStore) between(from, to time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return from + time.Duration(s.random.Int64N(int64(to-from)))
}

func (s *lateStore) get(_ context.Context, key string) (bbrkv.Item, error) {
	if how := s.draw(); how < 2 {
		time.Sleep(s.between(0, 400*time.Millisecond))
	} else if how == 2 {
		return bbrkv.Item{}, bbrkv.ErrAnswerLost
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	item, stored := s.items[key]
	if !stored {
		return bbrkv.Item{}, bbrkv.ErrNotFound
	}
	return item, nil
}

func (s *lateStore) commit(_ context.Context, transaction bbrkv.Transaction) (bbrkv.Revision, error) {
	switch s.draw() {
	case 0:
		delay := s.between(time.Second, 6*time.Second)
		s.late.Go(func() {
			time.Sleep(delay)
			_, _ = s.apply(transaction)
		})
		return 0, bbrkv.ErrAnswerLost
	case 1:
		_, _ = s.apply(transaction)
		return 0, bbrkv.ErrAnswerLost
	case 2:
		time.Sleep(s.between(0, 2*time.Second))
	case 3:
		return 0, bbrkv.ErrRefused
	}
	return s.apply(transaction)
}

func (s *lateStore) apply(transaction bbrkv.Transaction) (bbrkv.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	conflict, met := &bbrkv.Conflict{Items: make(map[string]bbrkv.Item)}, true
	for _, condition := range transaction.Conditions {
		item, stored := s.items[condition.Key]
		if stored {
			conflict.Items[condition.Key] = item
		}
		met = met && item.Revision == condition.Revision
	}
	if !met {
		return 0, conflict
	}
	s.revision++
	for _, put := range transaction.Puts {
		s.items[put.Key] = bbrkv.Item{Key: put.Key, Value: put.Value, Revision: s.revision}
	}
	return s.revision, nil
}

// has reports whether the store has a record.
func (s *lateStore) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, stored := s.items[key]
	return stored
}

// requestScene is several entries that share a store.
type requestScene struct {
	*lateStore
	entries []*Intake
	queue   *bbrwork.Queue
}

func newRequestScene(ctx context.Context, store *lateStore) *requestScene {
	s := &requestScene{lateStore: store, queue: &bbrwork.Queue{Name: "proofs", Service: "press"}}
	for range 3 {
		shared := &bbrkv.Store{Get: store.get, Commit: store.commit}
		intake := &Intake{
			Acceptor: NewAcceptor(shared), Store: shared, StoreAvailable: func(time.Time) bool { return true },
			Config: func() *bbrwork.Config { return bbrwork.NewConfig(1, nil, nil, bbrwork.Limits{}) },
			Cells:  func() *bbrcell.Cells { return nil },
		}
		go intake.Acceptor.Run(ctx)
		s.entries = append(s.entries, intake)
	}
	return s
}

func (s *requestScene) submit(entry int, id, organisation string, timeout time.Duration) bbrcode.Code {
	now := time.Now()
	code, _ := s.entries[entry].Submit(context.Background(), &bbrwork.Job{Organisation: organisation}, s.queue, id, now.Add(timeout), now)
	return code
}

func (s *requestScene) cancel(entry int, id, organisation string) bbrcode.Code {
	now := time.Now()
	return s.entries[entry].Cancel(context.Background(), Cancellation{ID: id, Queue: s.queue, Organisation: organisation, Deadline: now.Add(3 * time.Second)}, now)
}

func (s *requestScene) state(entry int, id, organisation string) (bbrwork.State, bbrcode.Code) {
	return s.entries[entry].State(context.Background(), s.queue, id, organisation, time.Now())
}

// runsFor reports whether a job of the organisation is stored under the ID and not cancelled.
func (s *requestScene) runsFor(id, organisation string) bool {
	shard := bbrwork.Shard{Service: s.queue.Service}
	item, stored := s.items[bbrrecord.JobKey(shard, id)]
	return stored && strings.Contains(string(item.Value), fmt.Sprintf("%q:%q", "organisation", organisation)) && !s.has(bbrrecord.CancelKey(shard, id))
}

// caller is a caller of an organisation that hands one job in, and what it was told.
type caller struct {
	scene            *requestScene
	id, organisation string
	// cancels means that it gives up and cancels the job.
	cancels             bool
	accepted, cancelled bool
	// unsettled means that an answer left open whether the job was accepted.
	unsettled bool
	codes     []bbrcode.Code
}

// submit hands the job in at a drawn entry, as the caller or as a copy of its request.
func (c *caller) submit() {
	timeout := c.scene.between(500*time.Millisecond, 3*time.Second)
	code := c.scene.submit(int(c.scene.between(0, 3)), c.id, c.organisation, timeout)
	c.scene.mu.Lock()
	defer c.scene.mu.Unlock()
	c.codes = append(c.codes, code)
	switch code {
	case bbrcode.Accepted, bbrcode.AlreadyStored:
		c.accepted = true
	case bbrcode.StoreWriteUnknown:
		c.unsettled = true
	}
}

// run hands the job in, cancels it if it does so, and asks for its state, with copies of the request
// at other entries before and after.
func (c *caller) run() {
	var copies sync.WaitGroup
	for range int(c.scene.between(1, 4)) {
		delay := c.scene.between(0, 5*time.Second)
		copies.Go(func() {
			time.Sleep(delay)
			c.submit()
		})
	}
	c.submit()
	time.Sleep(c.scene.between(0, time.Second))
	for c.cancels && !c.cancelled {
		code := c.scene.cancel(int(c.scene.between(0, 3)), c.id, c.organisation)
		c.cancelled = code == bbrcode.CancelStored || code == bbrcode.UnknownJob
		if code == bbrcode.ForeignJob {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	copies.Wait()
}

// TestCancelledIDNeverRuns guards against a job that runs although its caller was told that it does not
// exist, because its submission was stored late. It draws slow, lost and late writes, copies of
// requests at other entries, and callers of other organisations with the same IDs, and checks what
// callers are told against what would run.
func TestCancelledIDNeverRuns(t *testing.T) {
	const seeds, jobs = 40, 30
	cancelledUnstored := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			store := newLateStore(seed)
			store.trouble = 0.5
			s := newRequestScene(ctx, store)
			var callers []*caller
			var running sync.WaitGroup
			for n := range jobs {
				c := &caller{scene: s, id: fmt.Sprintf("%016x", n%20), organisation: []string{"guild", "union"}[n/20], cancels: n%3 > 0}
				callers = append(callers, c)
				running.Go(c.run)
			}
			running.Wait()
			store.late.Wait()
			store.trouble = 0
			for _, c := range callers {
				if c.cancelled {
					require.False(t, s.runsFor(c.id, c.organisation), "seed %d: %s of %s runs after its cancellation was acknowledged", seed, c.id, c.organisation)
					cancelledUnstored += btoi(!c.accepted)
				}
				if c.accepted && !c.cancels {
					require.True(t, s.runsFor(c.id, c.organisation), "seed %d: %s of %s was accepted and does not run, answers %v", seed, c.id, c.organisation, c.codes)
				}
				if !c.accepted && !c.unsettled {
					require.False(t, s.runsFor(c.id, c.organisation), "seed %d: %s of %s runs, answers %v", seed, c.id, c.organisation, c.codes)
				}
				if !c.cancels {
					require.NotContains(t, c.codes, bbrcode.CancelledBefore, "seed %d: %s of %s is refused for the cancellation of another organisation", seed, c.id, c.organisation)
				}
			}
		})
	}
	require.Positive(t, cancelledUnstored, "no draw cancelled an ID without a job")
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestSubmissionAfterCancellation checks what callers are told of an ID that was cancelled before a
// job was stored under it: nothing runs for them, and nothing changes for another organisation.
func TestSubmissionAfterCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		s := newRequestScene(ctx, newLateStore(1))
		for range 2 {
			require.Equal(t, bbrcode.UnknownJob, s.cancel(0, firstID, "guild"))
		}
		commits := s.commits
		require.Equal(t, bbrcode.UnknownJob, s.cancel(1, firstID, "guild"))
		require.Equal(t, commits, s.commits, "a cancelled ID needs no further write")
		_, code := s.state(1, firstID, "guild")
		require.Equal(t, bbrcode.UnknownJob, code)
		_, code = s.state(1, firstID, "union")
		require.Equal(t, bbrcode.UnknownJob, code)
		require.Equal(t, bbrcode.CancelledBefore, s.submit(2, firstID, "guild", time.Second))
		require.Equal(t, 503, bbrcode.CancelledBefore.Info().Status, "the code that says that a job never runs")
		require.Equal(t, bbrcode.UnknownJob, s.cancel(1, secondID, "union"))
		require.Equal(t, bbrcode.UnknownJob, s.cancel(1, secondID, "guild"))
		require.Equal(t, bbrcode.CancelledBefore, s.submit(2, secondID, "union", time.Second))
		require.Equal(t, bbrcode.Accepted, s.submit(0, firstID, "union", time.Second))
		require.True(t, s.runsFor(firstID, "union"))
		require.Equal(t, bbrcode.ForeignJob, s.submit(2, firstID, "guild", time.Second))
	})
}

// TestCancellationsOfUnknownIDsAreBounded guards against callers that fill the store with records of
// IDs that they cancel as fast as they can, and against an untrue answer beyond the bound.
func TestCancellationsOfUnknownIDsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		s := newRequestScene(ctx, newLateStore(1))
		codes := make(map[bbrcode.Code]int)
		for n := range 2 * cancelBurst {
			codes[s.cancel(0, fmt.Sprintf("%016x", n), "guild")]++
		}
		require.Equal(t, map[bbrcode.Code]int{bbrcode.UnknownJob: codes[bbrcode.UnknownJob], bbrcode.TooManyUnknown: codes[bbrcode.TooManyUnknown]}, codes)
		require.GreaterOrEqual(t, codes[bbrcode.UnknownJob], cancelBurst)
		require.Positive(t, codes[bbrcode.TooManyUnknown])
		require.Equal(t, bbrcode.UnknownJob, s.cancel(0, firstID, "union"), "another organisation has a budget of its own")
	})
}
