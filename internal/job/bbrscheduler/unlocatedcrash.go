package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrcrash"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// An owner may end between a crash of an upstream and the record of that crash. Its
// successor finds the incarnation ended and does not know what ran there. It presumes that
// the work units that run nowhere did: their next starts are stored first, so that no
// later crash under them is lost in the same way.

// unlocatedEnd is the end of an incarnation on which an earlier owner may have started
// work that is not known.
type unlocatedEnd struct {
	incarnation bbrwork.Incarnation
	// outage means that the upstream ended together with its rack or zone.
	outage bool
}

// maxPresumed bounds the work units that are presumed to have run on ended incarnations.
// Among more, a presumption tells nothing.
const maxPresumed = 256

// recordUnlocatedEnd records the end of an incarnation that was not located, unless this
// system ordered it or it was announced.
func (sched *Scheduler) recordUnlocatedEnd(up *upstream, now time.Time) {
	if !up.reservedAt.IsZero() || up.Draining {
		return
	}
	failure := bbrcrash.Failure{At: up.failedAt(now), Rack: up.Rack(), Zone: up.Zone}
	outage := sched.isOutage(up, failure, now)
	sched.keepFailure(failure, now)
	sched.lostUnlocated = append(sched.lostUnlocated, unlocatedEnd{up.Incarnation, outage})
}

// accuseUnlocated adds a presumed crash to the work units that an earlier owner may have
// run on an incarnation that ended, once all its other work is located and all jobs are
// loaded.
func (sched *Scheduler) accuseUnlocated(now time.Time) {
	if len(sched.lostUnlocated) == 0 || !sched.EarlierWorkKnown(now) {
		return
	}
	lost := sched.lostUnlocated
	sched.lostUnlocated = nil
	for _, end := range lost {
		if end.outage {
			return
		}
	}
	units := sched.unaccountedUnits(now)
	sched.note(now, "Upstreams ended before their earlier work was located", "upstream", lost[0].incarnation.ID, "upstreams", len(lost), "workUnits", len(units), "presumed", len(units) <= maxPresumed)
	if len(units) > maxPresumed {
		return
	}
	for _, u := range units {
		if u.crashes.Has(lost[0].incarnation) {
			continue
		}
		sched.accuse(u, bbrcrash.Crash{
			Upstream: lost[0].incarnation.ID, StartMillis: lost[0].incarnation.StartMillis, Run: u.lastRun,
			At: now, Others: len(units) - 1, Presumed: true,
		}, now)
	}
}

// unaccountedUnits returns the work units that an earlier owner may have started and that
// run nowhere now.
func (sched *Scheduler) unaccountedUnits(now time.Time) []*unit {
	var units []*unit
	for _, j := range sched.jobs {
		if j.finalState != "" || j.cancelled || j.storedRevision > sched.horizon.inherited {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.idleUnits == 0 || !s.runnable(now) {
					continue
				}
				for _, u := range s.units {
					if u.idle() {
						units = append(units, u)
					}
				}
			}
		}
	}
	return units
}
