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
	// maxTransferTime is how long an entry that takes a shard over may need to read the
	// shard's jobs, and transferShare the part of its link that it has for that.
	maxTransferTime = 10 * time.Second
	transferShare   = 0.5
)

// maxBacklogBytes returns the size of the largest backlog that an entry with the link reads
// within maxTransferTime; 0 if the link is unknown.
func maxBacklogBytes(bytesPerSecond int) int {
	return int(transferShare * maxTransferTime.Seconds() * float64(bytesPerSecond))
}

// Backlogs bounds the backlog of each shard, so that every entry can take the shard over in
// a bounded time. Owners tell the size of their backlog in answers to hints and in their
// reports. Until an entry hears of a shard again, it accepts its part of what is left: all
// entries together exceed the bound by at most what was left when each last heard.
type Backlogs struct {
	// SmallestLink returns the smallest known link of the entries, in bytes a second, and
	// the number of entries. The link is 0 if none is known; then backlogs are not bounded.
	SmallestLink func() (bytesPerSecond, entries int)

	mu     sync.Mutex
	shards map[bbrwork.Shard]knownBacklog
}

// knownBacklog is what an entry knows of the backlog of a shard.
type knownBacklog struct {
	// bytes is what the owner told at the time at.
	bytes int
	at    time.Time
	// report is the revision of the report that was read last.
	report bbrkv.Revision
	// accepted is what this entry has accepted since.
	accepted int
}

// fits reports whether a job of the size fits into what this entry may still accept.
func (known knownBacklog) fits(size, limit, entries int) bool {
	left := limit - known.bytes
	return size <= left && (known.accepted == 0 || known.accepted+size <= left/max(1, entries))
}

// Record records the size of a shard's backlog that its owner told when asked at the time.
// A size of 0 means that the owner does not tell it. If that is because it loads the shard,
// what was known before remains.
func (b *Backlogs) Record(shard bbrwork.Shard, bytes int, loading bool, asked time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.known(shard)
	if loading || asked.Before(known.at) {
		return
	}
	b.shards[shard] = knownBacklog{bytes: bytes, at: asked, report: known.report}
}

// recordReport records the size in a report of the revision, read at the time, unless that report was
// read before: it does not have what was accepted since.
func (b *Backlogs) recordReport(shard bbrwork.Shard, bytes int, report bbrkv.Revision, read time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known := b.known(shard); report > known.report {
		b.shards[shard] = knownBacklog{bytes: bytes, at: read, report: report}
	}
}

// known returns what is known of the shard. The caller holds the lock.
func (b *Backlogs) known(shard bbrwork.Shard) knownBacklog {
	if b.shards == nil {
		b.shards = make(map[bbrwork.Shard]knownBacklog)
	}
	return b.shards[shard]
}

// admit reports whether a job of the size fits into the shard's backlog, and counts it if so.
func (b *Backlogs) admit(shard bbrwork.Shard, size int) bool {
	if !b.wouldAdmit(shard, size) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.known(shard)
	known.accepted += size
	b.shards[shard] = known
	return true
}

// wouldAdmit reports whether a job of the size fits into the shard's backlog. It always does
// if b is nil.
func (b *Backlogs) wouldAdmit(shard bbrwork.Shard, size int) bool {
	if b == nil {
		return true
	}
	bytesPerSecond, entries := b.SmallestLink()
	limit := maxBacklogBytes(bytesPerSecond)
	b.mu.Lock()
	defer b.mu.Unlock()
	return limit == 0 || b.known(shard).fits(size, limit, entries)
}

// refuseFullBacklog decides whether to refuse a job because the backlog of its shard is
// full. Before it does, it reads the report of the shard's owner. A job that may be stored already,
// by an earlier submission, is not refused: a refusal means that it never runs.
func (i *Intake) refuseFullBacklog(ctx context.Context, job *bbrwork.Job, now time.Time) bool {
	shard, size := job.Shard(), job.ListedBytes()
	if i.Backlogs == nil || i.Backlogs.admit(shard, size) {
		return false
	}
	if err := i.readBacklog(ctx, shard, now); err != nil {
		klog.InfoS("Failed to read the backlog of a shard from its report", "shard", shard, "reason", err.Error())
	} else if i.Backlogs.admit(shard, size) {
		return false
	}
	if i.mayBeStored(ctx, job) {
		return false
	}
	klog.InfoS("Refusing a job, as no more can be read in time by an entry that takes its shard over", "job", job.ID, "organisation", job.Organisation, "queue", job.Queue,
		"shard", shard, "bytes", size)
	return true
}

// readBacklog reads the size of the shard's backlog from the last report of its owner.
func (i *Intake) readBacklog(ctx context.Context, shard bbrwork.Shard, now time.Time) error {
	item, err := i.Store.Get(ctx, bbrrecord.ReportKey(shard))
	if err != nil {
		return err
	}
	var report bbrrecord.Report
	if err := json.Unmarshal(item.Value, &report); err != nil {
		return err
	}
	i.Backlogs.recordReport(shard, report.BacklogBytes, item.Revision, now)
	return nil
}
