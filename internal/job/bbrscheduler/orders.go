package bbrscheduler

import (
	"slices"
	"time"
)

// A long-running work unit starts again only once the number of the new run is stored. So
// a successor knows the highest run that can have been ordered: the stored one, or else
// run 1. An upstream that lists that run, as running or ended, tells that all lower ones
// have ended and that there is no higher one.

// orders is what is known of the stored run numbers.
type orders struct {
	// inherited means that all earlier owners stored the numbers.
	inherited bool
	// complete means that a successor knows the numbers if this owner stores its own.
	complete bool
	// prepared means that the numbers of the runs of earlier owners that did not store
	// them are to be stored.
	prepared bool
}

// InheritOrders records whether all earlier owners stored the numbers of starts, as the
// last of them stored. It is called before BeginLoading.
func (sched *Scheduler) InheritOrders(stored bool) { sched.orders.inherited = stored }

// isLastOrdered reports whether an earlier owner has certainly ordered no higher run of
// the work unit than this one, and all lower ones have ended.
func (sched *Scheduler) isLastOrdered(u *unit, number int) bool {
	if !sched.orders.inherited || !u.step.spec.LongRunning || u.step.spec.AllowDuplicates || u.step.job.ordersUnknown {
		return false
	}
	return number == max(1, u.ordered)
}

// mayOrder reports whether the run of the work unit may be ordered, and requests that its
// number be stored if not.
func (sched *Scheduler) mayOrder(u *unit, number int) bool {
	if u.orderStored(number) {
		return true
	}
	if u.ordered < number {
		sched.announceOrder(u, number)
	}
	return false
}

// orderStored reports whether the run may be ordered as far as the store is concerned.
func (u *unit) orderStored(number int) bool {
	if !u.step.spec.LongRunning || number == 1 {
		return true
	}
	return u.ordered == number && u.step.job.storedOrderVersion >= u.orderVersion
}

// nextOrderStored reports the same of the next run of the work unit, or of its gang.
func (u *unit) nextOrderStored() bool {
	if !u.step.spec.Gang {
		return u.orderStored(u.lastRun + 1)
	}
	next := u.step.nextGangRun()
	return !slices.ContainsFunc(u.step.units, func(member *unit) bool { return !member.orderStored(next) })
}

// announceOrder records that the run number has to be stored.
func (sched *Scheduler) announceOrder(u *unit, number int) {
	j := u.step.job
	j.orderVersion++
	u.ordered, u.orderVersion = number, j.orderVersion
	sched.markChanged(j)
}

// ordersStored reports whether the store has all run numbers of the job.
func (j *job) ordersStored() bool { return j.orderVersion == j.storedOrderVersion }

// storesOrders reports whether this owner may store that a successor knows the highest run
// that can have been ordered of each long-running work unit. After earlier owners that did
// not store the numbers, that is only once their work is located, all jobs are loaded and
// the numbers of their runs are stored.
func (sched *Scheduler) storesOrders(now time.Time) bool {
	o := &sched.orders
	switch {
	case o.complete:
		return true
	case sched.firstOwner || o.inherited:
		o.complete = true
	case !sched.EarlierWorkKnown(now):
	case !o.prepared:
		o.prepared = true
		sched.announceRunning()
	default:
		o.complete = sched.allOrdersStored()
	}
	return o.complete
}

// announceRunning records that the numbers of all runs of long-running work have to be
// stored.
func (sched *Scheduler) announceRunning() {
	for _, j := range sched.jobs {
		j.ordersUnknown = false
		j.eachUnit(func(_ int, u *unit) {
			for _, r := range u.runs {
				if u.step.spec.LongRunning && r.number > max(1, u.ordered) {
					sched.announceOrder(u, r.number)
				}
			}
		})
	}
}

func (sched *Scheduler) allOrdersStored() bool {
	for _, j := range sched.jobs {
		if !j.ordersStored() {
			return false
		}
	}
	return true
}
