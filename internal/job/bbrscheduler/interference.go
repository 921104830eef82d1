package bbrscheduler

import (
	"math"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrinterference"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// SeparationCounts counts the starts of work units whose image is to be kept apart from
// another one, since the owner started.
type SeparationCounts struct {
	// Avoided counts the starts on an upstream without such a neighbour while one with it
	// had the free capacity too, and Unavoidable those beside such a neighbour.
	Avoided, Unavoidable int
	// Pairs is the present number of found pairs.
	Pairs int
}

// observation is what a run contributes to the evidence on images that slow each other
// down.
type observation struct {
	image bbrinterference.ImageID
	site  *bbrinterference.Site
	// pace is the run's part of full speed as the site has it.
	pace float64
	mark bbrinterference.Mark
}

// SeparateInterfering makes the scheduler observe which images slow each other down and
// keep them apart. stored is the record of an earlier owner; empty for none. It is called
// before the first job is added.
func (sched *Scheduler) SeparateInterfering(stored []byte, now time.Time) {
	sched.interference = bbrinterference.New()
	if len(stored) == 0 {
		return
	}
	if err := sched.interference.Restore(stored, now); err != nil {
		sched.note(now, "Ignoring the stored record of interfering images", "reason", err.Error())
	} else if pairs := sched.interference.Found(); pairs > 0 {
		sched.note(now, "Interfering images inherited", "pairs", pairs)
	}
}

// SeparationCounts returns the counts since the scheduler began.
func (sched *Scheduler) SeparationCounts() SeparationCounts {
	counts := sched.separationCounts
	if sched.interference != nil {
		counts.Pairs = sched.interference.Found()
	}
	return counts
}

// observeStart records that a run was added to its upstream.
func (sched *Scheduler) observeStart(r *run, now time.Time) {
	if sched.interference == nil || sched.trial {
		return
	}
	image := sched.interference.Begin(r.unit.step.spec.Image, now)
	if image == 0 {
		return
	}
	if r.up.site == nil {
		r.up.site = sched.interference.NewSite()
	}
	r.observed = &observation{image: image, site: r.up.site, pace: 1}
	r.up.site.Add(image, r.observed.pace, now)
	r.up.site.Mark(&r.observed.mark, now)
}

// observeDrop records that a run was removed from its upstream.
func (sched *Scheduler) observeDrop(r *run, now time.Time) {
	if o := r.observed; o != nil {
		o.site.Remove(o.image, o.pace, now)
		sched.interference.End(o.image, now)
	}
}

// observePace records that the pace of a best-effort run changed: its neighbours notice a
// slower run less.
func (r *run) observePace(now time.Time) {
	if o := r.observed; o != nil {
		pace := float64(r.pace) / fullPace
		o.site.SetPace(o.image, o.pace, pace, now)
		o.pace = pace
	}
}

// observeLatency observes the tail latency in a listing.
func (sched *Scheduler) observeLatency(r *run, now time.Time) {
	o, spec := r.observed, r.unit.step.spec
	if o == nil || o.site != r.up.site || spec.LatencyTarget == 0 || r.percent != fullPercent {
		return
	}
	sched.interference.ObserveLatency(o.site, o.image, &o.mark, r.tailLatency, now)
}

// observeEnd observes the run time of a run that has ended as done. The work units of a
// gang wait for each other, and best-effort work for capacity, so that their run times do
// not tell what slowed them down.
func (sched *Scheduler) observeEnd(r *run, now time.Time) {
	o, s := r.observed, r.unit.step
	if o == nil || o.site != r.up.site || !r.fromStart || s.spec.LongRunning || s.spec.BestEffort || s.spec.Gang || s.spec.DataRack != "" && !r.up.HasLabel(s.spec.DataRack) {
		return
	}
	if len(s.units) > 1 && s.siblings == nil {
		s.siblings = &bbrinterference.Siblings{}
	}
	sched.interference.ObserveRunTime(o.site, o.image, &o.mark, s.siblings, sched.runTimes.of(s.job.Queue, s.spec), now)
}

// conflicts returns the images that are to be kept apart from the step's.
func (sched *Scheduler) conflicts(spec *bbrwork.Step) []bbrinterference.Conflict {
	if sched.interference == nil {
		return nil
	}
	return sched.interference.Conflicts(spec.Image)
}

// harm returns how much the conflicts on the upstream would slow down.
func (up *upstream) harm(conflicts []bbrinterference.Conflict) float64 {
	if up.site == nil {
		return 0
	}
	return up.site.Harm(conflicts)
}

// lessInterference reports whether the work unit would slow down, and be slowed down, less
// on upstream a than on b; equal means that there is no difference.
func (sched *Scheduler) lessInterference(u *unit, a, b *upstream) (less, equal bool) {
	conflicts := sched.conflicts(u.step.spec)
	if len(conflicts) == 0 {
		return false, true
	}
	onA, onB := a.harm(conflicts), b.harm(conflicts)
	return onA < onB, onA == onB
}

// countSeparation counts the start of a work unit whose image is to be kept apart.
func (p *planner) countSeparation(s *step, chosen *upstream) {
	conflicts := p.sched.conflicts(s.spec)
	if len(conflicts) == 0 {
		return
	}
	if chosen.harm(conflicts) > 0 {
		p.sched.separationCounts.Unavoidable++
		return
	}
	for _, up := range p.usable {
		if up.harm(conflicts) > 0 && s.spec.Allocation().Fits(p.freeFor(s, up)) {
			p.sched.separationCounts.Avoided++
			return
		}
	}
}

// updateInterference forgets pairs that no longer hold, and logs the changes.
func (sched *Scheduler) updateInterference(now time.Time) {
	if sched.interference == nil {
		return
	}
	sched.interference.Sweep(now)
	for _, change := range sched.interference.Changes() {
		text := "Interfering images forgotten"
		if change.Found {
			text = "Interfering images found"
		}
		sched.note(now, text, "affected", change.Pair.Affected, "neighbour", change.Pair.Neighbour,
			"slowdown", math.Round(100*change.Pair.Slowdown)/100, "observations", int(change.Pair.Observations), "pairs", sched.interference.Found())
	}
}

// interferenceToStore returns the record of found pairs if it has to be stored; nil if not.
func (sched *Scheduler) interferenceToStore(now time.Time) *bbrinterference.Record {
	if sched.interference == nil {
		return nil
	}
	record, due := sched.interference.RecordToStore(now)
	if !due {
		return nil
	}
	return &record
}
