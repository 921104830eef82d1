package bbrscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// wholeNeeds finds the work that needs upstreams without lasting work: room that
// lasting work holds does not come back, and a work unit that takes most of an
// upstream finds no room beside others, however much all upstreams have left
// together. A place is an upstream on which a work unit of a step runs or could
// start (wholeplaces.go).
type wholeNeeds struct {
	ledger *Scheduler
	now    time.Time
	// empty is the room of an upstream on which nothing runs.
	empty bbrwork.Resources
	// serving means that lasting work runs somewhere.
	serving bool
	// needs are the steps whose work units need such upstreams, the widest first.
	needs []wholeNeed
	// rooms has what is left on each upstream that is needed, by the label that it
	// must have.
	rooms map[string][]bbrwork.Resources
}

// wholeNeed is a step with how many of its work units need a place.
type wholeNeed struct {
	*step
	count int
	// on counts the step's runs by upstream.
	on map[*upstream]int
}

// runsByUpstream counts the step's runs on each upstream.
func (s *step) runsByUpstream() map[*upstream]int {
	on := make(map[*upstream]int)
	for _, u := range s.units {
		for _, r := range u.runs {
			on[r.up]++
		}
	}
	return on
}

// mostWhole bounds the upstreams that are asked for at once, by label: more than a
// pool of a cell has.
const mostWhole = 256

// mostUseless bounds the upstreams that take no work unit of the steps, even empty,
// and are made up for: they are too small or refused by advice, and more may be so.
const mostUseless = 8

// wholeNeeds returns what the open steps need; nothing while work of an earlier
// owner is not located.
func (l *Scheduler) wholeNeeds(now time.Time) *wholeNeeds {
	w := &wholeNeeds{ledger: l, now: now, rooms: make(map[string][]bbrwork.Resources)}
	if !l.EarlierWorkLocated(now) {
		return w
	}
	w.survey()
	for _, s := range l.openSteps(now) {
		w.add(s)
	}
	slices.SortFunc(w.needs, compareWholeNeeds)
	for _, need := range w.needs {
		w.place(need)
	}
	return w
}

func compareWholeNeeds(a, b wholeNeed) int {
	x, y := a.shape.Taken(), b.shape.Taken()
	return cmp.Or(cmp.Compare(y.MemoryMB, x.MemoryMB), cmp.Compare(y.MilliCPU, x.MilliCPU), cmp.Compare(a.job.ID, b.job.ID),
		cmp.Compare(a.occurrence.number, b.occurrence.number), cmp.Compare(a.number, b.number))
}

// addWhole notes how many upstreams are needed at once, and how many of the shard's
// are not such. Any upstream serves work without a label; of those with a label it
// notes how many are missing.
func (d *Demand) addWhole(w *wholeNeeds) {
	for label, rooms := range w.rooms {
		if label == "" {
			d.Exclusive, d.Occupied = len(rooms), w.occupied()
			continue
		}
		if missing := len(rooms) - w.placesWith(label); missing > 0 {
			if d.ExclusiveByLabel == nil {
				d.ExclusiveByLabel = make(map[string]int)
			}
			d.ExclusiveByLabel[label] = missing
		}
	}
}

// keeps tells whether the upstream must not be given away: work runs there that
// needs such an upstream, or waits for one with its label.
func (w *wholeNeeds) keeps(up *upstream) bool {
	for _, need := range w.needs {
		if need.on[up] > 0 || need.shape.Label != "" && w.placesOn(need, up) > 0 {
			return true
		}
	}
	return false
}

// survey notes what the shard's upstreams are like.
func (w *wholeNeeds) survey() {
	for _, up := range w.ledger.sortedUpstreams() {
		w.serving = w.serving || up.serves()
		if up.registered && w.empty.Fits(up.Room) {
			w.empty = up.Room
		}
	}
}

// add notes the work units of the step that find no room beside lasting work.
func (w *wholeNeeds) add(s *step) {
	if s.fitting(w.empty) == 0 {
		return
	}
	need := wholeNeed{step: s}
	if s.shape.Lasting || w.fillsOne(s) {
		need.on = s.runsByUpstream()
	}
	if !w.serving && !w.fillsOne(s) && w.anyPlace(need) {
		return
	}
	all := s.toPlace()
	need.count = all - w.besideLasting(need, all)
	if need.count <= 0 {
		return
	}
	if need.on == nil {
		need.on = s.runsByUpstream()
	}
	w.needs = append(w.needs, need)
}

// place puts the work units of a step on upstreams of their own.
func (w *wholeNeeds) place(need wholeNeed) {
	left, rooms := need.count, w.rooms[need.shape.Label]
	for i := 0; i < len(rooms) && left > 0; i++ {
		left -= need.putInto(&rooms[i], left)
	}
	for left > 0 && len(rooms) < mostWhole {
		room := w.empty
		left -= need.putInto(&room, left)
		rooms = append(rooms, room)
	}
	w.rooms[need.shape.Label] = rooms
}

// fillsOne tells whether an upstream has no room for two of the step's work units.
func (w *wholeNeeds) fillsOne(s *step) bool { return !s.shape.Taken().Times(2).Fits(w.empty) }

// putInto takes the room of at most so many work units of the step, and returns of
// how many.
func (s *step) putInto(room *bbrwork.Resources, most int) int {
	count := min(most, s.fitting(*room))
	*room = room.Minus(s.shape.Taken().Times(count))
	return count
}

// openSteps returns the steps whose turn has come and that are not done; of those
// that last, the ones with work units that do not run.
func (l *Scheduler) openSteps(now time.Time) []*step {
	var open []*step
	for _, j := range l.jobs {
		if j.final != "" || j.cancelled {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.left > 0 && (s.idle > 0 || !s.shape.Lasting) && s.open(now) {
					open = append(open, s)
				}
			}
		}
	}
	return open
}

// toPlace counts the work units that need a place: those that do not run, and where
// the step ends also those that do, since what they run on stays needed.
func (s *step) toPlace() int {
	if s.shape.Lasting {
		return s.idle
	}
	return s.left
}
