package bbrclaim

import (
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// minOwnedTime is how long an owner keeps a shard at least before it hands over because
	// it is slow. It bounds the hand-overs of a shard for all entries together, as a new
	// owner waits too.
	minOwnedTime = time.Minute
	// minOverdueOwnedTime is the minimum for an owner that is overdue with lease renewals,
	// unless the owner before handed the shard over. It covers loading the shard and listing
	// its runs.
	minOverdueOwnedTime = 3 * time.Second
	// handOverPause is the minimum time before a hand-over since a shard's claim ended or, if
	// leases are overdue, since a shard was handed over, as far as the entry knows. It lets a
	// hand-over take effect on the entry's other shards, and keeps entries that are all slow
	// from handing over at the same time.
	handOverPause = 10 * time.Second
	// MaxLoadIdleTime is how long nothing may arrive of a shard that its owner loads before it
	// hands the shard over. It exceeds the timeouts of several calls to the store.
	MaxLoadIdleTime = 6 * time.Second
	// deferral is how long an entry leaves a shard that it handed over to others. It is many
	// times claimStagger, so that several of them can attempt the claim.
	deferral = 15 * time.Second
)

// Relief decides which owners of an entry hand over their shards because they are slow: by
// HandOver, if their rounds have been late for long, by HandOverOverdue, if their work is
// harmed, and by HandOverUnloaded, if they cannot load the shard. It keeps the entry from
// claiming such a shard again.
type Relief struct {
	Entry     string
	Directory *Directory
	// Count counts a decision.
	Count func(decision Decision)

	mu sync.Mutex
	// lastAt is when the entry last handed a shard over.
	lastAt time.Time
	// until has the shards that were handed over and the times until which the entry leaves
	// them to others.
	until map[string]time.Time
}

// Decision is a decision about an owner whose planning rounds are late, or that cannot load
// its shard.
type Decision string

// Decisions: a hand-over and its cause, or the reason for which the shard is kept.
const (
	HandOverLate     Decision = "late"
	HandOverOverdue  Decision = "overdue"
	HandOverUnloaded Decision = "unloaded"
	KeptRecent       Decision = "recentOwner"
	KeptAfterAnother Decision = "afterAnother"
	KeptNoSpare      Decision = "noSpareEntry"
)

// HandsOver reports whether the decision is a hand-over.
func (d Decision) HandsOver() bool {
	return d == HandOverLate || d == HandOverOverdue || d == HandOverUnloaded
}

// HandOver reports whether the slow owner of the name, which it has owned since a time, is
// to release its claim now.
func (r *Relief) HandOver(name string, ownedSince, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	decision := decideHandOver(now.Sub(ownedSince), now.Sub(r.Directory.lastEnd(r.lastAt)), r.Directory.hasSpareEntry(r.Entry))
	return r.carryOut(name, decision, keptLate, now)
}

// HandOverOverdue reports whether the owner of the name, which it has owned since a time, is
// to release its claim now, as its rounds are late and leases of its runs were not renewed in
// time. As the work may have no run meanwhile, it waits for minOwnedTime only if the owner
// before has handed the shard over as well: then entries are slow in general, and the shard
// would move on and on. The successor of an owner that was lost need not wait, nor does the
// loss of other owners delay it: it is then that work has no run.
func (r *Relief) HandOverOverdue(name string, ownedSince, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	decision := decideOverdue(now.Sub(ownedSince), now.Sub(r.Directory.lastHandOver(r.lastAt)), r.Directory.handedOver(name), r.Directory.hasSpareEntry(r.Entry))
	return r.carryOut(name, decision, keptLate, now)
}

// HandOverUnloaded reports whether the owner of the name, which it has owned since a time, is
// to release its claim now, as the shard is not loaded and nothing of it has arrived for the
// idle time. If the owner before has handed the shard over as well, it waits for
// minOwnedTime: then it is likely the store that lets nobody load it.
func (r *Relief) HandOverUnloaded(name string, idle time.Duration, ownedSince, now time.Time) bool {
	if idle < MaxLoadIdleTime {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	decision := decideUnloaded(now.Sub(ownedSince), now.Sub(r.Directory.lastHandOver(r.lastAt)), r.Directory.handedOver(name), r.Directory.hasSpareEntry(r.Entry))
	return r.carryOut(name, decision, keptUnloaded, now)
}

// Log lines about a claim that is kept.
const (
	keptLate     = "Keeping a claim although its rounds are late"
	keptUnloaded = "Keeping a claim although its shard does not load"
)

// carryOut counts the decision, records a hand-over and reports whether it is one. It logs
// kept if it is not.
func (r *Relief) carryOut(name string, decision Decision, kept string, now time.Time) bool {
	r.Count(decision)
	if !decision.HandsOver() {
		klog.InfoS(kept, "claim", name, "reason", decision)
		return false
	}
	if name != LeadershipName {
		r.lastAt = now
	}
	if r.until == nil {
		r.until = make(map[string]time.Time)
	}
	r.until[name] = now.Add(deferral)
	return true
}

// lastEnd returns when a claim of a shard was last seen to have ended, at least the given
// time. The fleet leadership does not count: an entry that lacks processor time may hand it
// over as well, and that must not delay the work of its shards.
func (d *Directory) lastEnd(at time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, ended := range d.endedAt {
		if name != LeadershipName && ended.After(at) {
			at = ended
		}
	}
	return at
}

// decideHandOver decides about a slow owner, by how long it has had the shard and how long
// ago a claim of any entry ended.
func decideHandOver(owned, sinceLast time.Duration, spareEntry bool) Decision {
	switch {
	case owned < minOwnedTime:
		return KeptRecent
	case sinceLast < handOverPause:
		return KeptAfterAnother
	case !spareEntry:
		return KeptNoSpare
	default:
		return HandOverLate
	}
}

// decideOverdue decides about an owner that is overdue with renewals, by how long it has had
// the shard, how long ago any entry handed a shard over, and whether the owner before has handed
// this one over.
func decideOverdue(owned, sinceLast time.Duration, handedOver, spareEntry bool) Decision {
	switch {
	case owned < minOverdueOwnedTime || handedOver && owned < minOwnedTime:
		return KeptRecent
	case sinceLast < handOverPause:
		return KeptAfterAnother
	case !spareEntry:
		return KeptNoSpare
	default:
		return HandOverOverdue
	}
}

// decideUnloaded decides about an owner that gets nothing of its shard, by the same as
// decideOverdue.
func decideUnloaded(owned, sinceLast time.Duration, handedOver, spareEntry bool) Decision {
	switch {
	case handedOver && owned < minOwnedTime:
		return KeptRecent
	case sinceLast < handOverPause:
		return KeptAfterAnother
	case !spareEntry:
		return KeptNoSpare
	default:
		return HandOverUnloaded
	}
}

// handedOver reports whether the last claim of the name that ended was removed while its entry
// kept its lease. The claims of an entry that is lost, or restarts, end with its lease.
func (d *Directory) handedOver(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	ended, ok := d.endedClaims[name]
	return ok && d.keepsLease(ended)
}

// lastHandOver returns when a shard was last seen to be handed over, at least the given time.
func (d *Directory) lastHandOver(at time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, ended := range d.endedClaims {
		if name != LeadershipName && d.keepsLease(ended) {
			at = later(at, d.endedAt[name])
		}
	}
	return at
}

// keepsLease reports whether the entry of a claim has the lease to which the claim was
// attached. The caller holds the lock.
func (d *Directory) keepsLease(claim Claim) bool { return d.entries[claim.Entry].Lease == claim.Lease }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// leaves reports whether the entry leaves the name to others: it has handed it over lately,
// and another entry can take it. A nil Relief leaves none.
func (r *Relief) leaves(name string, now time.Time) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	until, handedOver := r.until[name]
	if handedOver && !now.Before(until) {
		delete(r.until, name)
	}
	return handedOver && now.Before(until) && r.Directory.hasSpareEntry(r.Entry)
}

// spareShare is the least capacity for each claim that a successor must have with one claim
// more, as a part of what the slow entry has now. Entries with as many claims for their
// capacity as the slow one have it with any number of claims.
const spareShare = 0.5

// hasSpareEntry reports whether another entry has capacity for one more claim.
func (d *Directory) hasSpareEntry(entry string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	claimCounts := d.claimCounts()
	own := d.preferenceOf(entry, claimCounts)
	needed := spareShare * float64(own.capacity) / float64(max(1, own.claims))
	for name := range d.entries {
		other := d.preferenceOf(name, claimCounts)
		if name != entry && float64(other.capacity)/float64(other.claims+1) >= needed {
			return true
		}
	}
	return false
}

// claimCounts returns the number of claims of each entry. The caller holds the lock.
func (d *Directory) claimCounts() map[string]int {
	counts := make(map[string]int)
	for _, claim := range d.claims {
		counts[claim.Entry]++
	}
	return counts
}
