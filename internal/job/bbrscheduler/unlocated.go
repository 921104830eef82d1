package bbrscheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	// unlocatedNoteDelay is the time after the claim from which a search for earlier work
	// is logged, so that a takeover whose upstreams all answer soon adds no line.
	unlocatedNoteDelay = time.Second
	// unlocatedNoteInterval is the time between two log lines about a search.
	unlocatedNoteInterval = 2 * time.Second
	// maxNamedUnlocated bounds the upstreams that one log line names.
	maxNamedUnlocated = 8
)

// UnlocatedCount returns the number of incarnations on which an earlier owner may have
// started work that is not known.
func (sched *Scheduler) UnlocatedCount() int { return len(sched.unlocated) }

// noteUnlocated logs, from unlocatedNoteDelay after the claim and every
// unlocatedNoteInterval, which upstreams a successor still waits for.
func (sched *Scheduler) noteUnlocated(now time.Time) {
	if len(sched.unlocated) == 0 || now.Sub(sched.claimedAt) < unlocatedNoteDelay ||
		!sched.unlocatedNotedAt.IsZero() && now.Sub(sched.unlocatedNotedAt) < unlocatedNoteInterval {
		return
	}
	sched.unlocatedNotedAt = now
	sched.note(now, "Earlier work not located yet", "claimAge", now.Sub(sched.claimedAt).Round(time.Millisecond), "count", len(sched.unlocated),
		"upstreams", sched.describeUnlocated(), "unlocatedJobs", sched.jobsWithUnlocatedWork(now), "atMost", max(0, sched.earlierLeasesEnd.Sub(now)).Round(time.Millisecond))
}

// describeUnlocated describes for the log the unlocated incarnations, those with the most
// lost answers first.
func (sched *Scheduler) describeUnlocated() []string {
	lost := func(incarnation bbrwork.Incarnation) int {
		if up := sched.upstreams[incarnation.ID]; up != nil {
			return up.lostAnswers
		}
		return 0
	}
	incarnations := slices.SortedFunc(maps.Keys(sched.unlocated), func(a, b bbrwork.Incarnation) int {
		return cmp.Or(cmp.Compare(lost(b), lost(a)), cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartMillis, b.StartMillis))
	})
	descriptions := make([]string, 0, maxNamedUnlocated)
	for _, incarnation := range incarnations[:min(len(incarnations), maxNamedUnlocated)] {
		descriptions = append(descriptions, fmt.Sprintf("%s lostAnswers=%d", incarnation.ID, lost(incarnation)))
	}
	return descriptions
}

// jobsWithUnlocatedWork returns the number of jobs of which an earlier owner may have
// started work that is not located. Their located work units may start.
func (sched *Scheduler) jobsWithUnlocatedWork(now time.Time) int {
	p := &planner{sched: sched, now: now}
	count := 0
	for _, job := range sched.jobs {
		if job.finalState == "" && p.mayHaveUnlocatedRuns(job) {
			count++
		}
	}
	return count
}
