// Package bbrconnection sends one request at a time over a connection to an
// upstream and reads its whole answer. It uses the standard library's HTTP
// framing on connections of its own, because a caller can only be told the
// truth by code that knows whether a byte was written, and because nothing may
// be sent again behind its back.
package bbrconnection
