package bbrscheduler

import (
	"time"
)

// anyPlace tells whether an upstream may take a work unit of the step, now or when
// work that ends has ended.
func (w *wholeNeeds) anyPlace(need wholeNeed) bool {
	for _, up := range w.ledger.upstreams {
		if up.takesWork(w.now) && w.placesOn(need, up) > 0 {
			return true
		}
	}
	return false
}

// besideLasting counts the work units of the step, at most so many, that have or
// find room on upstreams with lasting work.
func (w *wholeNeeds) besideLasting(need wholeNeed, most int) int {
	count := 0
	for _, up := range w.ledger.upstreams {
		if count >= most {
			return most
		}
		if up.serves() && up.takesWork(w.now) {
			count += w.placesOn(need, up)
		}
	}
	return min(count, most)
}

// placesOn counts the places for work units of the step on the upstream. Work
// that shares an upstream with its like gets the room of other work that ends
// there; for larger ones only free room counts, since it is soon taken in parts.
func (w *wholeNeeds) placesOn(need wholeNeed, up *upstream) int {
	if !up.HasLabel(need.shape.Label) || w.ledger.adviceRefused(need.step, up) {
		return 0
	}
	if !need.shape.Lasting && !w.fillsOne(need.step) {
		return need.fitting(up.leftByLasting())
	}
	running := need.on[up]
	more := min(need.fitting(up.free()), need.mayAdd(running))
	if need.shape.Lasting {
		return more
	}
	return running + more
}

// mayAdd returns how many more work units of the step an upstream may have that
// has some.
func (s *step) mayAdd(running int) int {
	if s.shape.MaxPerUpstream == 0 {
		return len(s.units)
	}
	return max(0, s.shape.MaxPerUpstream-running)
}

// occupied counts the upstreams that are no places for the steps without a label:
// they take no work, have lasting work, or have other work that leaves too little
// room.
func (w *wholeNeeds) occupied() int {
	count, useless := 0, 0
	for _, up := range w.ledger.upstreams {
		switch {
		case !up.registered || !up.reserved.IsZero() || w.isPlace(up, ""):
		case up.serves() || !up.takesWork(w.now) || w.takesEmpty(up):
			count++
		default:
			useless++
		}
	}
	return count + min(useless, mostUseless)
}

// takesEmpty tells whether the upstream would take a work unit of the steps without a
// label if nothing ran there.
func (w *wholeNeeds) takesEmpty(up *upstream) bool {
	for _, need := range w.needs {
		if need.shape.Label == "" && need.fitting(up.Room) > 0 && !w.ledger.adviceRefused(need.step, up) {
			return true
		}
	}
	return false
}

// placesWith counts the upstreams that are places for the steps with the label.
func (w *wholeNeeds) placesWith(label string) int {
	count := 0
	for _, up := range w.ledger.upstreams {
		if w.isPlace(up, label) {
			count++
		}
	}
	return count
}

func (w *wholeNeeds) isPlace(up *upstream, label string) bool {
	if up.serves() || !up.takesWork(w.now) {
		return false
	}
	for _, need := range w.needs {
		if need.shape.Label == label && w.placesOn(need, up) > 0 {
			return true
		}
	}
	return false
}

// takesWork tells whether the upstream may take work, now or when what runs there
// has ended. One that was just registered may, though it was not reached yet.
func (up *upstream) takesWork(now time.Time) bool {
	return up.registered && !up.Draining && up.reserved.IsZero() && up.lost < lostLimit && len(up.strays) == 0 && !up.health.suspect(now)
}
