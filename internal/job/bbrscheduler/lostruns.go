package bbrscheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// maxNamedRuns bounds the runs that one log line names.
const maxNamedRuns = 12

// describeLostRuns describes for the log the runs that end with their upstream, the
// youngest first: what an upstream died of was most likely started shortly before.
func describeLostRuns(up *upstream, now time.Time) []string {
	runs := runsByAge(up)
	descriptions := make([]string, 0, maxNamedRuns)
	for _, r := range runs[:min(len(runs), maxNamedRuns)] {
		descriptions = append(descriptions, fmt.Sprintf("%s run %d %s after %s", r.unit.name(), r.number, r.phase, r.age(now).Round(time.Millisecond)))
	}
	return descriptions
}

// runsByAge returns the upstream's runs, the youngest first.
func runsByAge(up *upstream) []*run {
	runs := make([]*run, 0, len(up.runs))
	for _, r := range up.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(b.orderedAt.Compare(a.orderedAt), cmp.Compare(a.unit.name().String(), b.unit.name().String()))
	})
	return runs
}

// age returns how long the run has lasted at now, or until its upstream gave no answer
// any more.
func (r *run) age(now time.Time) time.Duration {
	if lost := r.up.lostSince; lost.After(r.orderedAt) {
		now = lost
	}
	return now.Sub(r.orderedAt)
}
