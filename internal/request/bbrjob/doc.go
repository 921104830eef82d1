// Package bbrjob represents a caller's request: its complete content with its
// queue, team, deadline, priority and idempotency.
package bbrjob
