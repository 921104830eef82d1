package bbrjob

import (
	"net/http"
	"strings"
)

// hopHeaders are the fields that belong to one connection (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// forwardable returns a copy of the header without the fields that belong to
// one connection.
func forwardable(header http.Header) http.Header {
	copied := header.Clone()
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		copied.Del(name)
	}
	return copied
}

// EndToEndHeader is the same for an upstream's answer.
func EndToEndHeader(header http.Header) http.Header { return forwardable(header) }
