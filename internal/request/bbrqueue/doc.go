// Package bbrqueue is the line of requests that wait for a slot of a pool:
// urgent ones first, then one of each team in turn, first come first served
// within a team. Leaving the line costs constant time.
package bbrqueue
