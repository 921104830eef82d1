// Package bbrowner runs the owner of a shard: it passes the state of the store and
// the upstreams to the shard's scheduler, carries out the orders that the scheduler
// plans, and stores the ends of runs before it acknowledges them to upstreams, which
// then forget them.
package bbrowner
