package bbrscheduler

// excludedCounts returns the numbers of upstreams by the reason for which they may not take
// work, without those that are 0.
func (p *planner) excludedCounts() map[string]int {
	counts := make(map[string]int)
	for reason, count := range p.excluded {
		if exclusion(reason) != notExcluded && count > 0 {
			counts[exclusion(reason).String()] = count
		}
	}
	return counts
}

// fitsByExclusion counts the upstreams that may not take work but have the free capacity
// for a work unit of the step, by the reason for which they may not.
func (p *planner) fitsByExclusion(s *step) map[string]int {
	counts := make(map[string]int)
	for _, up := range p.sched.upstreams {
		reason := refineExclusion(p.exclusionOf(up), up, p.sched.isRecorded)
		if reason != notExcluded && p.sched.hasFreeCapacity(s, up) {
			counts[reason.String()]++
		}
	}
	return counts
}

// reservedFits counts the upstreams on which a work unit of the step would fit now if the
// fleet leader had not reserved them.
func (p *planner) reservedFits(s *step) int {
	count := 0
	for _, up := range p.sched.upstreams {
		if p.exclusionOf(up) != excludedReserved || !p.sched.hasFreeCapacity(s, up) {
			continue
		}
		if refineExclusion(p.exclusionUnlessReserved(up), up, p.sched.isRecorded) == notExcluded {
			count++
		}
	}
	return count
}

// fitsWhenEmptyCount counts the usable upstreams on which a work unit of the step would fit
// if nothing ran there.
func (p *planner) fitsWhenEmptyCount(s *step) int {
	count := 0
	for _, up := range p.usable {
		if up.HasLabel(s.spec.Label) && s.spec.Allocation().Fits(up.Capacity) {
			count++
		}
	}
	return count
}

// hasFreeCapacity reports whether the upstream has the label, the free capacity and the
// advice service's consent for a work unit of the step.
func (sched *Scheduler) hasFreeCapacity(s *step, up *upstream) bool {
	return up.HasLabel(s.spec.Label) && s.spec.Allocation().Fits(up.free()) && !sched.adviceRefused(s, up)
}
