// Package bbrconnection sends requests to upstreams, one at a time per
// connection, and reads their complete responses. It uses the HTTP framing of
// net/http on connections of its own instead of http.Transport. To report
// truthfully whether a request may have run, it must know whether any byte was
// written, and no request may be retried implicitly.
package bbrconnection
