package bbrowner

import (
	"context"
	"encoding/json"
	"slices"
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
	// listedJobReaders is the number of jobs that are read by key at a time.
	listedJobReaders = 4
	// listedJobsInterval is the time between two checks for jobs to read by key.
	listedJobsInterval = 20 * time.Millisecond
)

// loader reads the stored jobs of the shard and their progress while the owner plans. What
// has been read is kept when a read fails. Jobs of which upstreams list runs or ends are read
// by key, as their upstreams take no other work before.
//
// A job is added together with its progress. Earlier owners can store nothing after the claim,
// so that what is read does not change but by the owner itself, once it knows the job.
type loader struct {
	owner          *Owner
	progress, jobs *bbrkv.Listing

	mu sync.Mutex
	// progressByID has the stored progress that has been read.
	progressByID map[string][]byte
	// reading has the jobs that are being read by key.
	reading map[string]bool
}

func newLoader(o *Owner) *loader {
	l := &loader{owner: o, progressByID: make(map[string][]byte), reading: make(map[string]bool)}
	l.progress = o.newListing(bbrrecord.ProgressPrefixOf(o.Shard), l.keepProgress)
	l.jobs = o.newListing(bbrrecord.JobPrefixOf(o.Shard), func(item bbrkv.Item) { l.addJob(item, l.progressOf(item.Key)) })
	return l
}

// run loads until all jobs are known or ctx ends. Jobs that upstreams list are read by key until
// no further work of earlier owners can be listed: the watch may deliver jobs late that were
// accepted after the claim, and an earlier owner may have started them.
func (l *loader) run(ctx context.Context) {
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for range listedJobReaders {
		reader := &listedJobReader{loader: l}
		wg.Go(func() { reader.run(readCtx) })
	}
	l.load(ctx)
	for ctx.Err() == nil && !l.knowsEarlierWork(time.Now()) {
		bbrpause.For(ctx, listedJobsInterval)
	}
	cancel()
	wg.Wait()
}

// load reads all jobs, and returns once they are known or ctx ends.
func (l *loader) load(ctx context.Context) {
	began := time.Now()
	l.readAll(ctx, stageProgress, l.progress)
	l.readAll(ctx, stageJobs, l.jobs)
	for ctx.Err() == nil && !l.finish(began, time.Now()) {
		bbrpause.For(ctx, listedJobsInterval)
	}
}

// knowsEarlierWork reports whether no job needs to be read by key any more. Work that counts as
// located by time only may still be listed until the next plan.
func (l *loader) knowsEarlierWork(now time.Time) bool {
	l.owner.mu.Lock()
	defer l.owner.mu.Unlock()
	return l.owner.scheduler.UnlocatedCount() == 0 && l.owner.scheduler.EarlierWorkKnown(now)
}

// readAll reads a listing, and continues it after failures, at once if anything has arrived.
func (l *loader) readAll(ctx context.Context, stage loadStage, listing *bbrkv.Listing) {
	for ctx.Err() == nil {
		before := listing.Progress().Items
		err := l.owner.readStage(ctx, stage, listing.Read)
		if err == nil {
			return
		}
		if listing.Progress().Items == before || !errors.Is(err, bbrkv.ErrAnswerLost) {
			bbrpause.For(ctx, loadRetryDelay)
		}
	}
}

func (l *loader) keepProgress(item bbrkv.Item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.progressByID[bbrrecord.JobID(item.Key)] = item.Value
}

// dropProgress drops the progress of all jobs. It is called once all jobs from before the claim
// have been added: later ones have none.
func (l *loader) dropProgress() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.progressByID = nil
}

// progressOf returns the progress of the job with the key. All progress has been read.
func (l *loader) progressOf(key string) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.progressByID[bbrrecord.JobID(key)]
}

// addJob adds a stored job to the scheduler. The owner's rounds plan it.
func (l *loader) addJob(item bbrkv.Item, progress []byte) {
	o := l.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	var job bbrwork.Job
	if err := json.Unmarshal(item.Value, &job); err != nil {
		klog.ErrorS(err, "Failed to decode stored job", "key", item.Key, "revision", item.Revision)
		o.scheduler.RecordMissing(bbrrecord.JobID(item.Key), time.Now())
		return
	}
	o.scheduler.AddJob(&job, item.Revision, progress, time.Now())
}

// beginListed returns a job to be read by key; "" if there is none. The caller calls endListed
// afterwards.
func (l *loader) beginListed() string {
	l.owner.mu.Lock()
	missing := l.owner.scheduler.MissingJobs(2 * listedJobReaders)
	l.owner.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range missing {
		if !l.reading[id] {
			l.reading[id] = true
			return id
		}
	}
	return ""
}

// endListed records that a job is no longer being read by key.
func (l *loader) endListed(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.reading, id)
}

// readListed reads a job and its progress by key, and adds it.
func (l *loader) readListed(ctx context.Context, id string) error {
	o := l.owner
	job, err := o.readRecord(ctx, stageListedJobs, bbrrecord.JobKey(o.Shard, id), nil)
	if err != nil {
		return err
	}
	if job.Revision == 0 {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.scheduler.RecordMissing(id, time.Now())
		return nil
	}
	allKnown := l.progress.Progress().Done
	progress := l.progressOf(job.Key)
	if progress == nil && !allKnown {
		item, err := o.readRecord(ctx, stageListedJobs, bbrrecord.ProgressKey(o.Shard, id), nil)
		if err != nil {
			return err
		}
		progress = item.Value
	}
	l.addJob(job, progress)
	return nil
}

// finish lets the scheduler know that all jobs have been added. It returns false if jobs are
// still to be read by key: the list lacks those that were accepted after their part of it was
// read, and an earlier owner may have started them.
func (l *loader) finish(began, now time.Time) bool {
	o := l.owner
	o.mu.Lock()
	if len(o.scheduler.MissingJobs(1)) > 0 {
		o.mu.Unlock()
		return false
	}
	for _, id := range o.scheduler.FinishLoading(now) {
		o.staleCrashKeys = append(o.staleCrashKeys, bbrrecord.CrashesKey(o.Shard, id))
	}
	jobs, stale := o.scheduler.JobCount(), len(o.staleCrashKeys)
	o.mu.Unlock()
	l.dropProgress()
	o.loading.finish()
	o.Metrics.Loaded(o.loading.claimAge(now))
	amount := o.loading.amount()
	klog.InfoS("Shard loaded", "shard", o.Shard, "token", o.Held.Token, "jobs", jobs, "items", amount.Items, "bytes", amount.Bytes, "took", now.Sub(began).Round(time.Millisecond))
	if stale > 0 {
		klog.InfoS("Crash records of ended jobs will be removed", "shard", o.Shard, "count", stale)
	}
	signal(o.flushNow)
	o.requestPlan()
	return true
}

// listedJobReader reads jobs that upstreams list, one after the other.
type listedJobReader struct {
	loader *loader
}

// run reads until ctx ends.
func (r *listedJobReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		id := r.loader.beginListed()
		if id == "" {
			bbrpause.For(ctx, listedJobsInterval)
			continue
		}
		err := r.loader.readListed(ctx, id)
		r.loader.endListed(id)
		if err != nil {
			bbrpause.For(ctx, loadRetryDelay)
		}
	}
}

// takeStaleCrashKeys returns at most count keys of crash records to be removed. The caller
// calls dropStaleCrashKeys once they are.
func (o *Owner) takeStaleCrashKeys(count int) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.staleCrashKeys[:min(len(o.staleCrashKeys), max(0, count))])
}

// dropStaleCrashKeys records that the first count crash records are removed.
func (o *Owner) dropStaleCrashKeys(count int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.staleCrashKeys = o.staleCrashKeys[count:]
}

// isLoading reports whether stored jobs may be missing in the scheduler. The caller holds the
// lock.
func (o *Owner) isLoading() bool { return o.scheduler == nil || o.scheduler.Loading() }
