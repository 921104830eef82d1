package bbrowner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrreservation"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
)

// loadLogInterval is the time between two log lines about the shard's capacity and
// its use.
const loadLogInterval = time.Second

// logLoad logs the load and updates the metrics of waits, if it is time to.
// The caller holds the lock.
func (o *Owner) logLoad(now time.Time) {
	if now.Sub(o.loadLoggedAt) < loadLogInterval {
		return
	}
	o.loadLoggedAt = now
	load := o.scheduler.Load(o.Confirmed(now), now)
	o.updateWaitMetrics(load.Waits)
	o.Metrics.SetExcluded(o.Shard.String(), load.Excluded)
	o.Metrics.SetLateWork(o.Shard.String(), load.Waits.LateUnits, load.Waits.ReservedFits)
	o.Metrics.SetUnlocated(o.Shard.String(), o.scheduler.UnlocatedCount())
	o.updateOrganisationMetrics()
	o.updateCrashMetrics()
	o.updateLapseMetrics()
	o.updateLeaseMetrics()
	o.updateReservationMetrics()
	o.updateVacancyMetrics()
	o.updateSeparationMetrics()
	klog.InfoS("Load", append([]any{"shard", o.Shard, "token", o.Held.Token, "jobs", load.Jobs, "deferred", load.Deferred, "heldBytes", load.HeldBytes, "late", load.Late,
		"upstreams", load.Upstreams, "reached", load.Reached, "reserved", load.Reserved, "suspect", load.Suspect, "silent", load.Silent, "usable", load.Usable,
		"usableWithoutLasting", load.UsableExclusive, "excluded", load.Excluded, "lateUnits", load.Waits.LateUnits, "reservedFits", load.Waits.ReservedFits,
		"runs", load.Runs, "unconfirmed", load.Unconfirmed, "waitingUnits", load.Waits.Units,
		"demandMilliCPU", load.Demand.MilliCPU, "finiteMemoryMB", load.Demand.FiniteMemoryMB, "keep", load.Demand.MinUpstreams, "spread", load.Demand.SpreadUpstreams, "whole", load.Demand.Exclusive, "occupied", load.Demand.Occupied,
		"milliCPU", load.Used.MilliCPU, "ofMilliCPU", load.Capacity.MilliCPU, "memoryMB", load.Used.MemoryMB, "ofMemoryMB", load.Capacity.MemoryMB,
		"lastingMilliCPU", load.LongRunning.MilliCPU, "lastingMemoryMB", load.LongRunning.MemoryMB,
		"largestFreeMilliCPU", load.LargestFree.MilliCPU, "largestFreeMB", load.LargestFree.MemoryMB}, oldestWaitFields(load.Waits.Oldest, now)...)...)
}

// oldestWaitFields returns the log fields of the longest wait; nil if nothing waits.
func oldestWaitFields(oldest bbrscheduler.Wait, now time.Time) []any {
	if oldest.Reason == "" {
		return nil
	}
	return []any{"oldest", oldest.Unit.String(), "waited", now.Sub(oldest.Since).Round(time.Millisecond),
		"reason", oldest.Reason, "for", oldest.WaitsFor, "duty", oldest.Responsible}
}

// updateWaitMetrics updates the metrics of waits.
func (o *Owner) updateWaitMetrics(waits bbrscheduler.WaitSummary) {
	shard := o.Shard.String()
	for _, reason := range bbrscheduler.Reasons {
		if longest, waiting := waits.LongestByReason[reason]; waiting {
			o.Metrics.SetOldestWait(shard, string(reason), longest)
		} else {
			o.Metrics.ClearOldestWait(shard, string(reason))
		}
		if slow := waits.SlowByReason[reason]; slow > 0 {
			o.Metrics.SlowWaits(string(reason), slow)
		}
	}
}

// updateCrashMetrics updates the metrics of work under which upstreams crashed. The
// caller holds the lock.
func (o *Owner) updateCrashMetrics() {
	counts, before := o.scheduler.CrashCounts(), o.crashCounts
	o.crashCounts = counts
	o.Metrics.CrashVerdicts("accused", counts.Accused-before.Accused)
	o.Metrics.CrashVerdicts("outage", counts.Outages-before.Outages)
	o.Metrics.CrashVerdicts("cleared", counts.Cleared-before.Cleared)
	o.Metrics.CrashVerdicts("givenUp", counts.GivenUp-before.GivenUp)
	o.Metrics.SetSuspects(o.Shard.String(), counts.Suspects, counts.Isolated)
}

// updateLapseMetrics updates the counter of runs whose lease expired. The caller holds the
// lock.
func (o *Owner) updateLapseMetrics() {
	lapses, before := o.scheduler.Lapses(), o.lapses
	o.lapses = lapses
	for _, cause := range bbrscheduler.LapseCauses {
		o.Metrics.LapsedRuns(string(cause), lapses[cause]-before[cause])
	}
}

// updateLeaseMetrics updates the counters of expired leases and of incarnations that
// answered for another one. The caller holds the lock.
func (o *Owner) updateLeaseMetrics() {
	counts, before := o.scheduler.LeaseCounts(), o.leaseCounts
	o.leaseCounts = counts
	for _, source := range bbrscheduler.LeaseSources {
		o.Metrics.ExpiredLeases(string(source), counts.Expired[source]-before.Expired[source])
	}
	o.Metrics.OtherIncarnations(counts.OtherIncarnations - before.OtherIncarnations)
}

// updateReservationMetrics updates the metrics of reservations and preemptions. The caller
// holds the lock.
func (o *Owner) updateReservationMetrics() {
	if !o.ReserveCapacity {
		return
	}
	counts, before := o.scheduler.ReservationCounts(), o.reservationCounts
	o.reservationCounts = counts
	for _, cause := range bbrreservation.Causes {
		o.Metrics.ReservationsEnded(string(cause), counts.Ended[cause]-before.Ended[cause])
	}
	o.Metrics.Preemptions(counts.Preempted-before.Preempted, counts.Discarded-before.Discarded)
	o.Metrics.SetReservations(o.Shard.String(), counts.Active, counts.HeldUpstreams)
}

// updateVacancyMetrics updates the metrics of vacated upstreams. The caller holds the lock.
func (o *Owner) updateVacancyMetrics() {
	counts, before := o.scheduler.VacancyCounts(), o.vacancyCounts
	o.vacancyCounts = counts
	for _, cause := range bbrscheduler.VacancyEnds {
		o.Metrics.VacanciesEnded(string(cause), counts.Ended[cause]-before.Ended[cause])
	}
	o.Metrics.VacancyMoves(counts.Moved - before.Moved)
	o.Metrics.SetVacated(o.Shard.String(), counts.Active)
}

// maxOrganisationMetrics bounds the organisations with metrics, those that use most.
const maxOrganisationMetrics = 32

// updateOrganisationMetrics updates the metrics of the organisations that use anything.
// The caller holds the lock.
func (o *Owner) updateOrganisationMetrics() {
	accounts := o.scheduler.Accounts()
	names := slices.SortedFunc(maps.Keys(accounts), func(a, b string) int {
		return cmp.Or(cmp.Compare(accounts[b].Used.MilliCPU, accounts[a].Used.MilliCPU), cmp.Compare(a, b))
	})
	shard := o.Shard.String()
	o.Metrics.ClearOrganisations(shard)
	for _, name := range names[:min(len(names), maxOrganisationMetrics)] {
		account := accounts[name]
		o.Metrics.SetOrganisation(shard, name, account.Used.MilliCPU, account.Held.MilliCPU, account.Cap.MilliCPU)
	}
	for _, share := range o.scheduler.Shares(maxOrganisationMetrics) {
		o.Metrics.SetShare(shard, share.Organisation, share.Used, share.Fair, max(0, share.Wanted-share.Used))
	}
}
