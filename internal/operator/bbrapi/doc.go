// Package bbrapi executes operator commands and serves them over HTTP. The API
// listens on its own address, separate from that of callers, and requires a bearer
// token.
package bbrapi
