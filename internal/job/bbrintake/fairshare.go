package bbrintake

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrfairshare"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// waitTTL is how long a wait that an owner reported is used. Afterwards a job is accepted
// again, and the answer to its hint has the present wait.
const waitTTL = time.Second

// waitKey identifies the jobs for which a wait is expected.
type waitKey struct{ organisation, queue string }

// reportedWaits are the waits that an owner expects for new jobs of its shard.
type reportedWaits struct {
	// owner is the fencing token of the owner.
	owner bbrkv.Revision
	// at is when the entry asked.
	at    time.Time
	waits map[waitKey]bbrfairshare.Wait
}

// WaitCache caches the waits that owners reported for new jobs, by shard. The zero value is
// ready to use.
type WaitCache struct {
	mu     sync.Mutex
	shards map[bbrwork.Shard]reportedWaits
}

// Record records the waits that the owner with the token expects, as of the time at which
// the entry asked. Organisations that are left out have no wait. An
// answer without waits is kept too, so that an older one that arrives later is not used.
func (c *WaitCache) Record(shard bbrwork.Shard, owner bbrkv.Revision, waits []bbrfairshare.Wait, asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.shards[shard]; ok && (owner < known.owner || owner == known.owner && asked.Before(known.at)) {
		return
	}
	reported := reportedWaits{owner: owner, at: asked, waits: make(map[waitKey]bbrfairshare.Wait, len(waits))}
	for _, wait := range waits {
		reported.waits[waitKey{wait.Organisation, wait.Queue}] = wait
	}
	if c.shards == nil {
		c.shards = make(map[bbrwork.Shard]reportedWaits)
	}
	c.shards[shard] = reported
}

// Get returns the wait that the owner with the token expects for a new job; false if it
// reported none in the last second.
func (c *WaitCache) Get(shard bbrwork.Shard, owner bbrkv.Revision, organisation, queue string, now time.Time) (bbrfairshare.Wait, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reported, ok := c.shards[shard]
	if !ok || reported.owner != owner || now.Sub(reported.at) > waitTTL {
		return bbrfairshare.Wait{}, false
	}
	wait, ok := reported.waits[waitKey{organisation, queue}]
	return wait, ok
}

// beyondShare reports whether the backlog of the job's organisation is too long for a new
// job, and returns the wait and when the caller should retry.
func (i *Intake) beyondShare(job *bbrwork.Job, queue *bbrwork.Queue, now time.Time) (wait bbrfairshare.Wait, retryAfter time.Duration, beyond bool) {
	if i.ExpectedWait == nil || job.Organisation == "" || job.LongRunning() || job.Schedule.Count > 0 {
		return wait, 0, false
	}
	wait, known := i.ExpectedWait(job.Shard(), job.Organisation, queue.Name, now)
	if !known {
		return wait, 0, false
	}
	retryAfter, beyond = wait.Refuse(job.CriticalPath(), queue.Stretch, queue.Objective)
	return wait, retryAfter, beyond
}

// refuseBeyondShare decides whether to refuse a job whose organisation's backlog is too
// long, and returns when the caller should retry. A job that may be stored already, by an
// earlier submission, is not refused: a refusal means that it never runs.
func (i *Intake) refuseBeyondShare(ctx context.Context, job *bbrwork.Job, queue *bbrwork.Queue, now time.Time) (time.Duration, bool) {
	wait, retryAfter, beyond := i.beyondShare(job, queue, now)
	if !beyond {
		return 0, false
	}
	if i.mayBeStored(ctx, job) {
		return 0, false
	}
	klog.InfoS("Refusing a job of an organisation whose backlog is too long", "job", job.ID, "organisation", job.Organisation, "queue", queue.Name,
		"shard", job.Shard(), "wait", wait.Expected, "path", job.CriticalPath(), "usualPath", wait.Path, "beyond", wait.Beyond, "retryAfter", retryAfter)
	return retryAfter, true
}
