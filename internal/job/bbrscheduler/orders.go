package bbrscheduler

import (
	"slices"
	"time"
)

// A long-running work unit starts only once the number of the run, and the upstream that is to
// get it, are stored. So a successor knows the highest run that can have been ordered: the stored
// one, or else run 1. An upstream that lists that run, as running or ended, tells that all lower
// ones have ended and that there is no higher one. If none does, the start may still be carried
// out on that upstream (latestart.go). For gangs, and work that allows duplicates, the first run and
// the upstreams are not stored.

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
	return number == max(1, u.stored().ordered)
}

// mayOrder reports whether the run of the work unit may be ordered on the upstream, and requests
// that its number and the upstream be stored if not.
func (sched *Scheduler) mayOrder(u *unit, number int, up *upstream) bool {
	target := u.orderTarget(up)
	if sched.trial || u.orderStored(number, target) {
		return true
	}
	if order := u.stored(); order.ordered < number || order.target != target {
		sched.announceOrder(u, number, target)
	}
	return false
}

// orderTarget returns the upstream to be stored for a start there. The members of a gang are placed
// together, anew each time, and of duplicates several may run.
func (u *unit) orderTarget(up *upstream) string {
	if spec := u.step.spec; !spec.LongRunning || spec.Gang || spec.AllowDuplicates {
		return ""
	}
	return up.ID
}

// orderStored reports whether the run may be ordered on the target as far as the store is concerned.
func (u *unit) orderStored(number int, target string) bool {
	if !u.step.spec.LongRunning || number == 1 && target == "" {
		return true
	}
	order := u.stored()
	return order.ordered == number && order.target == target && u.step.job.storedOrderVersion >= order.version
}

// announcedTarget returns the upstream that was announced for the next run of the work unit if the
// unit may run there, or nil.
func (p *planner) announcedTarget(u *unit) *upstream {
	order := u.stored()
	if order.target == "" || order.ordered != u.lastRun+1 {
		return nil
	}
	up := p.sched.upstreams[order.target]
	if up == nil || !slices.Contains(p.usable, up) || !p.mayRun(u, up) {
		return nil
	}
	return up
}

// nextOrderStored reports whether the next run of the work unit, or of its gang, may be ordered as
// far as the store is concerned.
func (p *planner) nextOrderStored(u *unit) bool {
	spec := u.step.spec
	switch {
	case spec.Gang:
		next := u.step.nextGangRun()
		return !slices.ContainsFunc(u.step.units, func(member *unit) bool { return !member.orderStored(next, "") })
	case !spec.LongRunning, spec.AllowDuplicates:
		return u.orderStored(u.lastRun+1, "")
	default:
		up := p.preferredUpstream(u)
		return up != nil && u.orderStored(u.lastRun+1, up.ID)
	}
}

// heldForOrder is a start that waits for the store, and whose capacity is held on the upstream
// until the next round.
type heldForOrder struct {
	unit *unit
	up   *upstream
}

// holdForOrder holds the capacity for a start that waits for the store.
func (sched *Scheduler) holdForOrder(u *unit, up *upstream) {
	sched.heldForOrders = append(sched.heldForOrders, heldForOrder{u, up})
	up.used = up.used.Plus(u.step.spec.Allocation())
}

// releaseHeldForOrders gives up the capacity that is held for starts that wait for the store.
func (sched *Scheduler) releaseHeldForOrders() {
	for _, held := range sched.heldForOrders {
		held.up.used = held.up.used.Minus(held.unit.step.spec.Allocation())
	}
	sched.heldForOrders = nil
}

// holdsForOrder reports whether capacity is held for the start of the work unit.
func (sched *Scheduler) holdsForOrder(u *unit) bool {
	return slices.ContainsFunc(sched.heldForOrders, func(held heldForOrder) bool { return held.unit == u })
}

// heldOn returns how many starts of the step that wait for the store go to the upstream.
func (sched *Scheduler) heldOn(s *step, up *upstream) int {
	count := 0
	for _, held := range sched.heldForOrders {
		if held.unit.step == s && held.up == up {
			count++
		}
	}
	return count
}

// announceOrder records that the run number, and the upstream of its start if that is known, have
// to be stored.
func (sched *Scheduler) announceOrder(u *unit, number int, target string) {
	j := u.step.job
	j.orderVersion++
	order := u.changeOrder()
	order.ordered, order.target, order.version = number, target, j.orderVersion
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
				if u.step.spec.LongRunning && r.number > max(1, u.stored().ordered) {
					sched.announceOrder(u, r.number, "")
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
