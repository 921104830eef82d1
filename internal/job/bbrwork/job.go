package bbrwork

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Schedule repeats the steps of a job. A zero Count means that they run once,
// without delay.
type Schedule struct {
	Count int `json:"count,omitempty"`
	// First is when occurrence 0 is due, and Every the time between the due times of
	// two successive occurrences.
	First time.Time     `json:"first,omitzero"`
	Every time.Duration `json:"every,omitempty"`
}

// Due returns when an occurrence may start; the zero time means immediately.
func (s *Schedule) Due(occurrence int) time.Time {
	if s.Count == 0 {
		return time.Time{}
	}
	// The product of occurrence and interval may exceed the longest duration.
	seconds := int64(occurrence) * int64(s.Every/time.Second)
	rest := time.Duration(occurrence) * (s.Every % time.Second)
	due := time.Unix(s.First.Unix()+seconds, int64(s.First.Nanosecond())).Add(rest)
	if due.After(LatestDue) {
		return LatestDue
	}
	return due
}

// LatestDue is the latest due time, the latest time that can be encoded as text.
var LatestDue = time.Date(9999, time.December, 31, 23, 59, 59, 0, time.UTC)

// Job is an accepted job. It is immutable; a job that goes to another cell gets another
// record there.
type Job struct {
	// ID consists of 16 hexadecimal digits and is chosen by the submitter.
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// Service names the pool whose upstreams run the job, as the queue was configured
	// when the job was accepted.
	Service string `json:"service"`
	// Organisation is the organisation that submitted the job; empty if its queue is
	// public or there are no organisations.
	Organisation string `json:"organisation,omitempty"`
	// Cell is the part of the fleet in which the job runs.
	Cell int `json:"cell,omitempty"`
	// Spec is passed to the upstreams as it is.
	Spec     string   `json:"spec"`
	Steps    []Step   `json:"steps"`
	Schedule Schedule `json:"schedule,omitzero"`
	// Accepted is when the job was accepted, by the clock of the accepting entry.
	Accepted time.Time `json:"accepted"`
	// Policy is the queue's at acceptance. The policy in a newer configuration takes
	// precedence. It is nil in records that entries of older versions stored.
	Policy *Policy `json:"terms,omitempty"`
	// Transfer is what came with the job from another cell; nil if it is in the cell that
	// accepted it.
	Transfer *Transfer `json:"transfer,omitempty"`
}

// Transfer is what an owner stores with a job that goes to another cell.
type Transfer struct {
	// Count is how often the job went to another cell.
	Count int `json:"count"`
	// Started means that a run of the job was started.
	Started bool `json:"started,omitempty"`
	// Progress is the progress of the job when it came to the cell; empty for none. The
	// run numbers in it are not used again by any cell. The progress that is stored by
	// itself takes precedence.
	Progress []byte `json:"progress,omitempty"`
}

// Validate returns an error if the job cannot be run as it is: its record was damaged,
// or not written by an entry.
func (j *Job) Validate() error {
	for i := range j.Steps {
		step := &j.Steps[i]
		if step.Count < 1 {
			return errors.Newf("steps[%d] has %d work units", i, step.Count)
		}
		for _, earlier := range step.DependsOn {
			if earlier < 0 || earlier >= i {
				return errors.Newf("steps[%d] depends on %d, which is not an earlier step", i, earlier)
			}
		}
	}
	return nil
}

// Shard returns the shard that runs the job.
func (j *Job) Shard() Shard { return Shard{Service: j.Service, Cell: j.Cell} }

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Schedule.Count) }

// LongRunning reports whether the job has a long-running step.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// CriticalPath returns the longest path of estimated work through the steps.
func (j *Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i := range j.Steps {
		for _, earlier := range j.Steps[i].DependsOn {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// State is the state of a job as callers see it.
type State string

// The states of a job. Completed, Failed and Cancelled are final.
const (
	Pending   State = "pending"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a job in this state never leaves it.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }
