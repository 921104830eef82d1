// Package bbrqueue implements the queue of requests that wait for a slot of a
// pool. Urgent requests come first. Within a priority, teams are served round
// robin, and the requests of a team first in, first out.
package bbrqueue
