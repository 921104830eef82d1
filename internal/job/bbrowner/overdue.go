package bbrowner

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
)

const (
	// overdueMemory is how long an overdue renewal counts. Once the runs have lapsed, no
	// renewal is due, but the work starts late again.
	overdueMemory = 5 * time.Second
	// overdueRetryDelay is the pause after a decision to keep the shard.
	overdueRetryDelay = time.Second
)

// overdueState is what handsOverOverdue remembers between rounds. The zero value is ready
// to use.
type overdueState struct {
	// lateness is how late the planning rounds are. It is separate from Owner.lateness, which
	// is not capped and is reset by each decision.
	lateness bbrclaim.Lateness
	// askedAt is when the owner last asked whether it is to hand over.
	askedAt time.Time
}

// handsOverOverdue reports whether the owner has to release its claim, since its rounds are
// late and leases of its runs were not renewed in time. Neither alone suffices: late rounds
// may harm nobody, and a lease may run out because answers are lost, which another entry
// would not change.
func (o *Owner) handsOverOverdue(now time.Time) bool {
	late := o.overdue.lateness.RecordHarmful(now, planInterval)
	if o.HandOverOverdue == nil || !late || !o.Confirmed(now) || now.Sub(o.overdue.askedAt) < overdueRetryDelay {
		return false
	}
	o.mu.Lock()
	overdueAt := o.scheduler.RenewalOverdueAt(now)
	o.mu.Unlock()
	if overdueAt.IsZero() || now.Sub(overdueAt) > overdueMemory {
		return false
	}
	o.overdue.askedAt = now
	if !o.HandOverOverdue(o.startedAt, now) {
		return false
	}
	klog.InfoS("Handing over a shard, as its planning rounds are late and leases were not renewed in time", "shard", o.Shard, "token", o.Held.Token, "lastOverdueAge", now.Sub(overdueAt).Round(time.Millisecond), "owned", now.Sub(o.startedAt).Round(time.Millisecond))
	return true
}
