package bbrscheduler

import (
	"iter"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrcrash"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// storedCrashes is the stored crash record of a job that is still to be loaded. Meanwhile its
// trials are settled as those of known jobs are.
type storedCrashes struct {
	suspects []*storedSuspect
	// changed means that the record has to be stored again.
	changed bool
}

// storedSuspect is a suspect of a stored crash record.
type storedSuspect struct {
	record  *storedCrashes
	unit    bbrwork.Unit
	crashes bbrcrash.History
	// trial is the stored trial; nil for none. inherited means that it is not known yet
	// whether it took place.
	trial     *bbrcrash.Trial
	inherited bool
	// assumed has the crashes that became known since.
	assumed []bbrcrash.Crash
}

func newStoredCrashes(id string, record bbrcrash.Record) *storedCrashes {
	kept := &storedCrashes{}
	for _, s := range record.Suspects {
		kept.suspects = append(kept.suspects, &storedSuspect{
			record: kept, unit: bbrwork.Unit{Job: id, Occurrence: s.Occurrence, Step: s.Step, Index: s.Index},
			crashes: s.Crashes, trial: s.Trial, inherited: s.Trial != nil,
		})
	}
	return kept
}

func (sched *Scheduler) keepCrashes(id string, record *storedCrashes) {
	if sched.loading.crashes == nil {
		sched.loading.crashes = make(map[string]*storedCrashes)
	}
	sched.loading.crashes[id] = record
}

// keptTrials returns the suspects of jobs that are still to be loaded, and whose trial on the
// incarnation is not settled.
func (sched *Scheduler) keptTrials(incarnation bbrwork.Incarnation) iter.Seq[*storedSuspect] {
	return func(yield func(*storedSuspect) bool) {
		for _, record := range sched.loading.crashes {
			for _, s := range record.suspects {
				if s.inherited && s.trial.On(incarnation) && !yield(s) {
					return
				}
			}
		}
	}
}

// accuse counts the trial as a crash.
func (s *storedSuspect) accuse(now time.Time) {
	s.assumed = append(s.assumed, s.trial.AssumedCrash(now))
	s.trial, s.inherited, s.record.changed = nil, false, true
}

// move moves the trial to the next incarnation of its upstream.
func (s *storedSuspect) move(startMillis int64) {
	moved := *s.trial
	moved.StartMillis = startMillis
	s.trial, s.record.changed = &moved, true
}

// settleKeptTrials settles the trials of a job that has just arrived on upstreams that have
// answered before.
func (sched *Scheduler) settleKeptTrials(j *job, record *storedCrashes) {
	for _, s := range record.suspects {
		u := j.findUnit(s.unit)
		if u == nil || u.trial == nil || u.trialInherited {
			continue
		}
		up := sched.upstreams[u.trial.Upstream]
		if up == nil || !u.trial.On(up.Incarnation) {
			u.trial = nil
			sched.markCrashesChanged(j)
			continue
		}
		sched.settleTrial(u, up)
	}
}
