package bbrwork

import "time"

// Advice configures a queue whose steps may run only on upstreams that the advice
// service permits.
type Advice struct {
	// CallTime is the time that the advice service needs for a call, and UpstreamTime
	// the time that it needs in addition for each upstream that the call names.
	CallTime, UpstreamTime time.Duration
	// TicketTTL is how long a ticket is valid.
	TicketTTL time.Duration
}

// Queue is a queue of jobs. Callers address it by host and path prefix.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Public means that callers need no key. Jobs of public queues belong to no
	// organisation.
	Public bool
	// Priority orders the work of a service; 0 is the highest.
	Priority int
	// Attempts is the number of failures after which a work unit is not run again; at
	// least 1.
	Attempts int
	// A job should be completed within Stretch times its critical path, plus
	// Objective.
	Stretch   float64
	Objective time.Duration
	// Timeout bounds the time for the answer to a call.
	Timeout time.Duration
	// Advice is nil if steps run without advice.
	Advice *Advice
}
