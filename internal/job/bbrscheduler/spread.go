package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// spreadUpstreams is the number of upstreams over which the finite steps must be spread of
// which an upstream may run only some work units. Different steps share upstreams, so that
// the step that needs most of them decides.
type spreadUpstreams struct {
	// inTime is for jobs that can meet their objectives. For the others, leastLate spreads
	// the work over overdueSpread, and mostLate over minSlack where an upstream suits it.
	inTime, leastLate, mostLate int
}

// add adds the runnable steps of an occurrence of a job whose organisation has the cap.
func (d *spreadUpstreams) add(o *occurrence, organisationCap bbrwork.Resources, shapes unitShapes, now time.Time) {
	for _, s := range o.steps {
		if s.spec.LongRunning || s.spec.MaxPerUpstream == 0 || s.unitsLeft == 0 || !s.runnable(now) {
			continue
		}
		if deadline := s.job.objective(o); o.canMeet(deadline, now) {
			d.inTime = max(d.inTime, s.spreadOver(s.timeUntil(deadline, now), organisationCap))
			continue
		}
		d.leastLate = max(d.leastLate, s.spreadOver(overdueSpread, organisationCap))
		if shapes.isSuited(s.shape()) {
			d.mostLate = max(d.mostLate, s.spreadOver(minSlack, organisationCap))
		}
	}
}

// spreadOver returns the number of upstreams on which the remaining work units of the step
// are done within the time, as far as the organisation's cap lets them run at once.
func (s *step) spreadOver(available time.Duration, organisationCap bbrwork.Resources) int {
	rounds := s.roundsWithin(available)
	atOnce := (s.unitsLeft + rounds - 1) / rounds
	need := s.spec.Allocation()
	if organisationCap.MilliCPU > 0 && need.MilliCPU > 0 {
		atOnce = min(atOnce, organisationCap.MilliCPU/need.MilliCPU)
	}
	if organisationCap.MemoryMB > 0 && need.MemoryMB > 0 {
		atOnce = min(atOnce, organisationCap.MemoryMB/need.MemoryMB)
	}
	return (atOnce + s.spec.MaxPerUpstream - 1) / s.spec.MaxPerUpstream
}

// timeUntil returns the time that the step has if its job is to be completed by the deadline.
func (s *step) timeUntil(deadline, now time.Time) time.Duration {
	laterPath := s.remainingPath - s.runTime
	return deadline.Sub(now) - laterPath
}

// roundsWithin returns how many of the step's work units can run one after the other in the
// time, at least 1.
func (s *step) roundsWithin(available time.Duration) int {
	if s.runTime <= 0 {
		return 1
	}
	return max(1, int(available/s.runTime))
}
