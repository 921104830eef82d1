package bbrscheduler

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrcrash"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// markCrashesChanged records that the crash record of the job has to be stored.
func (sched *Scheduler) markCrashesChanged(j *job) {
	j.crashVersion++
	sched.markChanged(j)
}

// crashesStored reports whether the store has the crash record as it is.
func (j *job) crashesStored() bool { return j.crashVersion == j.storedCrashVersion }

// crashRecord returns the crash record to store, at most maxBytes long; nil if the job
// has no suspects. If it is too long, the suspects with the fewest crashes are left out.
func (j *job) crashRecord(maxBytes int) []byte {
	var record bbrcrash.Record
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, u := range s.units {
				if len(u.crashes) > 0 {
					record.Suspects = append(record.Suspects, bbrcrash.Suspect{Occurrence: o.number, Step: s.number, Index: u.index, Crashes: u.crashes, Trial: u.trial})
				}
			}
		}
	}
	if len(record.Suspects) == 0 {
		return nil
	}
	data := encodeCrashRecord(record)
	if len(data) <= maxBytes {
		return data
	}
	slices.SortStableFunc(record.Suspects, func(a, b bbrcrash.Suspect) int { return cmp.Compare(len(b.Crashes), len(a.Crashes)) })
	for len(data) > maxBytes && len(record.Suspects) > 1 {
		record.Suspects = record.Suspects[:len(record.Suspects)/2]
		data = encodeCrashRecord(record)
	}
	return data
}

func encodeCrashRecord(record bbrcrash.Record) []byte {
	data, err := json.Marshal(record)
	if err != nil {
		panic(err) // Unreachable: strings, numbers and times can always be encoded.
	}
	return data
}

// RestoreCrashes restores the stored crash record of a job, and reports whether the job is
// known. The record of a job that is still to be loaded is kept until then. It is called
// before BeginLoading.
func (sched *Scheduler) RestoreCrashes(id string, stored []byte, now time.Time) bool {
	var record bbrcrash.Record
	if err := json.Unmarshal(stored, &record); err != nil {
		sched.note(now, "Decoding of the stored crash record failed", "job", id, "reason", err.Error())
	}
	kept := newStoredCrashes(id, record)
	if j := sched.jobs[id]; j != nil {
		sched.applyCrashRecord(j, kept, now)
		return true
	}
	if sched.loading.phase != loadFinished {
		sched.keepCrashes(id, kept)
	}
	return false
}

// applyCrashRecord restores the crash record of a job.
func (sched *Scheduler) applyCrashRecord(j *job, record *storedCrashes, now time.Time) {
	j.mayHaveStoredCrashes = true
	for _, s := range record.suspects {
		u := j.findUnit(s.unit)
		if u == nil || u.done || len(s.crashes) == 0 {
			continue
		}
		u.crashes, u.trial, u.trialInherited = s.crashes, s.trial, s.inherited
		sched.suspects[u] = true
		sched.note(now, "Suspect inherited", "job", j.ID, "unit", u.name().String(), "crashes", len(u.crashes), "standing", u.crashes.Standing(), "trial", s.trial)
		for _, crash := range s.assumed {
			sched.accuse(u, crash, now)
		}
	}
	if record.changed {
		sched.markCrashesChanged(j)
	}
}

// accuseInheritedTrials counts the end of an incarnation for the work units that an
// earlier owner may have started alone there, and that this owner has not located.
func (sched *Scheduler) accuseInheritedTrials(incarnation bbrwork.Incarnation, now time.Time) {
	for u := range sched.suspects {
		if u.trialInherited && u.trial.On(incarnation) {
			sched.accuse(u, u.trial.AssumedCrash(now), now)
		}
	}
	for s := range sched.keptTrials(incarnation) {
		s.accuse(now)
	}
}

// accuseLostTrials does the same after loading for the trials on incarnations that no
// owner has to look for any more.
func (sched *Scheduler) accuseLostTrials(now time.Time) {
	for u := range sched.suspects {
		if u.trialInherited && sched.upstreams[u.trial.Upstream] == nil {
			sched.accuse(u, u.trial.AssumedCrash(now), now)
		}
	}
	for _, record := range sched.loading.crashes {
		for _, s := range record.suspects {
			if s.inherited && sched.upstreams[s.trial.Upstream] == nil {
				s.accuse(now)
			}
		}
	}
}

// moveInheritedTrials moves the trials whose runs the listing of the next incarnation names: their
// starts were meant for the earlier one, and did not end with it.
func (sched *Scheduler) moveInheritedTrials(old, next *upstream, listed []runKey) {
	for u := range sched.suspects {
		if u.trialInherited && u.trial.On(old.Incarnation) && slices.Contains(listed, runKey{u.name(), u.trial.Run}) {
			moved := *u.trial
			moved.StartMillis = next.StartMillis
			u.trial = &moved
			sched.markCrashesChanged(u.step.job)
		}
	}
	for s := range sched.keptTrials(old.Incarnation) {
		if slices.Contains(listed, runKey{s.unit, s.trial.Run}) {
			s.move(next.StartMillis)
		}
	}
}

// settleInheritedTrials settles the trials on an incarnation that has answered: its
// listing shows them. The upstream is reserved for an isolated one.
func (sched *Scheduler) settleInheritedTrials(up *upstream) {
	for u := range sched.suspects {
		if !u.trialInherited || !u.trial.On(up.Incarnation) {
			continue
		}
		u.trialInherited = false
		sched.settleTrial(u, up)
	}
	for s := range sched.keptTrials(up.Incarnation) {
		s.inherited = false
	}
}

// settleTrial settles the trial of a work unit on an upstream that has answered.
func (sched *Scheduler) settleTrial(u *unit, up *upstream) {
	if len(u.runs) > 0 && u.runs[0].up == up {
		if u.needsTrial(up) && (up.trialUnit == nil || u.name().String() < up.trialUnit.name().String()) {
			up.trialUnit = u
		}
		return
	}
	u.trial = nil
	sched.markCrashesChanged(u.step.job)
}

// dropSuspects removes the suspects of a job that is dropped.
func (sched *Scheduler) dropSuspects(j *job) {
	for u := range sched.suspects {
		if u.step.job == j {
			delete(sched.suspects, u)
		}
	}
}
