package bbrinterference

import "time"

const (
	// maxImages bounds the images of a Tracker, and maxNameBytes the length of their names.
	maxImages    = 64
	maxNameBytes = 200
	// unusedAfter is how long an image must have had no run before another one may take
	// its place. Images that are invented for each job take the places of each other, not
	// of those in use.
	unusedAfter = 15 * time.Second
)

// image is an image that is considered.
type image struct {
	name   string
	usedAt time.Time
	// runs is the number of its runs.
	runs int
	// spread has the variance of the slowdowns by kind.
	spread [kindCount]spread
	// conflicts has the images that are to be kept apart from this one.
	conflicts []Conflict
}

// spread is a mean of squares in which older values count less.
type spread struct{ weight, squares float64 }

const (
	// spreadRetained is the share of an earlier value's weight that the next one leaves.
	spreadRetained = 0.99
	// minSpread is the least variance of slowdowns, and minSpreadWeight the number of
	// values from which the variance is known.
	minSpread       = 0.0025
	minSpreadWeight = 5
)

func (s *spread) add(value float64) {
	s.weight = spreadRetained*s.weight + 1
	s.squares = spreadRetained*s.squares + value*value
}

func (s *spread) variance() float64 { return max(minSpread, s.squares/s.weight) }

// Begin records that a run of an image begins, and returns the image's ID; 0 if it is not
// considered.
func (t *Tracker) Begin(name string, now time.Time) ImageID {
	id := t.admit(name, now)
	if id != 0 {
		t.images[id].runs++
	}
	return id
}

// End records that a run of an image ended.
func (t *Tracker) End(id ImageID, now time.Time) {
	if known := t.images[id]; known != nil {
		known.runs--
		known.usedAt = now
	}
}

// admit returns the ID of an image; 0 if it is not considered.
func (t *Tracker) admit(name string, now time.Time) ImageID {
	if name == "" || len(name) > maxNameBytes {
		return 0
	}
	if id, known := t.ids[name]; known {
		t.images[id].usedAt = now
		return id
	}
	if len(t.ids) >= maxImages && !t.dropUnused(now) {
		return 0
	}
	t.lastID++
	t.ids[name], t.images[t.lastID] = t.lastID, &image{name: name, usedAt: now}
	return t.lastID
}

// dropUnused drops the image that has not been used for the longest time, and reports
// whether there is one. Images of found pairs stay.
func (t *Tracker) dropUnused(now time.Time) bool {
	var oldest ImageID
	for id, known := range t.images {
		if known.runs > 0 || len(known.conflicts) > 0 || now.Sub(known.usedAt) < unusedAfter {
			continue
		}
		if oldest == 0 || known.usedAt.Before(t.images[oldest].usedAt) || known.usedAt.Equal(t.images[oldest].usedAt) && id < oldest {
			oldest = id
		}
	}
	if oldest == 0 {
		return false
	}
	delete(t.ids, t.images[oldest].name)
	delete(t.images, oldest)
	for key := range t.pairs {
		if key.affected == oldest || key.neighbour == oldest {
			delete(t.pairs, key)
		}
	}
	return true
}

// Conflicts returns the images that are to be kept apart from an image; the list must
// not be modified.
func (t *Tracker) Conflicts(name string) []Conflict {
	if len(t.found) == 0 {
		return nil
	}
	known := t.images[t.ids[name]]
	if known == nil {
		return nil
	}
	return known.conflicts
}

// updateConflicts sets the conflicts of all images from the found pairs.
func (t *Tracker) updateConflicts() {
	for _, known := range t.images {
		known.conflicts = nil
	}
	for _, key := range t.found {
		effect := t.pairs[key].effect()
		t.images[key.affected].addConflict(key.neighbour, effect)
		if key.affected != key.neighbour {
			t.images[key.neighbour].addConflict(key.affected, effect)
		}
	}
}

func (i *image) addConflict(id ImageID, effect float64) {
	for n := range i.conflicts {
		if i.conflicts[n].image == id {
			i.conflicts[n].effect += effect
			return
		}
	}
	i.conflicts = append(i.conflicts, Conflict{id, effect})
}
