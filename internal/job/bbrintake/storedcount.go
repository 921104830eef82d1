package bbrintake

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const (
	// storedCountTTL is how long after its start a read of a shard's stored jobs may serve
	// queries.
	storedCountTTL = time.Second
	// storedCountTimeout bounds a read.
	storedCountTimeout = defaultTimeout
)

// storedCounter counts the jobs of shards that have not started by what is stored. Queries
// about a shard share one read, since all of its jobs may take a slow link for seconds. The
// zero value is ready for use.
type storedCounter struct {
	mu    sync.Mutex
	reads map[bbrwork.Shard]*storedRead
}

// storedRead is a read of the stored jobs of a shard.
type storedRead struct {
	store     *bbrkv.Store
	shard     bbrwork.Shard
	startedAt time.Time
	// done is closed when the read has ended, and waiting and err are set.
	done chan struct{}
	// waiting is the number of jobs of each queue that have not started.
	waiting map[string]int
	err     error
}

// count returns the number of jobs of each queue in the shard that have not started.
func (c *storedCounter) count(ctx context.Context, store *bbrkv.Store, shard bbrwork.Shard, now time.Time) (map[string]int, error) {
	for {
		read := c.join(ctx, store, shard, time.Now())
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-read.done:
		}
		// A read that was under way may be older than this query accepts.
		if read.err != nil || read.isRecent(now) {
			return read.waiting, read.err
		}
	}
}

// join returns the read of the shard that is under way or has just been made, or starts one.
func (c *storedCounter) join(ctx context.Context, store *bbrkv.Store, shard bbrwork.Shard, now time.Time) *storedRead {
	c.mu.Lock()
	defer c.mu.Unlock()
	if read := c.reads[shard]; read != nil && (!read.ended() || read.err == nil && read.isRecent(now)) {
		return read
	}
	if c.reads == nil {
		c.reads = make(map[bbrwork.Shard]*storedRead)
	}
	read := &storedRead{store: store, shard: shard, startedAt: now, done: make(chan struct{})}
	c.reads[shard] = read
	// The queries that share the read have different deadlines.
	go read.run(context.WithoutCancel(ctx))
	return read
}

// isRecent reports whether the read may serve a query that arrived at now.
func (r *storedRead) isRecent(now time.Time) bool { return now.Sub(r.startedAt) <= storedCountTTL }

func (r *storedRead) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

func (r *storedRead) run(ctx context.Context) {
	defer close(r.done)
	ctx, cancel := context.WithTimeout(ctx, storedCountTimeout)
	defer cancel()
	r.waiting, r.err = r.read(ctx)
}

// read counts the stored jobs of the shard that have no progress.
func (r *storedRead) read(ctx context.Context) (map[string]int, error) {
	jobs, _, err := r.store.ReadAll(ctx, bbrrecord.JobPrefixOf(r.shard))
	if err != nil || len(jobs) == 0 {
		return nil, err
	}
	progress, _, err := r.store.ReadAll(ctx, bbrrecord.ProgressPrefixOf(r.shard))
	if err != nil {
		return nil, err
	}
	started := make(map[string]bool, len(progress))
	for _, item := range progress {
		started[bbrrecord.JobID(item.Key)] = true
	}
	waiting := make(map[string]int)
	for _, item := range jobs {
		var job bbrwork.Job
		if err := json.Unmarshal(item.Value, &job); err != nil {
			klog.ErrorS(err, "Failed to decode a stored job", "key", item.Key, "revision", item.Revision)
			continue
		}
		if !started[bbrrecord.JobID(item.Key)] {
			waiting[job.Queue]++
		}
	}
	return waiting, nil
}
