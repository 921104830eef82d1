package bbrjob

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the header fields that apply to a single connection (RFC
// 9110, section 7.6.1), and those that are set anew for each connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// endToEndHeader returns a copy of the header without the hop-by-hop fields and
// those that its Connection fields name.
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

// EndToEndHeader returns the fields of an upstream's response header that are
// forwarded to the caller: those that are not hop-by-hop.
func EndToEndHeader(header http.Header) http.Header { return endToEndHeader(header) }
