package bbrscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Demand is the capacity that a shard requests from the fleet.
type Demand struct {
	// MilliCPU is the CPU capacity that the open jobs need to meet their
	// objectives, or that jobs like the recent ones will need if that is more. Work
	// bound by memory counts with the CPU capacity of the upstreams that its memory
	// needs.
	MilliCPU int `json:"milliCPU"`
	// HeldMilliCPU is the part of MilliCPU that serves only to keep the rate of late work
	// from falling with the work.
	HeldMilliCPU int `json:"held,omitempty"`
	// FiniteMemoryMB is the memory that finite work needs at the requested rate, including
	// the part that HeldMilliCPU keeps. It is only logged; MilliCPU already accounts for it.
	FiniteMemoryMB int `json:"-"`
	// LongRunningMilliCPU is the part of MilliCPU that long-running work takes.
	LongRunningMilliCPU int `json:"lasting"`
	// MinUpstreams is the number of upstreams over which long-running work is or
	// must be spread.
	MinUpstreams int `json:"keep"`
	// SpreadUpstreams is the number of upstreams over which finite work must be spread
	// to be done in time, because an upstream may run only some of its work units.
	SpreadUpstreams int `json:"spread,omitempty"`
	// Exclusive is the number of upstreams that are needed at once by wide work
	// units, which do not fit beside long-running or other work. It includes the
	// upstreams on which such units run.
	Exclusive int `json:"whole,omitempty"`
	// Occupied is the number of the shard's upstreams that cannot be among the
	// exclusive ones: the shard needs Occupied + Exclusive upstreams in all. It is
	// 0 if Exclusive is.
	Occupied int `json:"occupied,omitempty"`
	// ExclusiveByLabel is the number of additional exclusive upstreams that are
	// needed, keyed by the label that they must have.
	ExclusiveByLabel map[string]int `json:"labelled,omitempty"`
	// Releasable lists the upstreams that can be released, the one expected to be
	// empty soonest first, and those in Needed last.
	Releasable []string `json:"give,omitempty"`
	// Needed lists the upstreams of Releasable on which late work that waits is
	// likely to start.
	Needed []string `json:"needed,omitempty"`
}

const (
	// minSlack is the least time over which the work of a job is spread, so that a
	// job that is almost late does not request the whole fleet.
	minSlack = time.Second
	// overdueSpread is the time over which the work of late jobs is spread. The rate is not
	// lowered while the backlog shrinks (nextLateRate).
	overdueSpread = 8 * time.Second
	// For recentShare of its objective, and for minRecentWindow at least, a job
	// that has arrived stands for the arrival rate of jobs like it.
	recentShare     = 0.25
	minRecentWindow = 500 * time.Millisecond
)

// Demand returns the capacity that the shard needs now: the work of the open jobs
// spread over the time left to them. As instances take time to become ready, recent
// arrivals count as a rate that continues. The rate of late work depends on the one of the
// last call. The demand is partial while jobs are loaded.
func (sched *Scheduler) Demand(now time.Time) Demand {
	var demand Demand
	rates := make(map[string]*workRate)
	var spread spreadUpstreams
	shapes := unitShapes{sched: sched, suited: make(map[unitShape]bool)}
	for _, j := range sched.jobs {
		if j.finalState != "" || j.cancelled {
			continue
		}
		rate := rates[j.Organisation]
		if rate == nil {
			rate = &workRate{}
			rates[j.Organisation] = rate
		}
		for _, o := range j.occurrences {
			demand.addLongRunning(o)
			rate.add(j, o, shapes, now)
			spread.add(o, sched.capOf(j.Organisation), shapes, now)
		}
	}
	open, held, arriving := sched.updateRates(rates)
	expected := max(arriving, sched.arrivals.forecast(now))
	demand.FiniteMemoryMB = int(held.memoryMB)
	demand.MilliCPU = demand.LongRunningMilliCPU + int(max(sched.milliCPUFor(held), expected))
	demand.HeldMilliCPU = demand.MilliCPU - demand.LongRunningMilliCPU - int(max(sched.milliCPUFor(open), expected))
	sched.lateSpread = nextLateRate(sched.lateSpread, spread.leastLate, spread.mostLate)
	demand.SpreadUpstreams = max(spread.inTime, sched.lateSpread)
	wide := sched.wideWork(now)
	demand.addExclusive(wide)
	demand.Releasable, demand.Needed = sched.releasable(wide, now)
	return demand
}

// LimitReleasable removes all but the first count releasable upstreams.
func (d *Demand) LimitReleasable(count int) {
	if removed := len(d.Releasable) - count; removed > 0 {
		d.Releasable = d.Releasable[:count]
		d.Needed = d.Needed[:max(0, len(d.Needed)-removed)]
	}
}

// workRate is the finite work of an organisation.
type workRate struct {
	// inTime is the rate that the jobs need that can meet their objectives.
	inTime resourceRate
	// leastLate and mostLate bound the rate for late jobs: their work is done within
	// overdueSpread or within minSlack, as far as its units can run at once. Work that no
	// registered upstream can take counts with leastLate in both, as it would otherwise keep
	// the rate high for ever.
	leastLate, mostLate resourceRate
	// arriving is the rate at which work like that of the recent jobs arrives, in
	// millicores.
	arriving float64
}

// add adds the work of an occurrence of a job.
func (rate *workRate) add(j *job, o *occurrence, shapes unitShapes, now time.Time) {
	if o.unitsLeft == 0 || now.Before(j.Schedule.Due(o.number)) {
		return
	}
	deadline := j.objective(o)
	if o.canMeet(deadline, now) {
		work := resourceRate{
			milliCPU: o.remainingWork(),
			memoryMB: o.remaining(func(need bbrwork.Resources) int { return need.MemoryMB }),
		}
		rate.inTime.add(work, 1/max(minSlack, deadline.Sub(now)).Seconds())
	} else {
		least := o.rateWithin(overdueSpread)
		rate.leastLate.add(least, 1)
		if shapes.allSuited(o) {
			rate.mostLate.add(o.rateWithin(minSlack), 1)
		} else {
			rate.mostLate.add(least, 1)
		}
	}
	allowed := deadline.Sub(j.Accepted)
	if window := max(minRecentWindow, time.Duration(recentShare*float64(allowed))); j.Transfer == nil && now.Sub(j.learnedAt) < window {
		rate.arriving += o.totalWork() / window.Seconds()
	}
}

// updateRates updates the rate of late work, and returns the rate at which the open jobs must
// be worked off (open), the same where the rate of late work does not fall with the backlog
// (held), and the rate at which other jobs arrive, in millicores. No organisation counts for
// more than its cap allows.
func (sched *Scheduler) updateRates(rates map[string]*workRate) (open, held resourceRate, arriving float64) {
	var inTime, leastLate, mostLate resourceRate
	for organisation, rate := range rates {
		limit := limitOf(sched.capOf(organisation))
		arriving += min(limit.milliCPU, rate.arriving)
		inLimit := rate.inTime.within(limit)
		inTime.add(inLimit, 1)
		limit.add(inLimit, -1)
		leastLate.add(rate.leastLate.within(limit), 1)
		mostLate.add(rate.mostLate.within(limit), 1)
	}
	sched.lateRate = resourceRate{
		milliCPU: nextLateRate(sched.lateRate.milliCPU, leastLate.milliCPU, mostLate.milliCPU),
		memoryMB: nextLateRate(sched.lateRate.memoryMB, leastLate.memoryMB, mostLate.memoryMB),
	}
	open, held = inTime, inTime
	open.add(leastLate, 1)
	held.add(sched.lateRate, 1)
	return open, held, arriving
}

// nextLateRate returns the rate at which late work must be worked off, given the previous
// one. least is the rate that spreads the work over overdueSpread, and most the one that
// spreads it over minSlack. A rate that fell with the work would never complete it: the pool
// would shrink as fast.
func nextLateRate[T cmp.Ordered](previous, least, most T) T {
	return max(least, min(previous, most))
}

func (d *Demand) addLongRunning(o *occurrence) {
	for _, s := range o.steps {
		if !s.spec.LongRunning {
			continue
		}
		d.LongRunningMilliCPU += s.spec.Allocation().MilliCPU * len(s.units)
		if s.spec.MaxPerUpstream > 0 {
			d.MinUpstreams = max(d.MinUpstreams, (len(s.units)+s.spec.MaxPerUpstream-1)/s.spec.MaxPerUpstream)
		}
	}
}

// remainingWork returns the finite work that is not done, in millicore-seconds.
func (o *occurrence) remainingWork() float64 {
	return o.remaining(func(need bbrwork.Resources) int { return need.MilliCPU })
}

// remaining returns the finite work that is not done, in seconds of the amount that a work
// unit needs.
func (o *occurrence) remaining(amount func(need bbrwork.Resources) int) float64 {
	work := 0.0
	for _, s := range o.steps {
		if s.spec.LongRunning || s.unitsLeft == 0 {
			continue
		}
		work += float64(amount(s.spec.Need)) * s.remainingRunTime().Seconds()
	}
	return work
}

// remainingRunTime returns the time that the work units that are not done need one after the
// other. Units that run count half.
func (s *step) remainingRunTime() time.Duration {
	units := float64(s.idleUnits) + float64(s.unitsLeft-s.idleUnits)/2
	return time.Duration(units * float64(s.runTime))
}

// rateWithin returns the rate at which the finite work that is not done is completed within
// the time, but no more than its work units use if they all run at once.
func (o *occurrence) rateWithin(available time.Duration) resourceRate {
	var rate resourceRate
	for _, s := range o.steps {
		if s.spec.LongRunning || s.unitsLeft == 0 {
			continue
		}
		units := min(float64(s.unitsLeft), s.remainingRunTime().Seconds()/available.Seconds())
		rate.add(resourceRate{milliCPU: float64(s.spec.Need.MilliCPU), memoryMB: float64(s.spec.Need.MemoryMB)}, units)
	}
	return rate
}

// totalWork returns all finite work of the occurrence, in millicore-seconds.
func (o *occurrence) totalWork() float64 {
	work := 0.0
	for _, s := range o.steps {
		if !s.spec.LongRunning {
			work += float64(len(s.units)*s.spec.Need.MilliCPU) * s.runTime.Seconds()
		}
	}
	return work
}

// workPerOccurrence returns the finite work of one occurrence, in millicore-seconds.
func (j *job) workPerOccurrence() float64 {
	work := 0.0
	for i := range j.Steps {
		if spec := &j.Steps[i]; !spec.LongRunning {
			work += float64(spec.Count*spec.Need.MilliCPU) * j.runTimes.of(j.Queue, spec).Seconds()
		}
	}
	return work
}

// remainingPath returns the longest path of estimated finite work that is not done.
func (o *occurrence) remainingPath() time.Duration {
	longest := time.Duration(0)
	for _, s := range o.steps {
		if s.unitsLeft > 0 && !s.spec.LongRunning {
			longest = max(longest, s.remainingPath)
		}
	}
	return longest
}

// canMeet reports whether the occurrence can be completed before the deadline.
func (o *occurrence) canMeet(deadline, now time.Time) bool {
	return now.Add(o.remainingPath()).Before(deadline)
}

// releasable returns the IDs of the upstreams that can be released: empty ones
// first, then by the time at which they are expected to be empty, since an instance
// can be moved only once it is. An upstream with overdue work follows the empty
// ones. Those that late work needs come last, and are also returned as needed.
func (sched *Scheduler) releasable(wide *wideWork, now time.Time) (ids, needed []string) {
	var candidates []*upstream
	for _, up := range sched.sortedUpstreams() {
		if sched.mayRelease(up, wide, now) {
			candidates = append(candidates, up)
		}
	}
	neededByLate := sched.neededByLateWork(candidates, now)
	neededCount := 0
	emptyAt := make(map[*upstream]time.Time, len(candidates))
	for _, up := range candidates {
		emptyAt[up] = up.expectedEmptyAt(now)
		if neededByLate[up] {
			neededCount++
		}
	}
	slices.SortStableFunc(candidates, func(a, b *upstream) int {
		switch {
		case neededByLate[a] && !neededByLate[b]:
			return 1
		case !neededByLate[a] && neededByLate[b]:
			return -1
		}
		return cmp.Or(cmp.Compare(min(1, len(a.runs)), min(1, len(b.runs))), emptyAt[a].Compare(emptyAt[b]))
	})
	ids = make([]string, len(candidates))
	for i, up := range candidates {
		ids[i] = up.ID
	}
	return ids, ids[len(ids)-neededCount:]
}

// mayRelease reports whether the upstream can be released: it answers, runs neither
// long-running work nor work that fits nowhere else, is reserved neither for a suspect nor for
// wide work, and is neither vacated nor the destination of work that leaves a vacated one.
// While work of an earlier owner is not located, only an empty upstream that cannot have
// any is released, since it is not known what fits elsewhere. None is while jobs are loaded or
// while runs or ends of unknown jobs are there.
func (sched *Scheduler) mayRelease(up *upstream, wide *wideWork, now time.Time) bool {
	if sched.Loading() || up.holdsUnknown() || !up.registered || up.Draining || !up.reservedAt.IsZero() || up.lostAnswers > 0 || up.hasLongRunning() || up.trialUnit != nil || up.hold != nil || up.vacancy != nil || sched.isDestination(up) {
		return false
	}
	if !sched.EarlierWorkLocated(now) {
		return len(up.runs) == 0 && !sched.unlocated[up.Incarnation]
	}
	return !wide.isNeeded(up)
}

// expectedEmptyAt returns the time by which all runs on the upstream are expected to
// have ended, at least now.
func (up *upstream) expectedEmptyAt(now time.Time) time.Time {
	at := now
	for _, r := range up.runs {
		at = later(at, r.expectedEnd())
	}
	return at
}

// hasLongRunning reports whether long-running work runs on the upstream.
func (up *upstream) hasLongRunning() bool { return up.longRunning > 0 }
