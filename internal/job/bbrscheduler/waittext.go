package bbrscheduler

import (
	"fmt"
	"strings"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// String returns the decision with what it rests on.
func (w *wait) String() string {
	switch w.reason {
	case ReasonClaimUnconfirmed:
		return "the store has not confirmed the owner's claim lately"
	case ReasonEarlierWorkUnlocated:
		return fmt.Sprintf("work of the earlier owner may be on %d upstreams that were not reached yet, at most until %s",
			w.unlocated, w.until.UTC().Format(time.RFC3339Nano))
	case ReasonNotDue:
		return "it is due at " + w.until.UTC().Format(time.RFC3339Nano)
	case ReasonEarlierSteps:
		return fmt.Sprintf("earlier steps %v are not done", w.step.shape.After)
	case ReasonBeyondHorizon:
		return "the store has to take a further horizon before the job may begin"
	case ReasonAttemptPaused:
		return "it is tried again at " + w.until.UTC().Format(time.RFC3339Nano)
	case ReasonGangStillRuns:
		return fmt.Sprintf("%d of %d members of the gang still have runs", len(w.step.units)-w.step.idle, len(w.step.units))
	default:
		return w.places.describe(w.step, w.reason)
	}
}

func (c *places) describe(s *step, reason Reason) string {
	texts := []string{fmt.Sprintf("%d of %d upstreams may take work", c.usable, c.all)}
	for _, counted := range []struct {
		count int
		text  string
	}{
		{c.label, "lack the label " + s.shape.Label},
		{c.room, "lack the room of " + roomText(s.shape.Taken())},
		{c.ending, "of these only until work that ends has ended"},
		{c.together, "have as many of the step as they may"},
		{c.starting, "have as many starts on their way as they may"},
		{c.refused, "are not named by the advice service"},
		{c.ticket, "have no ticket"},
		{c.far, "are far from the data"},
		{c.fit, "fit and come next"},
	} {
		if counted.count > 0 {
			texts = append(texts, fmt.Sprintf("%d %s", counted.count, counted.text))
		}
	}
	if s.shape.Gang {
		texts = append(texts, fmt.Sprintf("%d of %d members fit together, %d once work that ends has ended", c.members, len(s.units), c.membersLeft))
	}
	if reason == ReasonCapacityForFew {
		texts = append(texts, fmt.Sprintf("lasting work leaves room for %d of %d at once, empty upstreams have it for %d", c.atOnce, s.left, c.onEmpty))
	}
	if reason == ReasonCapacityFragmented || reason == ReasonCapacityUsedByLongRunningWork {
		texts = append(texts, fmt.Sprintf("lasting work leaves %s, at most %s on one", roomText(c.left), roomText(c.largest)))
	}
	if reason == ReasonTooLarge {
		texts = append(texts, "it does not fit on an empty one")
	}
	return strings.Join(texts, "; ")
}

func roomText(r bbrwork.Resources) string {
	text := fmt.Sprintf("%d thousandths of a core and %d MB", r.MilliCPU, r.MemoryMB)
	if r.Accelerators > 0 {
		text += fmt.Sprintf(" and %d accelerators", r.Accelerators)
	}
	return text
}
