// Package bbrscheduler decides for one shard of a service which work unit runs
// where. A Scheduler holds the state of the shard's owner: its jobs, its upstreams,
// the runs on them and what is stored. It does no I/O: its caller reports every
// event together with the present time, and carries out the orders that the
// Scheduler returns.
//
// Capacity that the shard lacks is requested from the fleet as a level (Demand):
// CPU by the sum of the work, and exclusive upstreams for wide work, which does not
// fit beside other work however large the sum is (widework.go).
package bbrscheduler
