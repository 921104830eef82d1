package bbrinterference

import (
	"math"
	"time"
)

const (
	// maxPairs bounds the pairs with evidence, and maxFound those that are found.
	maxPairs = 1024
	maxFound = 64
	// sweepInterval is the time between two checks for pairs that no longer hold.
	sweepInterval = time.Second
	// minExposedRun is the shortest run time that is observed.
	minExposedRun = 5 * time.Millisecond
	// latencySpan is the time over which tail latencies are measured.
	latencySpan = 500 * time.Millisecond
	// maxLatencyGap is the longest time between two tail latencies of a run for which the
	// exposures of the whole time still tell those of its end.
	maxLatencyGap = 3 * time.Second
)

// pairKey identifies a pair: the affected image and its neighbour.
type pairKey struct{ affected, neighbour ImageID }

// Change is a pair that was found or forgotten.
type Change struct {
	Pair  Pair
	Found bool
}

// Pair is a found pair.
type Pair struct {
	Affected, Neighbour string
	// Slowdown is the factor by which the affected image is slower.
	Slowdown float64
	// Observations is the number of observations, older ones counted less.
	Observations float64
	FoundAt      time.Time
}

// Tracker has the evidence of one shard. New returns an empty one.
type Tracker struct {
	ids     map[string]ImageID
	images  map[ImageID]*image
	pairs   map[pairKey]*pair
	found   []pairKey
	lastID  ImageID
	sites   uint8
	sweptAt time.Time
	changes []Change
	// compared, relative and raw are reused by observations.
	raw, compared, relative []exposure
	stored                  storedState
	// shared has the common slowdown of all images by kind.
	shared [kindCount]shared
	// order is the mean difference between a work unit and those of its step that ended
	// before it: what ends later has run longer.
	order level
}

// New returns a Tracker without evidence.
func New() *Tracker {
	return &Tracker{ids: make(map[string]ImageID), images: make(map[ImageID]*image), pairs: make(map[pairKey]*pair)}
}

// NewSite returns the site of an upstream.
func (t *Tracker) NewSite() *Site {
	t.sites++
	return &Site{number: t.sites % bucketCount}
}

// ObserveLatency observes the tail latency of a run since the mark, and moves the mark.
// Latencies of overlapping times are left out.
func (t *Tracker) ObserveLatency(site *Site, id ImageID, m *Mark, latency time.Duration, now time.Time) {
	elapsed := now.Sub(m.since)
	if latency <= 0 || elapsed < latencySpan || t.images[id] == nil {
		return
	}
	if elapsed > maxLatencyGap {
		site.Mark(m, now)
		return
	}
	t.raw = site.exposures(id, m, now, t.raw[:0])
	t.observe(site, id, serving, math.Log(latency.Seconds()), now)
	site.Mark(m, now)
}

// ObserveRunTime observes the run time of a finite work unit that ran since the mark.
// siblings are the ended work units of its step; nil if it has no others. predicted is the
// run time that was expected, which only counts without siblings.
func (t *Tracker) ObserveRunTime(site *Site, id ImageID, m *Mark, siblings *Siblings, predicted time.Duration, now time.Time) {
	taken := now.Sub(m.since)
	if taken < minExposedRun || t.images[id] == nil {
		return
	}
	t.raw = site.exposures(id, m, now, t.raw[:0])
	value := math.Log(taken.Seconds())
	switch {
	case siblings != nil:
		t.observeSibling(site, id, siblings, value-site.level.value, now)
	case predicted > 0:
		t.observe(site, id, alone, value-math.Log(predicted.Seconds()), now)
	}
}

// observeSibling compares a run time with those of the step's work units that ended
// before.
func (t *Tracker) observeSibling(site *Site, id ImageID, siblings *Siblings, value float64, now time.Time) {
	base := &siblings.base
	if base.weight == 0 {
		base.add(value, t.raw)
		return
	}
	var slowdown float64
	slowdown, t.compared = base.compare(value, t.raw, t.compared[:0])
	base.add(value, t.raw)
	site.level.add(slowdown - t.order.value)
	t.order.add(slowdown - t.order.value)
	t.raw, t.compared = t.compared, t.raw
	t.observe(site, id, sibling, slowdown, now)
}

// observe compares a value, and the exposures in t.raw, with what is usual for the image
// on the site, and adds the difference to the evidence.
func (t *Tracker) observe(site *Site, id ImageID, by kind, value float64, now time.Time) {
	here := site.find(id)
	if here == nil {
		return
	}
	base := &here.baselines[by]
	base.fade(now)
	if base.weight >= minBaseline {
		var slowdown float64
		slowdown, t.relative = base.compare(value, t.raw, t.relative[:0])
		slowdown -= t.shared[by].next(slowdown, now)
		known := &t.images[id].spread[by]
		if known.weight >= minSpreadWeight {
			t.addEvidence(site, id, slowdown, known.variance(), now)
		}
		known.add(slowdown)
	}
	base.add(value, t.raw)
}

// addEvidence adds a slowdown to the pairs with the neighbours in t.relative. What found
// pairs explain is not held against other neighbours.
func (t *Tracker) addEvidence(site *Site, id ImageID, slowdown, variance float64, now time.Time) {
	explained := 0.0
	for _, e := range t.relative {
		if p := t.pairs[pairKey{id, e.neighbour}]; p != nil && p.found {
			explained += p.effect() * e.amount
		}
	}
	for _, e := range t.relative {
		key := pairKey{id, e.neighbour}
		p := t.pairs[key]
		if p == nil {
			if len(t.pairs) >= maxPairs || t.images[e.neighbour] == nil {
				continue
			}
			p = &pair{at: now}
			t.pairs[key] = p
		}
		unexplained := slowdown - explained
		if p.found {
			unexplained += p.effect() * e.amount
		}
		p.add(site.number, e.amount, unexplained, amountOf(t.raw, e.neighbour), variance, now)
		if !p.found && p.interferes() && len(t.found) < maxFound {
			t.setFound(key, p, now)
		}
	}
}

// setFound records that a pair was found. The evidence against other neighbours of the
// affected image begins anew: so far, what this one did was held against them too.
func (t *Tracker) setFound(key pairKey, p *pair, now time.Time) {
	p.found, p.foundAt = true, now
	t.found = append(t.found, key)
	for other, evidence := range t.pairs {
		if other.affected == key.affected && !evidence.found {
			*evidence = pair{at: now}
		}
	}
	t.updateConflicts()
	t.changes = append(t.changes, Change{Pair: t.describe(key), Found: true})
}

// Sweep forgets the pairs that no longer hold, if it is time to.
func (t *Tracker) Sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for key, p := range t.pairs {
		p.fade(now)
		if !p.found && p.observations < negligibleObservations {
			delete(t.pairs, key)
		}
	}
	kept := t.found[:0]
	for _, key := range t.found {
		if p := t.pairs[key]; p.remains() {
			kept = append(kept, key)
			continue
		}
		t.changes = append(t.changes, Change{Pair: t.describe(key)})
		delete(t.pairs, key)
	}
	if len(kept) < len(t.found) {
		t.found = kept
		t.updateConflicts()
	}
}

// negligibleObservations is the weight of observations below which a pair is dropped.
const negligibleObservations = 0.5

// Changes returns the pairs that were found or forgotten since the last call.
func (t *Tracker) Changes() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// Found returns the number of found pairs.
func (t *Tracker) Found() int { return len(t.found) }

func (t *Tracker) describe(key pairKey) Pair {
	p := t.pairs[key]
	return Pair{
		Affected: t.images[key.affected].name, Neighbour: t.images[key.neighbour].name,
		Slowdown: math.Exp(p.effect()), Observations: p.observations, FoundAt: p.foundAt,
	}
}
