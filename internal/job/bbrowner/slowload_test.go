package bbrowner

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrregistry"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const (
	// packetBytes is what a call sends over a slowLink before the next call's turn.
	packetBytes = 1500
	// itemOverhead is what an item takes besides its key and its value.
	itemOverhead = 80
	// pageItems is the number of items in a page of a slowLinkStore.
	pageItems = 500
)

// slowLink carries the calls of an entry, packet by packet in turns.
type slowLink struct {
	// bytesPerSecond is its rate; 0 means that nothing takes time.
	bytesPerSecond int
	// turn has a value while a packet is carried.
	turn chan struct{}
}

// carry returns when the bytes have arrived.
func (l *slowLink) carry(bytes int) {
	if l.bytesPerSecond == 0 {
		return
	}
	for ; bytes > 0; bytes -= packetBytes {
		l.turn <- struct{}{}
		time.Sleep(time.Duration(min(bytes, packetBytes)) * time.Second / time.Duration(l.bytesPerSecond))
		<-l.turn
	}
}

// wireBytes returns the size of an item in a response, where values are in base64.
func wireBytes(item bbrkv.Item) int { return len(item.Key) + (len(item.Value)+2)/3*4 + itemOverhead }

// slowLinkStore is a store that is reached over a slow link.
type slowLinkStore struct {
	link *slowLink
	// cut returns after how many bytes the response of a read is cut; negative for never.
	cut func(call int) int

	mu       sync.Mutex
	items    map[string]bbrkv.Item
	events   []bbrkv.Item
	revision bbrkv.Revision
	calls    int
	// loses reports whether a transaction, or the answer to it, is lost.
	loses func() bool
	// compacts reports whether a watch finds the history compacted.
	compacts func() bool
	// jobsRead counts the jobs that arrived, also those that arrived again.
	jobsRead int
}

func newSlowLinkStore(bytesPerSecond int) *slowLinkStore {
	return &slowLinkStore{
		link:     &slowLink{bytesPerSecond: bytesPerSecond, turn: make(chan struct{}, 1)},
		cut:      func(int) int { return -1 },
		loses:    func() bool { return false },
		compacts: func() bool { return false },
		items:    make(map[string]bbrkv.Item),
	}
}

func (s *slowLinkStore) store() *bbrkv.Store {
	return &bbrkv.Store{Get: s.get, Range: s.readRange, Scan: s.scan, Watch: s.watch, Commit: s.commit}
}

// put stores a value.
func (s *slowLinkStore) put(key string, value []byte) bbrkv.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(bbrkv.Item{Key: key, Value: value, Revision: s.revision})
	return s.revision
}

// apply applies a change. The caller holds the lock.
func (s *slowLinkStore) apply(item bbrkv.Item) {
	item.Created = item.Revision
	if previous, exists := s.items[item.Key]; exists {
		item.Created = previous.Created
	}
	if item.Deleted {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.events = append(s.events, item)
}

// nextCut returns after how many bytes the response of the next read is cut.
func (s *slowLinkStore) nextCut() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.cut(s.calls)
}

func (s *slowLinkStore) get(_ context.Context, key string) (bbrkv.Item, error) {
	cut := s.nextCut()
	s.link.carry(packetBytes / 10)
	s.mu.Lock()
	item, exists := s.items[key]
	s.mu.Unlock()
	if cut >= 0 && cut < wireBytes(item) {
		s.link.carry(cut)
		return bbrkv.Item{}, bbrkv.ErrAnswerLost
	}
	s.link.carry(wireBytes(item))
	if !exists {
		return bbrkv.Item{}, bbrkv.ErrNotFound
	}
	return item, nil
}

// page returns the items behind a key.
func (s *slowLinkStore) page(prefix, after string) bbrkv.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := bbrkv.Page{AsOf: s.revision}
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page.More = len(keys) > pageItems
	for _, key := range keys[:min(len(keys), pageItems)] {
		page.Items = append(page.Items, s.items[key])
	}
	return page
}

func (s *slowLinkStore) scan(ctx context.Context, prefix, after string, each func(bbrkv.Item)) (bbrkv.ScanResult, error) {
	cut := s.nextCut()
	s.link.carry(packetBytes / 10)
	page := s.page(prefix, after)
	bytes := 0
	for _, item := range page.Items {
		if bytes += wireBytes(item); cut >= 0 && bytes > cut || ctx.Err() != nil {
			return bbrkv.ScanResult{Bytes: bytes}, bbrkv.ErrAnswerLost
		}
		s.link.carry(wireBytes(item))
		if strings.HasPrefix(item.Key, bbrrecord.JobPrefix) {
			s.mu.Lock()
			s.jobsRead++
			s.mu.Unlock()
		}
		each(item)
	}
	if cut >= 0 && bytes <= cut && cut < bytes+packetBytes {
		return bbrkv.ScanResult{Bytes: bytes}, bbrkv.ErrAnswerLost
	}
	return bbrkv.ScanResult{More: page.More, AsOf: page.AsOf, Bytes: bytes}, nil
}

func (s *slowLinkStore) readRange(ctx context.Context, prefix, after string) (bbrkv.Page, error) {
	var page bbrkv.Page
	result, err := s.scan(ctx, prefix, after, func(item bbrkv.Item) { page.Items = append(page.Items, item) })
	page.More, page.AsOf = result.More, result.AsOf
	return page, err
}

func (s *slowLinkStore) watch(ctx context.Context, prefix string, after bbrkv.Revision, wait time.Duration) (bbrkv.Page, error) {
	s.link.carry(packetBytes / 10)
	if s.compacted() {
		return bbrkv.Page{}, bbrkv.ErrCompacted
	}
	for end := time.Now().Add(wait); ; {
		page := s.changes(prefix, after)
		if len(page.Items) > 0 || !time.Now().Before(end) || ctx.Err() != nil {
			for _, item := range page.Items {
				s.link.carry(wireBytes(item))
			}
			return page, ctx.Err()
		}
		bbrpause.For(ctx, 20*time.Millisecond)
	}
}

// compacted reports whether a watch finds the history compacted.
func (s *slowLinkStore) compacted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.compacts()
}

// changes returns the events after a revision.
func (s *slowLinkStore) changes(prefix string, after bbrkv.Revision) bbrkv.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := bbrkv.Page{AsOf: s.revision}
	for _, event := range s.events {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			page.Items = append(page.Items, event)
		}
	}
	return page
}

func (s *slowLinkStore) commit(_ context.Context, transaction bbrkv.Transaction) (bbrkv.Revision, error) {
	s.link.carry(packetBytes/10 + transactionBytes(&transaction)*4/3)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loses() {
		return 0, bbrkv.ErrAnswerLost
	}
	revision, err := s.transact(transaction)
	if s.loses() {
		return 0, bbrkv.ErrAnswerLost
	}
	return revision, err
}

// transact applies a transaction. The caller holds the lock.
func (s *slowLinkStore) transact(transaction bbrkv.Transaction) (bbrkv.Revision, error) {
	for _, condition := range transaction.Conditions {
		if s.items[condition.Key].Revision != condition.Revision {
			conflict := &bbrkv.Conflict{Items: make(map[string]bbrkv.Item)}
			for _, condition := range transaction.Conditions {
				if item, exists := s.items[condition.Key]; exists {
					conflict.Items[condition.Key] = item
				}
			}
			return 0, conflict
		}
	}
	s.revision++
	for _, put := range transaction.Puts {
		s.apply(bbrkv.Item{Key: put.Key, Value: put.Value, Revision: s.revision})
	}
	for _, key := range transaction.Removals {
		s.apply(bbrkv.Item{Key: key, Revision: s.revision, Deleted: true})
	}
	return s.revision, nil
}

// count returns the number of items under a prefix.
func (s *slowLinkStore) count(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			count++
		}
	}
	return count
}

// loadUpstreams are the upstreams of a shard, on which each run takes runTime.
type loadUpstreams struct {
	link     *slowLink
	runTime  time.Duration
	bootedAt time.Time
	// loses reports whether the answer to a start is lost.
	loses func() bool

	mu sync.Mutex
	// hosts has the upstreams by ID.
	hosts map[string]*loadHost
	// done counts the runs of each work unit that ended as done, and overlaps those that were
	// started while another one ran.
	done, overlaps map[bbrwork.Unit]int
	// firstStart is when the first order arrived.
	firstStart time.Time
	starts     int
}

// loadHost is one of the loadUpstreams.
type loadHost struct {
	upstream bbrwork.Upstream
	running  map[bbrwork.Unit]loadRun
	ended    []bbrwork.RunEnd
	// acknowledged is the sequence number up to which ends are forgotten.
	acknowledged int64
	// token is the highest fencing token of an order.
	token int64
}

// loadRun is a run that ends at a time.
type loadRun struct {
	number int
	ends   time.Time
}

func newLoadUpstreams(link *slowLink, count int, runTime time.Duration) *loadUpstreams {
	u := &loadUpstreams{loses: func() bool { return false }, link: link, runTime: runTime, bootedAt: time.Now(), hosts: make(map[string]*loadHost), done: make(map[bbrwork.Unit]int), overlaps: make(map[bbrwork.Unit]int)}
	for i := range count {
		id := fmt.Sprintf("i-%02d", i)
		u.hosts[id] = &loadHost{running: make(map[bbrwork.Unit]loadRun), upstream: bbrwork.Upstream{
			Incarnation: bbrwork.Incarnation{ID: id, StartMillis: 1000}, Service: "press", Address: netip.MustParseAddrPort("10.0.0.1:80"),
			Capacity: bbrwork.Resources{MilliCPU: 8000, MemoryMB: 8000},
		}}
	}
	return u
}

// upstreams returns the registrations.
func (u *loadUpstreams) upstreams() []bbrwork.Upstream {
	var upstreams []bbrwork.Upstream
	for _, id := range slices.Sorted(maps.Keys(u.hosts)) {
		upstreams = append(upstreams, u.hosts[id].upstream)
	}
	return upstreams
}

// expire ends the runs that are over. The caller holds the lock.
func (u *loadUpstreams) expire(now time.Time) {
	for _, host := range u.hosts {
		for _, unit := range slices.SortedFunc(maps.Keys(host.running), func(a, b bbrwork.Unit) int { return strings.Compare(a.String(), b.String()) }) {
			run := host.running[unit]
			if run.ends.After(now) {
				continue
			}
			u.done[unit]++
			delete(host.running, unit)
			host.ended = append(host.ended, bbrwork.RunEnd{Sequence: host.acknowledged + int64(len(host.ended)) + 1, Unit: unit, Run: run.number, Outcome: bbrwork.OutcomeDone})
		}
	}
}

// fenced reports whether an order is refused for its token.
func (u *loadUpstreams) fenced(id string, token int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	host := u.hosts[id]
	host.token = max(host.token, token)
	return token < host.token
}

// run records that a run begins.
func (u *loadUpstreams) run(id string, unit bbrwork.Unit, number int, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expire(now)
	for _, host := range u.hosts {
		if _, runs := host.running[unit]; runs {
			u.overlaps[unit]++
		}
	}
	if u.firstStart.IsZero() {
		u.firstStart = now
	}
	u.starts++
	u.hosts[id].running[unit] = loadRun{number: number, ends: now.Add(u.runTime)}
}

func (u *loadUpstreams) start(_ context.Context, up bbrwork.Upstream, start bbrorder.Start) (time.Duration, error) {
	u.link.carry(300)
	if u.fenced(up.ID, start.Token) {
		return 0, bbrorder.ErrFenced
	}
	u.run(up.ID, start.Unit, start.Run, time.Now())
	u.link.carry(150)
	if u.loses() {
		return 0, bbrorder.ErrAnswerLost
	}
	return time.Since(u.bootedAt), nil
}

func (u *loadUpstreams) stop(_ context.Context, up bbrwork.Upstream, stop bbrorder.Stop) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.hosts[up.ID].running, stop.Unit)
	return nil
}

func (u *loadUpstreams) renew(ctx context.Context, up bbrwork.Upstream, renewal bbrorder.Renewal) (bbrwork.Listing, error) {
	u.link.carry(200)
	if u.fenced(up.ID, renewal.Token) {
		return bbrwork.Listing{}, bbrorder.ErrFenced
	}
	for end := time.Now().Add(renewal.Wait); time.Now().Before(end) && !u.hasEnds(up.ID, renewal.Acknowledged, time.Now()) && ctx.Err() == nil; {
		bbrpause.For(ctx, 20*time.Millisecond)
	}
	listing := u.list(up.ID, renewal.Acknowledged, time.Now())
	u.link.carry(150 + 60*(len(listing.Running)+len(listing.Ended)))
	return listing, ctx.Err()
}

func (u *loadUpstreams) hasEnds(id string, acknowledged int64, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expire(now)
	host := u.hosts[id]
	return host.acknowledged+int64(len(host.ended)) > acknowledged
}

func (u *loadUpstreams) list(id string, acknowledged int64, now time.Time) bbrwork.Listing {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expire(now)
	host := u.hosts[id]
	if forget := acknowledged - host.acknowledged; forget > 0 {
		host.ended, host.acknowledged = slices.Clone(host.ended[forget:]), acknowledged
	}
	listing := bbrwork.Listing{Clock: now.Sub(u.bootedAt), StartMillis: 1000, Ended: slices.Clone(host.ended)}
	for unit, run := range host.running {
		listing.Running = append(listing.Running, bbrwork.Run{Unit: unit, Number: run.number, Percent: 50})
	}
	return listing
}

// loadScene is a shard with stored jobs, whose owner was lost.
type loadScene struct {
	store     *slowLinkStore
	upstreams *loadUpstreams
	shard     bbrwork.Shard
	// steps is the number of further steps of a job.
	steps int
}

// newLoadScene returns a shard with count jobs. An earlier owner may have started the first
// half of them, and has started the first running ones.
func newLoadScene(count, upstreams, running, bytesPerSecond int, runTime time.Duration) *loadScene {
	return newLoadSceneOfSteps(0, count, upstreams, running, bytesPerSecond, runTime)
}

// newLoadSceneOfSteps is newLoadScene with jobs that have further steps.
func newLoadSceneOfSteps(steps, count, upstreams, running, bytesPerSecond int, runTime time.Duration) *loadScene {
	s := &loadScene{steps: steps, store: newSlowLinkStore(bytesPerSecond), shard: bbrwork.Shard{Service: "press", Cell: 2}}
	s.upstreams = newLoadUpstreams(s.store.link, upstreams, runTime)
	now := time.Now()
	for i := range count {
		s.accept(i, now)
	}
	ups := s.upstreams.upstreams()
	for i := range running {
		unit := bbrwork.Unit{Job: s.jobID(i)}
		s.upstreams.run(ups[i%len(ups)].ID, unit, 1, now)
	}
	s.upstreams.firstStart, s.upstreams.starts = time.Time{}, 0
	s.store.put(bbrrecord.IncarnationsKey(s.shard), bbrrecord.Encode(ups))
	s.store.put(bbrrecord.SequenceKey(s.shard), bbrrecord.Encode(bbrrecord.Sequence{Token: 1, Number: 5, Horizon: bbrkv.Revision(max(1, count/2)), OrdersStored: true}))
	return s
}

// jobID returns the ID of a job. The order of IDs is not that of acceptance.
func (s *loadScene) jobID(number int) string {
	return fmt.Sprintf("%016x", uint64(number+1)*0x9e3779b97f4a7c15)
}

// accept stores a job.
func (s *loadScene) accept(number int, now time.Time) (*bbrwork.Job, bbrkv.Revision) {
	step := bbrwork.Step{Count: 1, Need: bbrwork.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: s.upstreams.runTime}
	job := &bbrwork.Job{ID: s.jobID(number), Queue: "proofs", Service: "press", Cell: 2, Spec: strings.Repeat("s", 100), Steps: []bbrwork.Step{step}, Accepted: now}
	for i := range s.steps {
		step.DependsOn = []int{i}
		job.Steps = append(job.Steps, step)
	}
	return job, s.store.put(bbrrecord.JobKey(s.shard, job.ID), bbrrecord.Encode(job))
}

// storedBytes returns the size of what is stored, as it is read.
func (s *loadScene) storedBytes() int {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	bytes := 0
	for _, item := range s.store.items {
		bytes += wireBytes(item)
	}
	return bytes
}

// claim returns the owner of a new claim.
func (s *loadScene) claim() *Owner {
	s.store.put(bbrclaim.ClaimKey(s.shard.String()), []byte("{}"))
	s.store.mu.Lock()
	token := s.store.revision
	// The claim is made anew: its key was created at this revision.
	claim := s.store.items[bbrclaim.ClaimKey(s.shard.String())]
	claim.Created = token
	s.store.items[claim.Key] = claim
	s.store.mu.Unlock()
	config := bbrwork.NewConfig(1, []*bbrwork.Queue{{Name: "proofs", Service: "press", Attempts: 3, Stretch: 1.6, Objective: time.Second}}, nil, bbrwork.Limits{})
	return &Owner{
		Held: bbrclaim.HeldClaim{Name: s.shard.String(), Token: token}, Shard: s.shard, Store: s.store.store(), Metrics: bbrmetric.New(),
		Client: &bbrorder.Client{Start: s.upstreams.start, Stop: s.upstreams.stop, Renew: s.upstreams.renew},
		Timing: bbrscheduler.Timing{
			RunLease: 4500 * time.Millisecond, MaxRunLease: 6 * time.Second, StartTimeout: 1500 * time.Millisecond, Handover: bbrclaim.ConfirmationTTL,
			StopTimeout: time.Second, RecoveryTime: 4 * time.Second, RemoteDataFactor: 3,
		},
		Confirmed:        func(time.Time) bool { return true },
		Config:           func() *bbrwork.Config { return config },
		Reserved:         func() (map[string]bool, bbrkv.Revision) { return nil, 0 },
		ListIncarnations: func(context.Context) (map[string]bool, error) { return nil, bbrkv.ErrRefused },
		Registered: func(_ bbrwork.Shard, known bbrregistry.Version) ([]bbrwork.Upstream, bbrregistry.Version) {
			version := bbrregistry.Version{ServiceChanges: 1}
			if known == version {
				return nil, known
			}
			return s.upstreams.upstreams(), version
		},
	}
}

// awaitLoaded waits until the owner has loaded all jobs, and returns how long that took. It
// returns false if it has not within the limit.
func awaitLoaded(o *Owner, limit time.Duration) (time.Duration, bool) {
	begin := time.Now()
	for time.Since(begin) < limit {
		o.mu.Lock()
		loaded := o.scheduler != nil && !o.scheduler.Loading()
		o.mu.Unlock()
		if loaded {
			return time.Since(begin), true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return limit, false
}

const (
	// maxStartDelay is the time from a claim to the first start.
	maxStartDelay = 3 * time.Second
	// loadFactor is by how much longer loading may take than what is stored takes on the link:
	// the work that begins meanwhile uses it too. loadExtra is added for retries.
	loadFactor = 2
	loadExtra  = 5 * time.Second
	// mbit2 is 2 Mbit/s in bytes per second.
	mbit2 = 250000
)

// TestShardWithALargeBacklogStartsWorkSoon guards against a shard that is claimed and served
// by nobody: an owner that loads everything before it plans, and anew after each failed read,
// never starts anything if its link is small and single reads fail.
func TestShardWithALargeBacklogStartsWorkSoon(t *testing.T) {
	for _, test := range []struct {
		name string
		jobs int
		cut  func(call int) int
		// onlyStart means that the test ends before everything is loaded.
		onlyStart bool
	}{
		{name: "many jobs", jobs: 10000, cut: func(call int) int { return []int{-1, 0}[call%2] }, onlyStart: true},
		{name: "all reads succeed", jobs: 3000, cut: func(int) int { return -1 }},
		{name: "every second read fails", jobs: 3000, cut: func(call int) int { return []int{-1, 0}[call%2] }},
		{name: "two of three reads fail", jobs: 1000, cut: func(call int) int { return []int{-1, 0, 300}[call%3] }},
		{name: "responses are cut after 50 kB", jobs: 2000, cut: func(int) int { return 50000 }},
		{name: "responses are cut after 4 kB", jobs: 500, cut: func(int) int { return 4000 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLoadScene(test.jobs, 10, 20, mbit2, time.Second)
				s.store.cut = test.cut
				size := s.storedBytes()
				o := s.claim()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				claimed := time.Now()
				var wg sync.WaitGroup
				wg.Go(func() { o.Run(ctx) })
				limit := time.Duration(loadFactor*float64(size)/mbit2*float64(time.Second)) + loadExtra
				if test.onlyStart {
					limit = maxStartDelay
				}
				took, loaded := awaitLoaded(o, limit)
				cancel()
				wg.Wait()
				t.Logf("%d bytes take %.1f s on the link; loaded after %v, first start after %v, %d starts, %d jobs read", size, float64(size)/mbit2, took, s.upstreams.firstStart.Sub(claimed), s.upstreams.starts, s.store.jobsRead)
				require.False(t, s.upstreams.firstStart.IsZero(), "nothing was started in %v", limit)
				require.LessOrEqual(t, s.upstreams.firstStart.Sub(claimed), maxStartDelay)
				require.Equal(t, !test.onlyStart, loaded, "loaded within %v", limit)
				require.Empty(t, s.upstreams.overlaps)
				require.LessOrEqual(t, s.store.jobsRead, test.jobs, "a job is read once")
			})
		})
	}
}
