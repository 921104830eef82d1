package bbrscheduler

import "github.com/bluebellridge/bluebellridge/internal/job/bbrwork"

// unitShape is what a work unit requires of an upstream on which nothing runs.
type unitShape struct {
	label string
	need  bbrwork.Resources
}

func (s *step) shape() unitShape { return unitShape{s.spec.Label, s.spec.Allocation()} }

// unitShapes remembers which shapes a registered upstream suits. Few shapes occur in many steps.
type unitShapes struct {
	sched  *Scheduler
	suited map[unitShape]bool
}

// allSuited reports whether each finite step of the occurrence that is not done suits a
// registered upstream.
func (shapes unitShapes) allSuited(o *occurrence) bool {
	for _, s := range o.steps {
		if !s.spec.LongRunning && s.unitsLeft > 0 && !shapes.isSuited(s.shape()) {
			return false
		}
	}
	return true
}

func (shapes unitShapes) isSuited(shape unitShape) bool {
	suited, known := shapes.suited[shape]
	if known {
		return suited
	}
	for _, up := range shapes.sched.upstreams {
		if up.registered && up.HasLabel(shape.label) && shape.need.Fits(up.Capacity) {
			suited = true
			break
		}
	}
	shapes.suited[shape] = suited
	return suited
}
