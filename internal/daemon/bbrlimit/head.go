package bbrlimit

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
)

// headScanner counts the lines of a request's head as it arrives, since the HTTP server
// bounds only its bytes: many short fields take many times their size in memory. The part
// of a head that arrives with the end of the preceding request is not counted. It is at
// most the server's buffer of 4 KB.
type headScanner struct {
	// max is the largest number of fields.
	max   int
	lines int
	// lineBytes is the number of bytes of the present line, without its end.
	lineBytes int
	// ended means that the head has ended: the rest belongs to the body.
	ended bool
}

// scan takes note of the next bytes. It returns false if there are too many lines.
func (h *headScanner) scan(p []byte) bool {
	for !h.ended {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			h.lineBytes += len(bytes.TrimRight(p, "\r"))
			return true
		}
		h.lineBytes += len(bytes.TrimRight(p[:i], "\r"))
		p = p[i+1:]
		// Empty lines before a request are not its end.
		h.ended = h.lineBytes == 0 && h.lines > 0
		if h.lineBytes > 0 {
			h.lines++
		}
		h.lineBytes = 0
		// The request line is no field.
		if h.lines > h.max+1 {
			return false
		}
	}
	return true
}

// next begins the head of the next request.
func (h *headScanner) next() { *h = headScanner{max: h.max} }

// refuseWriteTimeout bounds the time to write a refusal of a request's head.
const refuseWriteTimeout = time.Second

// refuseHead answers a request whose head has too many fields. The HTTP server closes the
// connection without another answer to it being read.
func (c *Conn) refuseHead() {
	c.listener.limits.metrics.Refusal(bbrcode.HeaderTooLarge)
	status, body := bbrcode.HeaderTooLarge.Info().Status, refusal(bbrcode.HeaderTooLarge).body()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refuseWriteTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), len(body), body)
	_ = c.CloseWrite()
}
