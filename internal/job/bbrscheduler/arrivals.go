package bbrscheduler

import (
	"math"
	"time"
)

const (
	// arrivalWindow is the length of each of the two windows whose arrivals are
	// compared.
	arrivalWindow = time.Second
	// riseDeviations is the number of standard deviations by which the newer window
	// must exceed the older one to count as rising demand.
	riseDeviations = 1.5
	// provisioningLead is the time from the report that requests an instance to the
	// instance's first work unit.
	provisioningLead = 1800 * time.Millisecond
	// maxRise bounds the forecast increase as a share of the present arrival rate:
	// a step of demand looks like the beginning of a long rise.
	maxRise = 1.0
	// loadPeriod is the time from the beginning of the claim during which jobs that
	// become known are taken for jobs of an earlier owner, not for new arrivals.
	loadPeriod = time.Second
)

// arrival is the arrival of a job.
type arrival struct {
	at time.Time
	// work is the job's estimated work in millicore-seconds.
	work float64
}

// arrivals are the job arrivals of the last two windows, oldest first.
type arrivals []arrival

// recordArrival records a job that has just arrived. Scheduled jobs are left out:
// they say nothing about the demand to come.
func (sched *Scheduler) recordArrival(j *job, now time.Time) {
	if j.Schedule.Count > 0 || !sched.firstOwner && (sched.Loading() || now.Sub(sched.claimedAt) < loadPeriod) {
		return
	}
	if work := j.workPerOccurrence(); work > 0 {
		sched.arrivals.add(now, work)
	}
}

// add records an arrival and drops those older than two windows.
func (a *arrivals) add(at time.Time, work float64) {
	*a = append(*a, arrival{at: at, work: work})
	expired := 0
	for expired < len(*a) && at.Sub((*a)[expired].at) > 2*arrivalWindow {
		expired++
	}
	*a = (*a)[expired:]
}

// forecast returns the work per second, in millicores, that will arrive once an
// instance requested now is ready, assuming that demand keeps rising as it did over
// the two windows. It returns 0 if the increase is not significant.
func (a arrivals) forecast(now time.Time) float64 {
	var count, work [2]float64
	for _, arrival := range a {
		if window := max(0, int(now.Sub(arrival.at)/arrivalWindow)); window < len(count) {
			count[window]++
			work[window] += arrival.work
		}
	}
	increase := count[0] - count[1]
	significant := increase - riseDeviations*math.Sqrt(count[0]+count[1])
	if significant <= 0 {
		return 0
	}
	window := arrivalWindow.Seconds()
	rate := work[0] / window
	rise := (work[0] - work[1]) * significant / increase / (window * window)
	return rate + min(max(0, rise)*(provisioningLead.Seconds()+window/2), maxRise*rate)
}
