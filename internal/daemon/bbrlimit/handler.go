package bbrlimit

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
)

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// ConnContext is the ConnContext of an HTTP server with a Listener and the Handler.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// handler is the handler of all requests of a listener.
type handler struct {
	limits *Limits
	next   http.Handler
}

// ServeHTTP serves a request. One connection has one request in progress.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		h.next.ServeHTTP(w, r)
		return
	}
	conn.beginRequest()
	defer conn.finishRequest()
	next := h.next
	if fieldCount(r.Header) > h.limits.settings.Limits.HeaderFields {
		// The fields that arrived with the end of the preceding request were not counted.
		next = refusal(bbrcode.HeaderTooLarge)
		conn.count(reasonHeaderFields)
		h.limits.metrics.Refusal(bbrcode.HeaderTooLarge)
	}
	if r.ContentLength == 0 {
		next.ServeHTTP(w, r)
		return
	}
	// The server would read from the connection to skip a body that was not asked for.
	_ = conn.SetReadDeadline(past)
	body := &Body{source: r.Body, conn: conn, charge: charge{budget: h.limits.bodies}}
	r.Body = body
	defer body.finish(w)
	next.ServeHTTP(w, r)
}

// fieldCount returns how many fields a head has. A name can occur repeatedly.
func fieldCount(header http.Header) int {
	count := 0
	for _, values := range header {
		count += len(values)
	}
	return count
}

// refusal answers every request with a code, and closes its connection.
type refusal bbrcode.Code

// ServeHTTP answers a request.
func (c refusal) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(bbrcode.Code(c).Info().Status)
	_, _ = w.Write(c.body())
}

// body returns the body of the answer.
func (c refusal) body() []byte {
	info := bbrcode.Code(c).Info()
	return fmt.Appendf(nil, `{"code":%d,"name":%q,"detail":%q}`, info.Code, info.Name, info.Text)
}

// beginRequest begins the work on a request whose head was read.
func (c *Conn) beginRequest() {
	c.inHead.Store(false)
	c.busy.Store(true)
	c.response = response{}
}

// finishRequest begins to wait for the next request.
func (c *Conn) finishRequest() {
	c.busy.Store(false)
	c.head.next()
	c.inHead.Store(true)
}

func (c *Conn) count(reason string) { c.listener.limits.count(c.listener.kind, reason) }
