// Package bbrroute chooses the instance for a request. A table is immutable
// and is replaced whole when the view or the configuration changes; requests
// read it by one atomic load.
package bbrroute
