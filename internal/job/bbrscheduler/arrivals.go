package bbrscheduler

import (
	"math"
	"time"
)

const (
	// arrivalWindow is the length of the two windows in which arrivals are
	// compared.
	arrivalWindow = time.Second
	// riseDeviations is by how many standard deviations the newer window must
	// exceed the older one before a rise is believed in.
	riseDeviations = 1.5
	// provisioningLead is how long an instance takes from the report that asks for it to
	// its first work unit.
	provisioningLead = 1800 * time.Millisecond
	// maxRise bounds what a rise adds, as a share of what arrives now: a step of
	// demand looks like the beginning of a long rise.
	maxRise = 1.0
	// loadPeriod is how long after the claim began jobs that become known count as
	// left by an earlier owner.
	loadPeriod = time.Second
)

// arrival is a job that came.
type arrival struct {
	at time.Time
	// work is in thousandths of a core times seconds.
	work float64
}

// arrivals are the jobs that came within two windows, the oldest first.
type arrivals []arrival

// recordArrival notes a job that has just come. Scheduled ones say nothing of those
// to come.
func (sched *Scheduler) recordArrival(j *job, now time.Time) {
	if j.Schedule.Count > 0 || !sched.firstOwner && now.Sub(sched.claimedAt) < loadPeriod {
		return
	}
	if work := j.occurrences[0].totalWork(); work > 0 {
		sched.arrivals.add(now, work)
	}
}

// add notes a job. What is too old is dropped.
func (a *arrivals) add(at time.Time, work float64) {
	*a = append(*a, arrival{at: at, work: work})
	expired := 0
	for expired < len(*a) && at.Sub((*a)[expired].at) > 2*arrivalWindow {
		expired++
	}
	*a = (*a)[expired:]
}

// forecast returns the work a second that will arrive when an instance that is asked
// for now begins to work, where demand rises as it did within the two windows; 0
// where it does not rise beyond chance.
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
