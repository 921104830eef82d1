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
	// shortestSlack keeps a job that is almost late from asking for everything.
	shortestSlack = time.Second
	// lateSpread is the time over which late work is spread.
	lateSpread = 8 * time.Second
	// recentShare of a job's objective, and recentLeast, is how long after its
	// arrival a job stands for others like it.
	recentShare = 0.25
	recentLeast = 500 * time.Millisecond
)

// Demand returns what the service asks of the fleet now. The need of the open
// jobs is their work spread over the time that is left to them. Instances take
// time to come, so the recent arrivals count as a rate that goes on.
func (l *Scheduler) Demand(now time.Time) Demand {
	var demand Demand
	open, arriving := 0.0, 0.0
	for _, j := range l.jobs {
		if j.final != "" || j.cancelled {
			continue
		}
		for _, o := range j.occurrences {
			demand.addLasting(o)
			work := o.workLeft()
			if work == 0 || now.Before(j.Schedule.Due(o.number)) {
				continue
			}
			by := j.objective(o)
			if now.Add(o.chainLeft()).Before(by) {
				open += work / max(shortestSlack, by.Sub(now)).Seconds()
			} else {
				open += work / lateSpread.Seconds()
			}
			whole := by.Sub(j.Accepted)
			if window := max(recentLeast, time.Duration(recentShare*float64(whole))); now.Sub(j.seen) < window {
				arriving += o.work() / window.Seconds()
			}
		}
	}
	demand.MilliCPU = demand.LongRunningMilliCPU + int(max(open, arriving, l.arrivals.ahead(now)))
	whole := l.wholeNeeds(now)
	demand.addWhole(whole)
	demand.Releasable = l.giveable(whole, now)
	return demand
}

func (d *Demand) addLasting(o *occurrence) {
	for _, s := range o.steps {
		if !s.shape.Lasting {
			continue
		}
		d.LongRunningMilliCPU += s.shape.Taken().MilliCPU * len(s.units)
		if s.shape.MaxPerUpstream > 0 {
			d.MinUpstreams = max(d.MinUpstreams, (len(s.units)+s.shape.MaxPerUpstream-1)/s.shape.MaxPerUpstream)
		}
	}
}

// workLeft returns the work that ends and is not done, in thousandths of a core
// times seconds. Work that runs counts by half.
func (o *occurrence) workLeft() float64 {
	work := 0.0
	for _, s := range o.steps {
		if s.shape.Lasting || s.left == 0 {
			continue
		}
		units := float64(s.idle) + float64(s.left-s.idle)/2
		work += units * float64(s.shape.Need.MilliCPU) * s.shape.Estimate.Seconds()
	}
	return work
}

// work returns all the work that ends, in the same unit.
func (o *occurrence) work() float64 {
	work := 0.0
	for _, s := range o.steps {
		if !s.shape.Lasting {
			work += float64(len(s.units)*s.shape.Need.MilliCPU) * s.shape.Estimate.Seconds()
		}
	}
	return work
}

// chainLeft returns the longest chain of estimated work that is not done.
func (o *occurrence) chainLeft() time.Duration {
	longest := time.Duration(0)
	for _, s := range o.steps {
		if s.left > 0 && !s.shape.Lasting {
			longest = max(longest, s.remaining)
		}
	}
	return longest
}

// giveable returns the upstreams that can be given away, those first that are empty
// soonest: an instance can be moved only then. One whose work is overdue comes after
// empty ones.
func (l *Scheduler) giveable(whole *wholeNeeds, now time.Time) []string {
	var list []*upstream
	for _, up := range l.sortedUpstreams() {
		if l.mayGive(up, whole, now) {
			list = append(list, up)
		}
	}
	free := make(map[*upstream]time.Time, len(list))
	for _, up := range list {
		free[up] = up.emptyAt(now)
	}
	slices.SortStableFunc(list, func(a, b *upstream) int {
		return cmp.Or(cmp.Compare(min(1, len(a.runs)), min(1, len(b.runs))), free[a].Compare(free[b]))
	})
	ids := make([]string, len(list))
	for i, up := range list {
		ids[i] = up.ID
	}
	return ids
}

// mayGive tells whether the upstream can be given away: it answers, and has no lasting
// work nor work that fits nowhere else. What that is, is not known while work of an
// earlier owner is not located.
func (l *Scheduler) mayGive(up *upstream, whole *wholeNeeds, now time.Time) bool {
	if !up.registered || up.Draining || !up.reserved.IsZero() || up.lost > 0 || up.serves() {
		return false
	}
	if !l.EarlierWorkLocated(now) {
		return len(up.runs) == 0 && !l.unlocated[up.Life]
	}
	return !whole.keeps(up)
}

// emptyAt returns when the work that runs on the upstream has probably ended: now
// where there is none.
func (up *upstream) emptyAt(now time.Time) time.Time {
	at := now
	for _, r := range up.runs {
		if end := r.ordered.Add(r.unit.step.shape.Estimate); end.After(at) {
			at = end
		}
	}
	return at
}

// serves tells whether lasting work runs on the upstream.
func (up *upstream) serves() bool { return up.lasting > 0 }
