package bbrwork

import "time"

// Policy is how the jobs of a queue are run. It is stored with each job, for owners
// whose configuration does not have the queue.
type Policy struct {
	// Priority orders the work of a service; 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// Attempts is the number of failures after which a work unit is not run again; at
	// least 1.
	Attempts int `json:"attempts"`
	// A job should be completed within Stretch times its critical path, plus
	// Objective.
	Stretch   float64       `json:"stretch,omitempty"`
	Objective time.Duration `json:"objective,omitempty"`
	// RequiresAdvice means that steps run only on upstreams that the advice service
	// permits, and TicketTTL is how long a ticket is valid.
	RequiresAdvice bool          `json:"advised,omitempty"`
	TicketTTL      time.Duration `json:"valid,omitempty"`
}

// Policy returns the policy of the queue; nil if q is nil.
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

// ValuableFactor is the number of objectives after which a job's result is of no value to
// its caller.
const ValuableFactor = 3
