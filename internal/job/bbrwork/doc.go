// Package bbrwork has the types of jobs, of the work units that they consist
// of, and of the upstreams that run them. It decides nothing.
package bbrwork
