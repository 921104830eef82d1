// Package bbrjob is a caller's request as the rest of the system handles it:
// read whole, with its queue, team, deadline, priority and idempotency.
package bbrjob
