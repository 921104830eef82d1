package bbrowner

import (
	"time"

	"k8s.io/klog/v2"
)

// mustHandOver records the beginning of a planning round and reports whether the owner has
// to release its claim. While jobs are loaded, rounds may be late for that reason, and
// another entry would have to begin anew; loadMonitor decides then.
func (o *Owner) mustHandOver(now time.Time) bool {
	if _, unloaded := o.UnloadedFor(now); unloaded {
		return false
	}
	return o.handsOverOverdue(now) || o.handsOverLate(now)
}

// handsOverLate reports whether the owner has to release its claim, since its rounds have
// been late and another entry can take the shard over. If that is not so now, it is decided
// again after the rounds have been late for as long again.
func (o *Owner) handsOverLate(now time.Time) bool {
	// Without the store, the claim cannot be released.
	if o.HandOver == nil || !o.lateness.Record(now, planInterval) || !o.Confirmed(now) {
		return false
	}
	late := o.lateness.Reset()
	if !o.HandOver(o.startedAt, now) {
		return false
	}
	klog.InfoS("Handing over a shard, as its planning rounds are late", "shard", o.Shard, "token", o.Held.Token, "late", late, "owned", now.Sub(o.startedAt).Round(time.Millisecond))
	return true
}
