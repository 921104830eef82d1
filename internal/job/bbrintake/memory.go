package bbrintake

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	// heldShare is the part of its memory that an entry has for the jobs that its owners hold. The
	// rest is for its callers, for lists that it reads, and for the garbage collector.
	heldShare  = 0.45
	bytesPerMB = 1 << 20
	// reportLag is how much later a report has a job than the store.
	reportLag = 500 * time.Millisecond
	// maxUncounted is how long a job counts beside the stored sum if the sum is not stored anew: it
	// has not changed much then.
	maxUncounted = 4 * time.Second
	// maxAssumedEntries bounds the entries that are taken to accept as much as this one: callers are
	// spread unevenly over many entries. Owners defer what is accepted beyond the bound.
	maxAssumedEntries = 4
	// Jobs that need more than one in wideShare of the bound leave one in wideReserve of it to
	// others, and those that need more than one in mediumShare leave one in mediumReserve, so that
	// few large jobs that never end do not keep small ones out.
	wideShare, wideReserve     = 16, 4
	mediumShare, mediumReserve = 256, 8
)

// MaxHeldBytes returns what an entry with the memory, in megabytes, has for the jobs that its owners
// hold; 0 if its memory is unknown.
func MaxHeldBytes(memoryMB int) int64 { return int64(heldShare * float64(memoryMB) * bytesPerMB) }

// MemoryBound bounds the jobs of all shards by what the smallest entry can hold, since one entry may
// come to own all shards. What is done or cancelled does not count. The fleet leader adds up the
// owners' reports; until it has counted a job, the entry that accepted it does, and takes some of the
// other entries to accept as much.
type MemoryBound struct {
	// Smallest returns the smallest known memory of the entries, in megabytes, and their number.
	// The memory is 0 if none is known; then there is no bound.
	Smallest func() (memoryMB, entries int)
	// Counted returns what is counted.
	Counted func() bbrclaim.HeldBytes

	mu sync.Mutex
	// uncounted has the jobs that may not be counted, by ascending time, and sum their bytes.
	uncounted []uncountedJob
	sum       int64
}

// uncountedJob is a job that this entry accepted.
type uncountedJob struct {
	at    time.Time
	bytes int64
}

// Outcomes of an admission.
type memoryDecision uint8

const (
	memorySuffices memoryDecision = iota
	// memoryFull: there will be room when other jobs have ended.
	memoryFull
	// memoryTooSmall: the job alone needs more than there is.
	memoryTooSmall
)

// admit decides whether a job that needs the memory may be accepted, and counts it if so.
func (m *MemoryBound) admit(bytes int64, now time.Time) memoryDecision {
	memoryMB, entries := m.Smallest()
	limit := MaxHeldBytes(memoryMB)
	counted := m.Counted()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forgetCounted(counted.At, now)
	withOthers := m.sum * int64(min(max(1, entries), maxAssumedEntries))
	switch {
	case limit == 0:
	case bytes > limit:
		return memoryTooSmall
	case counted.Bytes+withOthers+bytes > limit-reserveFrom(bytes, limit):
		return memoryFull
	}
	m.uncounted = append(m.uncounted, uncountedJob{at: now, bytes: bytes})
	m.sum += bytes
	return memorySuffices
}

// reserveFrom returns the part of the bound that a job of the size leaves to others. It is at most half
// of what is left beside the job, so that each job that fits alone is accepted where there is little
// else.
func reserveFrom(bytes, limit int64) int64 {
	reserve := int64(0)
	switch {
	case bytes > limit/wideShare:
		reserve = limit / wideReserve
	case bytes > limit/mediumShare:
		reserve = limit / mediumReserve
	}
	return min(reserve, (limit-bytes)/2)
}

// forgetCounted removes the jobs that the sum as of the time has. The caller holds the lock.
func (m *MemoryBound) forgetCounted(asOf, now time.Time) {
	forgotten := 0
	for _, job := range m.uncounted {
		if !job.at.Before(asOf.Add(-reportLag)) && now.Sub(job.at) < maxUncounted {
			break
		}
		m.sum -= job.bytes
		forgotten++
	}
	m.uncounted = m.uncounted[forgotten:]
}

// refuseBeyondMemory decides whether to refuse a job because owners could not hold it, and returns
// the code; 0 to accept it. A job that may be stored already, by an earlier submission, is not
// refused: a refusal means that it never runs.
func (i *Intake) refuseBeyondMemory(ctx context.Context, job *bbrwork.Job, now time.Time) bbrcode.Code {
	if i.Memory == nil {
		return 0
	}
	bytes := int64(job.HeldBytes())
	decision := i.Memory.admit(bytes, now)
	if decision == memorySuffices {
		return 0
	}
	if i.mayBeStored(ctx, job) {
		return 0
	}
	code := bbrcode.MemoryFull
	if decision == memoryTooSmall {
		code = bbrcode.JobTooLarge
	}
	klog.InfoS("Refusing a job, as an entry that owned all shards could not hold it", "job", job.ID, "organisation", job.Organisation, "queue", job.Queue,
		"shard", job.Shard(), "bytes", bytes, "needed", i.Memory.Counted().Bytes, "code", int(code))
	return code
}
