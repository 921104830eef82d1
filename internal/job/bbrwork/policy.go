package bbrwork

import "time"

// Policy is how the jobs of a queue are run. It is stored with a job, for owners
// that never knew its queue.
type Policy struct {
	// Priority 0 comes first.
	Priority int `json:"priority,omitempty"`
	// Attempts is how often a work unit may fail; at least 1.
	Attempts int `json:"attempts"`
	// Stretch times the longest chain of work, and Objective more, is the time in
	// which a job should be completed.
	Stretch   float64       `json:"stretch,omitempty"`
	Objective time.Duration `json:"objective,omitempty"`
	// RequiresAdvice means that steps run only on upstreams that the advice service names,
	// and Valid is how long a ticket holds.
	RequiresAdvice bool          `json:"advised,omitempty"`
	TicketTTL      time.Duration `json:"valid,omitempty"`
}

// Policy returns the terms of the queue; nil for none.
func (q *Queue) Policy() *Policy {
	if q == nil {
		return nil
	}
	policy := &Policy{Priority: q.Priority, Attempts: q.Attempts, Stretch: q.Stretch, Objective: q.Objective}
	if q.Advice != nil {
		policy.RequiresAdvice, policy.TicketTTL = true, q.Advice.TicketTTL
	}
	return policy
}
