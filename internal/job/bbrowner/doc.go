// Package bbrowner runs the owner of a service: it feeds the service's ledger
// from the store and the upstreams, carries out the orders that the ledger
// plans, and stores what the ledger learnt before an upstream may forget it.
package bbrowner
