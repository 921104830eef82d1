package bbrscheduler

import (
	"cmp"
	"slices"
	"time"
)

// Demand is what a service asks of the fleet.
type Demand struct {
	// MilliCPU is the processor room that the open jobs need to meet their
	// objectives, and that jobs like the last ones will.
	MilliCPU int `json:"milliCPU"`
	// LongRunningMilliCPU is the part of it that lasting work takes.
	LongRunningMilliCPU int `json:"lasting"`
	// MinUpstreams is how many upstreams lasting work is or must be spread over.
	MinUpstreams int `json:"keep"`
	// Exclusive is how many upstreams work needs at once that finds no room beside
	// lasting or other work, those included on which it runs.
	Exclusive int `json:"whole,omitempty"`
	// Occupied is how many of the shard's upstreams cannot be among those: with it
	// the pool has Occupied + Whole. It is 0 where Whole is.
	Occupied int `json:"occupied,omitempty"`
	// ExclusiveByLabel is how many more such upstreams with a label are needed, by label.
	ExclusiveByLabel map[string]int `json:"labelled,omitempty"`
	// Releasable has the upstreams that can be given away, the one that is empty soonest first.
	Releasable []string `json:"give,omitempty"`
}

const (
	// minSlack keeps a job that is almost late from asking for everything.
	minSlack = time.Second
	// overdueSpread is the time over which late work is spread.
	overdueSpread = 8 * time.Second
	// recentShare of a job's objective, and recentLeast, is how long after its
	// arrival a job stands for others like it.
	recentShare     = 0.25
	minRecentWindow = 500 * time.Millisecond
)

// Demand returns what the service asks of the fleet now. The need of the open
// jobs is their work spread over the time that is left to them. Instances take
// time to come, so the recent arrivals count as a rate that goes on.
func (sched *Scheduler) Demand(now time.Time) Demand {
	var demand Demand
	open, arriving := 0.0, 0.0
	for _, j := range sched.jobs {
		if j.finalState != "" || j.cancelled {
			continue
		}
		for _, o := range j.occurrences {
			demand.addLongRunning(o)
			work := o.remainingWork()
			if work == 0 || now.Before(j.Schedule.Due(o.number)) {
				continue
			}
			by := j.objective(o)
			if now.Add(o.remainingPath()).Before(by) {
				open += work / max(minSlack, by.Sub(now)).Seconds()
			} else {
				open += work / overdueSpread.Seconds()
			}
			wide := by.Sub(j.Accepted)
			if window := max(minRecentWindow, time.Duration(recentShare*float64(wide))); now.Sub(j.learnedAt) < window {
				arriving += o.totalWork() / window.Seconds()
			}
		}
	}
	demand.MilliCPU = demand.LongRunningMilliCPU + int(max(open, arriving, sched.arrivals.forecast(now)))
	wide := sched.wideWork(now)
	demand.addExclusive(wide)
	demand.Releasable = sched.releasable(wide, now)
	return demand
}

func (d *Demand) addLongRunning(o *occurrence) {
	for _, s := range o.steps {
		if !s.shape.LongRunning {
			continue
		}
		d.LongRunningMilliCPU += s.shape.Allocation().MilliCPU * len(s.units)
		if s.shape.MaxPerUpstream > 0 {
			d.MinUpstreams = max(d.MinUpstreams, (len(s.units)+s.shape.MaxPerUpstream-1)/s.shape.MaxPerUpstream)
		}
	}
}

// remainingWork returns the work that ends and is not done, in thousandths of a core
// times seconds. Work that runs counts by half.
func (o *occurrence) remainingWork() float64 {
	work := 0.0
	for _, s := range o.steps {
		if s.shape.LongRunning || s.unitsLeft == 0 {
			continue
		}
		units := float64(s.idleUnits) + float64(s.unitsLeft-s.idleUnits)/2
		work += units * float64(s.shape.Need.MilliCPU) * s.shape.Estimate.Seconds()
	}
	return work
}

// totalWork returns all the work that ends, in the same unit.
func (o *occurrence) totalWork() float64 {
	work := 0.0
	for _, s := range o.steps {
		if !s.shape.LongRunning {
			work += float64(len(s.units)*s.shape.Need.MilliCPU) * s.shape.Estimate.Seconds()
		}
	}
	return work
}

// remainingPath returns the longest chain of estimated work that is not done.
func (o *occurrence) remainingPath() time.Duration {
	longest := time.Duration(0)
	for _, s := range o.steps {
		if s.unitsLeft > 0 && !s.shape.LongRunning {
			longest = max(longest, s.remainingPath)
		}
	}
	return longest
}

// releasable returns the upstreams that can be given away, those first that are empty
// soonest: an instance can be moved only then. One whose work is overdue comes after
// empty ones.
func (sched *Scheduler) releasable(wide *wideWork, now time.Time) []string {
	var candidates []*upstream
	for _, up := range sched.sortedUpstreams() {
		if sched.mayRelease(up, wide, now) {
			candidates = append(candidates, up)
		}
	}
	emptyAt := make(map[*upstream]time.Time, len(candidates))
	for _, up := range candidates {
		emptyAt[up] = up.expectedEmptyAt(now)
	}
	slices.SortStableFunc(candidates, func(a, b *upstream) int {
		return cmp.Or(cmp.Compare(min(1, len(a.runs)), min(1, len(b.runs))), emptyAt[a].Compare(emptyAt[b]))
	})
	ids := make([]string, len(candidates))
	for i, up := range candidates {
		ids[i] = up.ID
	}
	return ids
}

// mayRelease tells whether the upstream can be given away: it answers, and has no lasting
// work nor work that fits nowhere else. What that is, is not known while work of an
// earlier owner is not located.
func (sched *Scheduler) mayRelease(up *upstream, wide *wideWork, now time.Time) bool {
	if !up.registered || up.Draining || !up.reservedAt.IsZero() || up.lostAnswers > 0 || up.hasLongRunning() {
		return false
	}
	if !sched.EarlierWorkLocated(now) {
		return len(up.runs) == 0 && !sched.unlocated[up.Incarnation]
	}
	return !wide.isNeeded(up)
}

// expectedEmptyAt returns when the work that runs on the upstream has probably ended: now
// where there is none.
func (up *upstream) expectedEmptyAt(now time.Time) time.Time {
	at := now
	for _, r := range up.runs {
		if end := r.orderedAt.Add(r.unit.step.shape.Estimate); end.After(at) {
			at = end
		}
	}
	return at
}

// hasLongRunning tells whether lasting work runs on the upstream.
func (up *upstream) hasLongRunning() bool { return up.longRunning > 0 }
