// Package bbrroute chooses the instance that a request is sent to. A routing
// table is immutable and is replaced as a whole when the view or the
// configuration changes, so that requests read it with a single atomic load.
package bbrroute
