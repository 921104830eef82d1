package bbrintake

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const (
	// storedCountTimeout bounds the time to count the stored jobs of a shard.
	storedCountTimeout = 30 * time.Second
	// quickCountAge is how long a count is reused that took no longer than that: callers are
	// promised counts that are at most 2 s old.
	quickCountAge = time.Second
	// storedCountReuse is how long a count that took longer is reused, as a multiple of the
	// time that it took, up to maxStoredCountAge: counting takes no more than a part of the link.
	storedCountReuse  = 4
	maxStoredCountAge = 10 * time.Second
	// maxQuickCount is the number of waiting jobs, as last reported, up to which a shard
	// without a present report is counted. With more, all entries would read a long list
	// while the next owner reads it too, so that they wait for its report instead, for up to
	// maxReportWait from the first query on.
	maxQuickCount = 50
	maxReportWait = 5 * time.Second
	// reportCheckInterval is the time between two reads of an awaited report.
	reportCheckInterval = 200 * time.Millisecond
	// staleQueryGap is the time without queries after which a wait for a report begins anew.
	staleQueryGap = 10 * time.Second
)

// errNotReported means that the owner of a shard with a large backlog has not reported in time.
var errNotReported = errors.New("the owner of a shard with a large backlog has not reported yet")

// storedCounts shares the counts of stored jobs among queries: a count reads all jobs of a
// shard, which may take longer than a query lasts. The zero value is ready to use.
type storedCounts struct {
	mu     sync.Mutex
	counts map[bbrwork.Shard]*storedCount
	stale  map[bbrwork.Shard]staleReport
}

// staleReport is when queries found that the report of a shard is not the present owner's:
// the first one of a series, and the last one.
type staleReport struct{ since, last time.Time }

// storedCount counts the stored jobs of a shard of which nothing has begun by their progress.
type storedCount struct {
	intake *Intake
	shard  bbrwork.Shard
	began  time.Time
	// awaitUntil is until when a report of the shard's owner is awaited before.
	awaitUntil time.Time
	// done is closed at the end. The fields below are set before and do not change then.
	done    chan struct{}
	ended   time.Time
	waiting map[string]int
	err     error
}

// current returns the count that is in progress or recent, or begins one. It goes on when ctx
// ends, since other queries may wait for it. reported is the number of waiting jobs that an
// earlier owner reported.
func (c *storedCounts) current(ctx context.Context, intake *Intake, shard bbrwork.Shard, reported int, now time.Time) *storedCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts, c.stale = make(map[bbrwork.Shard]*storedCount), make(map[bbrwork.Shard]staleReport)
	}
	stale := c.stale[shard]
	if now.Sub(stale.last) > staleQueryGap {
		stale.since = now
	}
	stale.last = now
	c.stale[shard] = stale
	if count := c.counts[shard]; count != nil && count.reusable(now) {
		return count
	}
	count := &storedCount{intake: intake, shard: shard, began: now, done: make(chan struct{})}
	if reported > maxQuickCount {
		count.awaitUntil = stale.since.Add(maxReportWait)
	}
	c.counts[shard] = count
	go count.run(context.WithoutCancel(ctx))
	return count
}

// get returns the number of waiting jobs by queue. It waits for the count until ctx ends.
func (s *storedCount) get(ctx context.Context) (map[string]int, error) {
	select {
	case <-s.done:
		return s.waiting, s.err
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "counting the stored jobs has not ended")
	}
}

// reusable reports whether the count is in progress or recent.
func (s *storedCount) reusable(now time.Time) bool {
	select {
	case <-s.done:
	default:
		return true
	}
	took := s.ended.Sub(s.began)
	age := min(storedCountReuse*took, maxStoredCountAge)
	if took <= quickCountAge {
		age = quickCountAge
	}
	return s.err == nil && now.Sub(s.ended) < age
}

// run counts.
func (s *storedCount) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storedCountTimeout)
	defer cancel()
	defer close(s.done)
	waiting, reported := s.awaitReport(ctx)
	switch {
	case reported:
		s.waiting = waiting
	case !s.awaitUntil.IsZero():
		s.err = errNotReported
	default:
		s.waiting, s.err = s.count(ctx)
	}
	s.ended = time.Now()
}

// awaitReport waits for a report of the shard's present owner, until awaitUntil. It returns
// false if there is none then.
func (s *storedCount) awaitReport(ctx context.Context) (map[string]int, bool) {
	for time.Now().Before(s.awaitUntil) && ctx.Err() == nil {
		item, err := s.intake.Store.Get(ctx, bbrrecord.ReportKey(s.shard))
		var record bbrrecord.Report
		if err == nil && s.intake.reportIsCurrent(s.shard, item) && json.Unmarshal(item.Value, &record) == nil {
			return record.Waiting, true
		}
		bbrpause.For(ctx, reportCheckInterval)
	}
	return nil, false
}

// count returns the number of jobs of which nothing has begun, by queue. Progress may be stored
// before: with the number of a start that was ordered, or with a crash.
func (s *storedCount) count(ctx context.Context) (map[string]int, error) {
	queues := make(map[string]string)
	err := s.read(ctx, bbrrecord.JobPrefixOf(s.shard), func(item bbrkv.Item) {
		var job struct {
			Queue string `json:"queue"`
		}
		if err := json.Unmarshal(item.Value, &job); err != nil {
			klog.ErrorS(err, "Failed to decode a stored job", "key", item.Key, "revision", item.Revision)
			return
		}
		queues[bbrrecord.JobID(item.Key)] = job.Queue
	})
	if err != nil || len(queues) == 0 {
		return nil, err
	}
	err = s.read(ctx, bbrrecord.ProgressPrefixOf(s.shard), func(item bbrkv.Item) {
		if storedState(item) != bbrwork.Pending {
			delete(queues, bbrrecord.JobID(item.Key))
		}
	})
	if err != nil {
		return nil, err
	}
	waiting := make(map[string]int)
	for _, queue := range queues {
		waiting[queue]++
	}
	return waiting, nil
}

// read reads the items under a prefix. It continues behind the last item when an answer is
// lost, as long as items arrive.
func (s *storedCount) read(ctx context.Context, prefix string, each func(bbrkv.Item)) error {
	listing := bbrkv.Listing{Store: s.intake.Store, Prefix: prefix, OnItem: each}
	for {
		before := listing.Progress().Items
		err := listing.Read(ctx)
		if err == nil || listing.Progress().Items == before || !errors.Is(err, bbrkv.ErrAnswerLost) || ctx.Err() != nil {
			return err
		}
	}
}
