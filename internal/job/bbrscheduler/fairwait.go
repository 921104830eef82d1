package bbrscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrfairshare"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	// waitsTTL is the age up to which expected waits are reused instead of computed anew.
	waitsTTL = 100 * time.Millisecond
	// maxExpectedWaits bounds the expected waits, of which the longest are told.
	maxExpectedWaits = 16
)

// backlogKey identifies the jobs of an organisation in a queue.
type backlogKey struct{ organisation, queue string }

// backlog is what is known of the open jobs of an organisation in a queue.
type backlog struct {
	member   *shareMember
	priority int
	jobs     int
	// path is the sum of the jobs' critical paths, and allowed that of the times from
	// their acceptance until they should be completed.
	path, allowed time.Duration
	// seconds is the work that comes before a new job, as the time that it would take
	// with all of the capacity.
	seconds float64
}

// ExpectedWaits returns what is expected for new jobs of the organisations that want more
// than their share. It returns nil while the capacity suffices for all that waits.
func (sched *Scheduler) ExpectedWaits(now time.Time) []bbrfairshare.Wait {
	if (!sched.FairShares || sched.fair.capacity == bbrwork.Resources{}) {
		return nil
	}
	if now.Sub(sched.fair.waitsAt) > waitsTTL {
		sched.fair.waits, sched.fair.waitsAt = sched.expectedWaits(now), now
	}
	return sched.fair.waits
}

func (sched *Scheduler) expectedWaits(now time.Time) []bbrfairshare.Wait {
	backlogs := sched.backlogs()
	if len(backlogs) == 0 {
		return nil
	}
	byOrganisation := make(map[string][]*backlog)
	for key, b := range backlogs {
		byOrganisation[key.organisation] = append(byOrganisation[key.organisation], b)
	}
	for _, j := range sched.jobs {
		if list := byOrganisation[j.Organisation]; list != nil && j.finalState == "" && !j.cancelled {
			sched.addAhead(list, j, now)
		}
	}
	var waits []bbrfairshare.Wait
	for key, b := range backlogs {
		// While others leave capacity, the organisation may use more than its share.
		rate := max(b.member.share.Limit, bbrfairshare.Dominant(b.member.use.Running, sched.fair.capacity))
		if b.seconds == 0 || b.member.weight == 0 {
			continue
		}
		count := time.Duration(b.jobs)
		waits = append(waits, bbrfairshare.Wait{Organisation: key.organisation, Queue: key.queue, Path: b.path / count, Beyond: b.member.beyond,
			Expected: time.Duration(b.seconds / rate * float64(time.Second)).Round(time.Millisecond)})
	}
	slices.SortFunc(waits, func(a, b bbrfairshare.Wait) int {
		return cmp.Or(-cmp.Compare(a.Expected, b.Expected), cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Queue, b.Queue))
	})
	return waits[:min(len(waits), maxExpectedWaits)]
}

// backlogs returns the open jobs of the organisations that want more than their share.
func (sched *Scheduler) backlogs() map[backlogKey]*backlog {
	backlogs := make(map[backlogKey]*backlog)
	for _, j := range sched.jobs {
		m := sched.fair.members[j.Organisation]
		if m == nil || !m.share.Unsatisfied() || j.finalState != "" || j.cancelled || j.Schedule.Count > 0 || j.policy == nil {
			continue
		}
		key := backlogKey{j.Organisation, j.Queue}
		b := backlogs[key]
		if b == nil {
			b = &backlog{member: m, priority: j.policy.Priority}
			backlogs[key] = b
		}
		b.jobs++
		b.path += j.criticalPath
		b.allowed += j.objectiveOf(0).Sub(j.Accepted)
	}
	return backlogs
}

// addAhead adds the job's work that is to be done before a new job in each of the queues.
// Work that cannot be in time any more comes after a new job, and so does work whose
// objective is later.
func (sched *Scheduler) addAhead(list []*backlog, j *job, now time.Time) {
	for _, o := range j.occurrences {
		objective := j.objective(o)
		if now.Before(j.Schedule.Due(o.number)) || now.Add(o.remainingPath()).After(objective) {
			continue
		}
		work := sched.secondsOf(o, now)
		priority := 0
		if j.policy != nil {
			priority = j.policy.Priority
		}
		for _, b := range list {
			comesLater := priority > b.priority || !j.mayHaveBegun() && objective.After(now.Add(b.allowed/time.Duration(b.jobs)))
			if !comesLater {
				b.seconds += work
			}
		}
	}
}

// secondsOf returns the finite work of an occurrence that is not done, as the time that it
// would take with all of the capacity.
func (sched *Scheduler) secondsOf(o *occurrence, now time.Time) float64 {
	seconds := 0.0
	for _, s := range o.steps {
		if s.spec.LongRunning || s.unitsLeft == 0 {
			continue
		}
		part := bbrfairshare.Dominant(s.spec.Allocation(), sched.fair.capacity)
		seconds += part * float64(s.idleUnits) * s.runTime.Seconds()
		for _, u := range s.units {
			if !u.done && len(u.runs) > 0 {
				seconds += part * max(0, u.runs[0].expectedEnd().Sub(now)).Seconds()
			}
		}
	}
	return seconds
}
