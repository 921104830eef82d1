// Package bbranswer is what a caller is told: the upstream's whole answer, or
// a problem document (RFC 9457) with a numbered code. Every answer says whether
// the work ran, did not run, or that this is unknown.
package bbranswer
