package bbrinterference

import (
	"math"
	"time"
)

const (
	// minEffect is the logarithm of the smallest slowdown that counts, a tenth: less is
	// within the spread of run times that objectives allow for.
	minEffect = 0.0953
	// minObservations and minContrast are the least evidence for a pair: observations, and
	// the sum of the squares of their exposures relative to the comparison.
	minObservations = 30
	minContrast     = 2
	// minUpstreams and minPeriods are the least numbers of upstreams, and of periods of
	// periodLength, that evidence for a pair comes from.
	minUpstreams = 3
	minPeriods   = 3
	periodLength = 5 * time.Second
	// evidenceSpan is the time after which evidence counts a third.
	evidenceSpan = 3 * time.Minute
	// keptContrast is the contrast below which a found pair is forgotten.
	keptContrast = 0.4
	// bucketCount is the number of buckets for upstreams, and for periods.
	bucketCount = 12
	// minShare is the part of the evidence that a bucket must have to count.
	minShare = 0.01
	// singleErrors is how many degrees of freedom the spread of single observations is
	// worth in the estimate of the standard error.
	singleErrors = 4
	// fewestErrors, plus errorsPerFreedom divided by the degrees of freedom, is the number
	// of standard errors by which an effect must exceed minEffect: more than the quantile of
	// the t distribution that one test in 10,000 exceeds by chance.
	fewestErrors     = 4
	errorsPerFreedom = 25
)

// bucket is the part of a pair's evidence that comes from some upstreams or periods.
type bucket struct {
	// weight is the sum of the squares of the exposures, and product that of exposures
	// times slowdowns, both relative to the variance. exposed is the sum of the exposures
	// themselves.
	weight, product, exposed float64
}

// pair is the evidence on whether a neighbour's image slows an affected image down: a
// linear regression of logarithms of slowdowns on exposures, in which older
// observations count less.
type pair struct {
	bucket
	// squares is the sum of the squares of slowdowns, relative to the variance.
	squares      float64
	observations float64
	// contrast is the sum of the squares of the exposures.
	contrast           float64
	upstreams, periods [bucketCount]bucket
	at                 time.Time
	found              bool
	foundAt            time.Time
}

// minFade is the time up to which fading is postponed.
const minFade = time.Second

// fade lowers the weight of earlier evidence.
func (p *pair) fade(now time.Time) {
	elapsed := now.Sub(p.at)
	if elapsed < minFade {
		return
	}
	p.at = now
	factor := math.Exp(-elapsed.Seconds() / evidenceSpan.Seconds())
	p.squares, p.observations, p.contrast = factor*p.squares, factor*p.observations, factor*p.contrast
	p.scale(factor)
	for n := range bucketCount {
		p.upstreams[n].scale(factor)
		p.periods[n].scale(factor)
	}
}

func (b *bucket) scale(factor float64) {
	b.weight, b.product, b.exposed = factor*b.weight, factor*b.product, factor*b.exposed
}

func (b *bucket) add(exposed, slowdown, variance float64) {
	b.weight += exposed * exposed / variance
	b.product += exposed * slowdown / variance
}

// add adds an observation on a site: the slowdown and the exposure relative to what they
// are compared with, and the exposure itself.
func (p *pair) add(site uint8, relative, slowdown, exposed, variance float64, now time.Time) {
	p.fade(now)
	upstream, period := &p.upstreams[site%bucketCount], &p.periods[now.UnixNano()/int64(periodLength)%bucketCount]
	for _, b := range [...]*bucket{&p.bucket, upstream, period} {
		b.add(relative, slowdown, variance)
		b.exposed += max(0, exposed)
	}
	p.squares += slowdown * slowdown / variance
	p.observations++
	p.contrast += relative * relative
}

// effect returns the mean logarithm of the slowdown beside the neighbour.
func (p *pair) effect() float64 {
	if p.weight <= 0 {
		return 0
	}
	return p.product / p.weight
}

// singleError returns the standard error of the effect as if all observations were
// independent.
func (p *pair) singleError() float64 {
	if p.weight <= 0 || p.observations <= 2 {
		return math.Inf(1)
	}
	variance := (p.squares - p.product*p.product/p.weight) / (p.observations - 1)
	return math.Sqrt(max(variance, minVariance) / p.weight)
}

// minVariance bounds the trust in few observations that agree by chance.
const minVariance = 0.1

// spreadError returns the standard error of the effect by how much the buckets differ,
// and how many buckets there are: observations of one upstream, or of one period, may be
// slow together.
func (p *pair) spreadError(buckets *[bucketCount]bucket) (float64, int) {
	count, squares, effect := 0, 0.0, p.effect()
	for n := range buckets {
		b := &buckets[n]
		if b.weight >= minShare*p.weight {
			count++
		}
		deviation := b.product - effect*b.weight
		squares += deviation * deviation
	}
	if count < 2 {
		return math.Inf(1), count
	}
	return math.Sqrt(squares*float64(count)/float64(count-1)) / p.weight, count
}

// interferes reports whether the evidence suffices for a pair.
func (p *pair) interferes() bool {
	effect := p.effect()
	if p.observations < minObservations || p.contrast < minContrast || effect <= minEffect {
		return false
	}
	return p.holds(effect, &p.upstreams, minUpstreams) && p.holds(effect, &p.periods, minPeriods)
}

// holds reports whether the effect is certain given how the buckets differ.
func (p *pair) holds(effect float64, buckets *[bucketCount]bucket, least int) bool {
	exposed := 0
	for n := range buckets {
		if buckets[n].exposed >= minExposed {
			exposed++
		}
	}
	spread, count := p.spreadError(buckets)
	if exposed < least || count < least {
		return false
	}
	single, freedom := p.singleError(), float64(singleErrors+count-1)
	deviation := math.Sqrt((singleErrors*single*single + float64(count-1)*spread*spread) / freedom)
	return effect-minEffect > (fewestErrors+errorsPerFreedom/freedom)*deviation
}

// minExposed is the least exposure, in whole observations, with which an upstream or a
// period counts.
const minExposed = 0.5

// remains reports whether a found pair is still one.
func (p *pair) remains() bool { return p.effect() > minEffect && p.contrast >= keptContrast }
