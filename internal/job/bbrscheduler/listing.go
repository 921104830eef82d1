package bbrscheduler

import (
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// ApplyListing applies what an upstream listed in answer to a renewal that was sent
// at sent.
func (l *Scheduler) ApplyListing(life bbrwork.Life, listing *bbrwork.Listing, sent, now time.Time) {
	up := l.upstreams[life.ID]
	if up == nil || up.Born != life.Born {
		return
	}
	if listing.Born != 0 && up.Born != 0 && listing.Born != up.Born {
		l.ended(up, "reborn", now)
		return
	}
	if listing.Born != 0 {
		up.Born = listing.Born
	}
	up.heard(listing.Clock, now)
	up.silentAt = time.Time{}
	l.applyEnds(up, listing.Ended, now)
	l.applyRunning(up, listing, sent, now)
	up.reached = true
	l.locate(life, now)
}

func (l *Scheduler) applyEnds(up *upstream, ends []bbrwork.End, now time.Time) {
	for _, end := range ends {
		if end.Number <= up.applied {
			continue
		}
		up.applied = end.Number
		if !up.lapsed[runKey{end.Unit, end.Run}] {
			l.applyEnd(up, end, now)
		}
	}
}

func (l *Scheduler) applyEnd(up *upstream, end bbrwork.End, now time.Time) {
	job := l.jobs[end.Unit.Job]
	if job == nil {
		return
	}
	u := job.find(end.Unit)
	if u == nil {
		return
	}
	r := up.runs[runKey{end.Unit, end.Run}]
	if r != nil {
		l.dropRun(r, now)
	}
	u.last = max(u.last, end.Run)
	if end.Checkpoint != "" {
		u.checkpoint = end.Checkpoint
	}
	up.health.ended(end.How, now)
	switch end.How {
	case bbrwork.HowDone:
		l.unitDone(u, up, end.Run, now)
	case bbrwork.HowFailed:
		l.unitFailed(u, up, end.Run, now)
	default:
		l.note(now, "Run ended", "job", end.Unit.Job, "unit", end.Unit.String(), "run", end.Run, "upstream", up.ID, "how", end.How)
	}
}

func (l *Scheduler) unitDone(u *unit, up *upstream, number int, now time.Time) {
	members := []*unit{u}
	if u.step.shape.Gang {
		members = u.step.units
	}
	changed := false
	for _, member := range members {
		changed = member.finish() || changed
	}
	job := u.step.job
	if !changed || job.final != "" {
		return
	}
	job.begun = true
	l.markChanged(job)
	if job.completed() {
		l.finishJob(job, bbrwork.Completed, "last work unit "+u.name().String()+" ended as done on "+up.ID, now)
	}
}

func (l *Scheduler) unitFailed(u *unit, up *upstream, number int, now time.Time) {
	job := u.step.job
	job.begun = true
	if u.done || slices.Contains(u.failed, number) || job.final != "" {
		return
	}
	u.avoid = up.ID
	if u.step.shape.Lasting {
		u.notBefore = now.Add(lastingPause)
		return
	}
	u.failed = append(u.failed, number)
	l.markChanged(job)
	l.note(now, "Run failed", "job", job.ID, "unit", u.name().String(), "run", number, "upstream", up.ID,
		"failures", u.failures(), "attempts", job.attempts())
	if u.failures() >= job.attempts() {
		l.finishJob(job, bbrwork.Failed, "work unit "+u.name().String()+" failed on "+up.ID, now)
	}
}

// lastingPause is the least time before a lasting work unit that failed starts
// again.
const lastingPause = 50 * time.Millisecond

// finishJob ends the job. What still runs is stopped by the next plan.
func (l *Scheduler) finishJob(job *job, state bbrwork.State, why string, now time.Time) {
	if job.final != "" {
		return
	}
	job.final = state
	l.markChanged(job)
	l.note(now, "Job ended", "job", job.ID, "queue", job.Queue, "state", state, "reason", why,
		"age", now.Sub(job.Accepted).Round(time.Millisecond))
}

func (l *Scheduler) applyRunning(up *upstream, listing *bbrwork.Listing, sent, now time.Time) {
	listed := make(map[runKey]bool, len(listing.Running))
	for _, running := range listing.Running {
		key := runKey{running.Unit, running.Number}
		listed[key] = true
		l.applyRun(up, key, running, now)
	}
	for key := range up.strays {
		if !listed[key] {
			delete(up.strays, key)
		}
	}
	if len(listing.Ended) >= maxListedEnds {
		return
	}
	for key, r := range up.runs {
		if !listed[key] && r.gone(listing.Clock, sent) {
			l.note(now, "Run vanished", "job", key.unit.Job, "unit", key.unit.String(), "run", key.number, "upstream", up.ID, "phase", r.phase)
			l.dropRun(r, now)
		}
	}
}

// maxListedEnds is how many ends an upstream lists at once; more may follow.
const maxListedEnds = 500

// gone tells whether a run that is missing from a listing is not at work and
// never will be. A start that was answered before the listing was asked for
// must be in it; one whose answer was lost can begin until its deadline.
func (r *run) gone(clock time.Duration, sent time.Time) bool {
	switch r.phase {
	case phaseRunning, phaseStopping:
		return !r.confirmed.IsZero() && r.confirmed.Before(sent)
	case phaseUnknown:
		return clock > r.until
	default:
		return false
	}
}

func (l *Scheduler) applyRun(up *upstream, key runKey, running bbrwork.Run, now time.Time) {
	r := up.runs[key]
	if r == nil {
		r = l.adopt(up, key, now)
		if r == nil {
			return
		}
	}
	if r.phase == phaseUnknown || r.phase == phaseStarting {
		r.phase = phaseRunning
		r.confirmed = now
	}
	if running.Checkpoint != "" {
		r.unit.checkpoint = running.Checkpoint
	}
	r.progress(running, now)
	if r.unit.step.shape.Lasting && r.percent == fullPercent {
		r.unit.awaySince = time.Time{}
	}
}

const fullPercent = 100

// adopt takes over a run that an earlier owner started. One of a job that is
// not known is stopped by the next plan.
func (l *Scheduler) adopt(up *upstream, key runKey, now time.Time) *run {
	job := l.jobs[key.unit.Job]
	if job == nil {
		l.stray(up, key, now)
		return nil
	}
	u := job.find(key.unit)
	if u == nil {
		l.stray(up, key, now)
		return nil
	}
	delete(up.strays, key)
	r := l.addRun(u, key.number, up, now)
	r.phase, r.confirmed = phaseRunning, now
	if u.step.shape.Fills {
		r.pace = unknownPace
	}
	if up.leased.IsZero() {
		up.leased = now.Add(leaseBound(l.Timing.Lease))
	}
	return r
}
