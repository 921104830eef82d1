// Package bbrinquiry implements queries between the entries of a fleet over drpc:
// entries query the owners of shards about jobs, notify them of new jobs, and ping
// each other. An owner's answer saves reading the store; without one, the store is
// read.
package bbrinquiry
