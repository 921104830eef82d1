// Package bbrwork has the types of jobs, of the work units that they consist of, and
// of the upstreams that run them. Scheduling decisions are made elsewhere.
package bbrwork
