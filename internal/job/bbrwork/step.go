package bbrwork

import "time"

// Step is a group of identical work units of a job.
type Step struct {
	// Count is at least 1.
	Count int `json:"count"`
	// Need is what one work unit needs.
	Need Resources `json:"need"`
	// Estimate is the submitter's estimate of a work unit's run time.
	Estimate time.Duration `json:"estimate,omitempty"`
	// DependsOn has the numbers of the steps that must be done first. Each is less
	// than the step's own number.
	DependsOn []int `json:"after,omitempty"`
	// Checkpoints means that a work unit can resume from a checkpoint.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang means that all work units of the step must run at the same time.
	Gang bool `json:"gang,omitempty"`
	// SameRack means that all work units of a gang run on upstreams of one rack.
	SameRack bool `json:"sameRack,omitempty"`
	// Label is one that the upstream must have; empty for any upstream.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that has the step's data; empty for none.
	DataRack string `json:"dataRack,omitempty"`
	// MaxPerUpstream bounds the step's work units on one upstream; 0 for no bound.
	MaxPerUpstream int `json:"maxPerUpstream,omitempty"`
	// AllowDuplicates means that a work unit may have several runs at the same time.
	AllowDuplicates bool `json:"duplicates,omitempty"`
	// LongRunning work units run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// Image is the image that the submitter named; work units of one image behave alike.
	Image string `json:"image,omitempty"`
	// LatencyTarget bounds the tail latency of a serving work unit; 0 for no bound.
	LatencyTarget time.Duration `json:"target,omitempty"`
	// BestEffort means that the step uses only CPU time that other work leaves idle.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable bounds the work units of the step that maintenance and moves may
	// make unavailable at the same time.
	MaxUnavailable int `json:"mayMiss,omitempty"`
}

// Allocation returns what a work unit of the step occupies of an upstream's
// capacity. Best-effort work occupies no CPU.
func (s *Step) Allocation() Resources {
	allocation := s.Need
	if s.BestEffort {
		allocation.MilliCPU = 0
	}
	return allocation
}
