// Package bbranswer defines the answers to callers: either the complete response
// of the upstream, or a problem document (RFC 9457) with a numeric code. Every
// answer says whether the request ran, did not run, or whether this is unknown.
package bbranswer
