// Package bbrscheduler decides for one service which work unit runs where. A
// Scheduler is the memory of the service's owner: its jobs, the upstreams, what
// runs on them and what is stored. It does no I/O: its caller feeds it what
// happened with the present time, and carries out the orders that it returns.
//
// What a Scheduler has no upstreams for it asks of the fleet as a level (Demand):
// room by the sum of the work, and whole upstreams for work that finds no room
// beside other work however large the sum is (whole.go).
package bbrscheduler
