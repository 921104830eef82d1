package bbrwork

import (
	"time"
)

// Resources is room on an upstream, or what a work unit takes of it.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int `json:"milliCPU,omitempty"`
	// MemoryMB is in megabytes.
	MemoryMB     int `json:"memoryMB,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Fits tells whether r is within room.
func (r Resources) Fits(available Resources) bool {
	return r.MilliCPU <= available.MilliCPU && r.MemoryMB <= available.MemoryMB && r.Accelerators <= available.Accelerators
}

// Plus returns the sum.
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.MilliCPU + other.MilliCPU, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Minus returns the difference, which may be negative.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.MilliCPU - other.MilliCPU, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.Accelerators * n}
}

// FitCount returns how many times r fits into room, at most so often.
func (r Resources) FitCount(available Resources, limit int) int {
	limit = min(limit, fitCountOf(r.MilliCPU, available.MilliCPU, limit))
	limit = min(limit, fitCountOf(r.MemoryMB, available.MemoryMB, limit))
	return max(0, min(limit, fitCountOf(r.Accelerators, available.Accelerators, limit)))
}

func fitCountOf(need, available, limit int) int {
	switch {
	case available < 0:
		return 0
	case need == 0:
		return limit
	default:
		return available / need
	}
}

// Step is a group of equal work units of a job.
type Step struct {
	// Count is at least 1.
	Count int       `json:"count"`
	Need  Resources `json:"need"`
	// Estimate is the submitter's guess of a work unit's run time.
	Estimate time.Duration `json:"estimate,omitempty"`
	// DependsOn lists earlier steps that must be done; each is below the step's own
	// number.
	DependsOn   []int `json:"after,omitempty"`
	Checkpoints bool  `json:"checkpoints,omitempty"`
	// Gang means that the work units run only all together.
	Gang     bool `json:"gang,omitempty"`
	SameRack bool `json:"sameRack,omitempty"`
	// Label must be among the upstream's labels; empty for any.
	Label string `json:"label,omitempty"`
	// DataRack is the rack on which the step's data lies; empty for none.
	DataRack string `json:"dataRack,omitempty"`
	// MaxPerUpstream bounds the step's work units on one upstream; 0 for none.
	MaxPerUpstream int `json:"maxPerUpstream,omitempty"`
	// AllowDuplicates means that several runs of a work unit may be at work at once.
	AllowDuplicates bool `json:"duplicates,omitempty"`
	// LongRunning work units run until the job is cancelled.
	LongRunning bool   `json:"lasting,omitempty"`
	Image       string `json:"image,omitempty"`
	// LatencyTarget bounds the response time's tail of a serving work unit; 0 for none.
	LatencyTarget time.Duration `json:"target,omitempty"`
	// BestEffort means that the step takes only processor time that others leave.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable is how many work units of the step may be away by planned work.
	MaxUnavailable int `json:"mayMiss,omitempty"`
}

// Allocation is what a work unit of the step takes of an upstream's room.
func (s *Step) Allocation() Resources {
	allocation := s.Need
	if s.BestEffort {
		allocation.MilliCPU = 0
	}
	return allocation
}

// Schedule repeats the steps of a job. A zero Count means that they run once, at
// once.
type Schedule struct {
	Count int `json:"count,omitempty"`
	// First is when occurrence 0 is due, and Every the time to the next one.
	First time.Time     `json:"first,omitzero"`
	Every time.Duration `json:"every,omitempty"`
}

// Due returns when an occurrence may start; the zero time means at once.
func (s *Schedule) Due(occurrence int) time.Time {
	if s.Count == 0 {
		return time.Time{}
	}
	return s.First.Add(time.Duration(occurrence) * s.Every)
}

// Job is an accepted job. It never changes.
type Job struct {
	// ID is chosen by the submitter, 16 hexadecimal digits.
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// Service names the pool whose upstreams run the job. It stays what the
	// queue's configuration said at acceptance.
	Service string `json:"service"`
	// Cell is the part of the fleet in which the job runs.
	Cell     int      `json:"cell,omitempty"`
	Spec     string   `json:"spec"`
	Steps    []Step   `json:"steps"`
	Schedule Schedule `json:"schedule,omitzero"`
	// Accepted is the accepting entry's time of day.
	Accepted time.Time `json:"accepted"`
	// Policy are the queue's at acceptance; a newer configuration's go before them.
	// They are nil in records of older entries.
	Policy *Policy `json:"terms,omitempty"`
}

// Shard returns the shard that runs the job.
func (j *Job) Shard() Shard { return Shard{Service: j.Service, Cell: j.Cell} }

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.Schedule.Count) }

// LongRunning tells whether a step of the job runs until it is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// State is what callers are told of a job.
type State string

// States of a job. The last three are final.
const (
	Pending   State = "pending"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final tells whether a job in this state stays in it.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }
