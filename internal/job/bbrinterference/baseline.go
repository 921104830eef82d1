package bbrinterference

import (
	"math"
	"time"
)

// kind is what an observation is compared with. Kinds differ in their spread.
type kind uint8

const (
	// serving: a tail latency.
	serving kind = iota
	// sibling: a run time relative to those of the same step's work units.
	sibling
	// alone: a run time relative to what was predicted for it.
	alone
	kindCount
)

const (
	// recentObservations is the share of an earlier observation's weight that the next
	// one leaves in a baseline: about ten count.
	recentObservations = 0.9
	// recentSpan is the time after which an observation counts a third in a baseline, so
	// that a change of load or of the time of day is soon the usual level.
	recentSpan = 10 * time.Second
	// minBaseline is the weight of a baseline from which observations are compared with it.
	minBaseline = 1.5
	// maxBaselineNeighbours bounds the neighbours in a baseline.
	maxBaselineNeighbours = maxSiteImages
)

// baseline has the mean of recent values and of their exposures. The zero value is empty.
type baseline struct {
	weight, mean float64
	at           time.Time
	exposures    []exposure
}

// fade lowers the weight of earlier observations.
func (b *baseline) fade(now time.Time) {
	if b.weight > 0 {
		b.weight *= recentObservations * math.Exp(-now.Sub(b.at).Seconds()/recentSpan.Seconds())
	}
	b.at = now
}

// compare returns the value and the exposures relative to the baseline, scaled so that
// the variance of the result is that of a single value. The exposures are appended to list.
func (b *baseline) compare(value float64, exposures, list []exposure) (float64, []exposure) {
	scale := math.Sqrt(b.weight / (b.weight + 1))
	for _, e := range exposures {
		list = append(list, exposure{e.neighbour, scale * (e.amount - amountOf(b.exposures, e.neighbour))})
	}
	for _, mean := range b.exposures {
		if !contains(exposures, mean.neighbour) {
			list = append(list, exposure{mean.neighbour, -scale * mean.amount})
		}
	}
	return scale * (value - b.mean), list
}

// negligibleExposure is the mean exposure below which a neighbour leaves a baseline.
const negligibleExposure = 0.005

// add adds an observation of weight 1.
func (b *baseline) add(value float64, exposures []exposure) {
	b.weight++
	part := 1 / b.weight
	b.mean += part * (value - b.mean)
	for n := range b.exposures {
		mean := &b.exposures[n]
		mean.amount += part * (amountOf(exposures, mean.neighbour) - mean.amount)
	}
	for _, e := range exposures {
		if !contains(b.exposures, e.neighbour) && e.amount != 0 && len(b.exposures) < maxBaselineNeighbours {
			b.exposures = append(b.exposures, exposure{e.neighbour, part * e.amount})
		}
	}
	kept := b.exposures[:0]
	for _, mean := range b.exposures {
		if math.Abs(mean.amount) >= negligibleExposure {
			kept = append(kept, mean)
		}
	}
	b.exposures = kept
}

func amountOf(list []exposure, neighbour ImageID) float64 {
	for _, e := range list {
		if e.neighbour == neighbour {
			return e.amount
		}
	}
	return 0
}

func contains(list []exposure, neighbour ImageID) bool {
	for _, e := range list {
		if e.neighbour == neighbour {
			return true
		}
	}
	return false
}

// Siblings has the ended work units of one step, with which later ones are compared. The
// zero value has none.
type Siblings struct {
	base baseline
}

// level is a slowly changing level of an upstream: how much slower work runs there.
type level struct{ observations, value float64 }

// maxLevelObservations is the number of observations that a level averages.
const maxLevelObservations = 30

func (l *level) add(deviation float64) {
	l.observations = min(l.observations+1, maxLevelObservations)
	l.value += deviation / l.observations
}

// shared is the mean of the latest slowdowns of all images on all upstreams.
type shared struct {
	weight, sum float64
	at          time.Time
}

const (
	// sharedSpan is the time after which a slowdown counts a third in the mean.
	sharedSpan = 2 * time.Second
	// sharedPrior is the number of observations that the assumption of no common slowdown
	// is worth.
	sharedPrior = 3
)

// next returns the mean of the earlier slowdowns, and adds one.
func (s *shared) next(slowdown float64, now time.Time) float64 {
	factor := math.Exp(-now.Sub(s.at).Seconds() / sharedSpan.Seconds())
	s.weight, s.sum, s.at = factor*s.weight, factor*s.sum, now
	mean := s.sum / (s.weight + sharedPrior)
	s.weight++
	s.sum += slowdown
	return mean
}
