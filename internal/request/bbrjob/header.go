package bbrjob

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the fields that belong to one connection (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// endToEndHeader returns a copy of the header without the fields that belong to
// one connection.
func endToEndHeader(header http.Header) http.Header {
	kept := header.Clone()
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		kept.Del(name)
	}
	return kept
}

// EndToEndHeader is the same for an upstream's answer.
func EndToEndHeader(header http.Header) http.Header { return endToEndHeader(header) }
