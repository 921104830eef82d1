package bbrscheduler

import (
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// failedStartPeriod is how long failed starts on an upstream count after the last one. A
// start without an answer keeps its work unit for seconds: the period outlasts two of them,
// so that a third upstream is tried before the first one again.
const failedStartPeriod = 8 * time.Second

// minFailingStarts is the number of consecutive failed starts from which finite work and
// gangs go to other upstreams first. A single failure, as a refusal for lack of capacity,
// must not change how work is packed.
const minFailingStarts = 2

// failedStarts counts the consecutive starts that failed on an upstream.
type failedStarts struct {
	count int
	last  time.Time
}

func (f *failedStarts) add(now time.Time) {
	f.count, f.last = f.recent(now)+1, now
}

// recent returns the number of failed starts, or 0 if the last one was too long ago to tell
// how the next start will end.
func (f *failedStarts) recent(now time.Time) int {
	if f.count == 0 || now.Sub(f.last) >= failedStartPeriod {
		return 0
	}
	return f.count
}

// startsFail reports whether the last starts on the upstream failed.
func (p *planner) startsFail(up *upstream) bool {
	return up.failedStarts.recent(p.now) >= minFailingStarts
}

// fewerFailedStarts compares two upstreams by failed starts, for work of the step: less
// means that a is preferred, equal that neither is. Long-running work compares the
// numbers, finite work only whether starts fail.
func (p *planner) fewerFailedStarts(spec *bbrwork.Step, a, b *upstream) (less, equal bool) {
	if spec.LongRunning {
		failedOnA, failedOnB := a.failedStarts.recent(p.now), b.failedStarts.recent(p.now)
		return failedOnA < failedOnB, failedOnA == failedOnB
	}
	return !p.startsFail(a), p.startsFail(a) == p.startsFail(b)
}

// failingLast returns the groups without the upstreams on which starts fail, followed by
// all groups with these upstreams at their ends.
func (p *planner) failingLast(groups [][]*upstream) [][]*upstream {
	if !slices.ContainsFunc(p.usable, p.startsFail) {
		return groups
	}
	ordered := make([][]*upstream, 0, 2*len(groups))
	for _, group := range groups {
		ordered = append(ordered, slices.DeleteFunc(slices.Clone(group), p.startsFail))
	}
	for i, group := range groups {
		failing := slices.DeleteFunc(slices.Clone(group), func(up *upstream) bool { return !p.startsFail(up) })
		ordered = append(ordered, slices.Concat(ordered[i], failing))
	}
	return ordered
}
