// Package bbrapi runs operators' commands and offers them over HTTP, apart from
// the callers' address and guarded by a token.
package bbrapi
