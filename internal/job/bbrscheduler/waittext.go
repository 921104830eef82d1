package bbrscheduler

import (
	"fmt"
	"strings"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// String returns the reason in words, with the facts on which it is based.
func (w *wait) String() string {
	switch w.reason {
	case ReasonClaimUnconfirmed:
		return "the store has not confirmed the owner's claim lately"
	case ReasonEarlierWorkUnlocated:
		return fmt.Sprintf("work of an earlier owner may be on %d upstreams that have not answered yet, at most until %s",
			w.unlocated, w.latestEnd.UTC().Format(time.RFC3339Nano))
	case ReasonNotDue:
		return "it is due at " + w.latestEnd.UTC().Format(time.RFC3339Nano)
	case ReasonEarlierSteps:
		return fmt.Sprintf("earlier steps %v are not done", w.step.spec.DependsOn)
	case ReasonBeyondHorizon:
		return "a higher horizon has to be stored before the job may start"
	case ReasonAttemptPaused:
		return "it is tried again at " + w.latestEnd.UTC().Format(time.RFC3339Nano)
	case ReasonLateStart:
		return fmt.Sprintf("a start without an answer may still be carried out by upstream %s, which is away or has no room", w.lateUpstream())
	case ReasonOrderUnstored:
		return "the number and the upstream of its next run have to be stored before it may start"
	case ReasonGangStillRuns:
		return fmt.Sprintf("%d of %d members of the gang still have runs", len(w.step.units)-w.step.idleUnits, len(w.step.units))
	case ReasonJobsNotLoaded:
		return fmt.Sprintf("this owner is still loading its jobs, and upstreams list runs or ends of %d that it has not loaded yet", w.notLoaded)
	case ReasonOrganisationCap:
		return fmt.Sprintf("the shard's share of the cap of organisation %s does not suffice for %s", w.step.job.Organisation, resourcesText(w.step.spec.Need))
	case ReasonCrashSuspect:
		return fmt.Sprintf("it waits to be tried alone, since upstreams crashed under it: %s", w.unit.crashes)
	case ReasonReservationHeld:
		return fmt.Sprintf("capacity on %d upstreams is reserved for it from %s; %s",
			len(w.step.reservation.holds), w.step.reservation.At.UTC().Format(time.RFC3339Nano), w.blockers.describe(w.step, w.reason))
	default:
		return w.blockers.describe(w.step, w.reason)
	}
}

// lateUpstream returns the ID of the upstream that may still carry out a start of the work unit, or
// of a member of its gang.
func (w *wait) lateUpstream() string {
	for _, u := range w.step.units {
		if late := u.stored().late; late != nil && (u == w.unit || w.step.spec.Gang) {
			return late.upstream
		}
	}
	return ""
}

func (c *blockers) describe(s *step, reason Reason) string {
	texts := []string{fmt.Sprintf("%d of %d upstreams may take work", c.usable, c.total)}
	for _, counted := range []struct {
		count int
		text  string
	}{
		{c.noLabel, "lack the label " + s.spec.Label},
		{c.noCapacity, "lack free capacity for " + resourcesText(s.spec.Allocation())},
		{c.finiteWork, "of these only until finite work has ended"},
		{c.reserved, "keep their free capacity for wide or urgent work"},
		{c.atStepLimit, "run as many units of the step as they may"},
		{c.atStartLimit, "have as many starts in flight as they may"},
		{c.adviceRefused, "are refused by the advice service"},
		{c.noTicket, "have no ticket"},
		{c.farFromData, "are far from the data"},
		{c.fits, "fit and start next"},
	} {
		if counted.count > 0 {
			texts = append(texts, fmt.Sprintf("%d %s", counted.count, counted.text))
		}
	}
	if s.spec.Gang {
		texts = append(texts, fmt.Sprintf("%d of %d members fit together, %d once finite work has ended", c.membersFit, len(s.units), c.membersFitLater))
	}
	if reason == ReasonCapacityForFew {
		texts = append(texts, fmt.Sprintf("beside long-running work %d of %d fit at once, on empty upstreams %d", c.concurrent, s.unitsLeft, c.concurrentOnEmpty))
	}
	if reason == ReasonCapacityFragmented || reason == ReasonCapacityUsedByLongRunningWork {
		texts = append(texts, fmt.Sprintf("long-running work leaves %s, at most %s on one upstream", resourcesText(c.capacityLeft), resourcesText(c.largestLeft)))
	}
	if reason == ReasonTooLarge {
		texts = append(texts, "it does not fit on an empty upstream")
	}
	return strings.Join(texts, "; ")
}

func resourcesText(r bbrwork.Resources) string {
	text := fmt.Sprintf("%d millicores and %d MB", r.MilliCPU, r.MemoryMB)
	if r.Accelerators > 0 {
		text += fmt.Sprintf(" and %d accelerators", r.Accelerators)
	}
	return text
}
