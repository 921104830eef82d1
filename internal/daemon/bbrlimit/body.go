package bbrlimit

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// Body is the body of a request. What is read of it is charged to the budget until the
// request has been served. Nothing is read from the connection unless the handler reads.
type Body struct {
	source io.ReadCloser
	conn   *Conn
	charge charge
	// begin is when the first byte was asked for, and end the time by which the body has
	// to be complete.
	begin, end time.Time
	received   int64
	// complete means that the whole body was read.
	complete bool
	err      error
}

// Read reads from the client within the limits.
func (b *Body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	_ = b.conn.SetReadDeadline(b.deadline(time.Now()))
	b.conn.busy.Store(false)
	n, err := b.source.Read(p)
	b.conn.busy.Store(true)
	b.received += int64(n)
	switch {
	case errors.Is(err, io.EOF):
		// A deadline would end the watch for a client that disconnects.
		b.complete = true
		_ = b.conn.SetReadDeadline(time.Time{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.conn.count(reasonSlowBody)
	}
	if !b.charge.add(int64(n)) {
		return 0, b.refuse()
	}
	b.err = err
	return n, err
}

// Close closes the source. The charge is kept until the request has been served.
func (b *Body) Close() error { return b.source.Close() }

// deadline returns the time until which the next bytes are awaited.
func (b *Body) deadline(now time.Time) time.Time {
	settings := &b.conn.listener.limits.settings
	if b.begin.IsZero() {
		b.begin = now
		if limit := now.Add(settings.Timing.ReadBody); b.end.IsZero() || limit.Before(b.end) {
			b.end = limit
		}
	}
	deadline := earlier(b.end, now.Add(settings.Timing.Stall))
	return earlier(deadline, b.begin.Add(settings.Timing.Stall+b.conn.listener.limits.transferTime(b.received)))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// refuse makes the budget's exhaustion the result of all further reads.
func (b *Body) refuse() error {
	b.conn.count(reasonBudget)
	b.complete = false
	b.err = bbrcode.Errorf(bbrcode.TooManyBytes, "body", "")
	return b.err
}

// finish releases the body once the request has been served. The rest of a body that was
// not read completely is not read, and the connection will be closed.
func (b *Body) finish(w http.ResponseWriter) {
	b.charge.release()
	if b.complete {
		return
	}
	_ = b.conn.SetReadDeadline(past)
	closeAfterAnswer(w)
	if b.err == nil {
		b.conn.count(reasonUnread)
	}
}

// closeAfterAnswer makes the HTTP server close the connection after the answer, with a
// short delay in which the client can read the answer. The server does that after reading
// more than a limit of 0 bytes.
func closeAfterAnswer(w http.ResponseWriter) {
	_, _ = http.MaxBytesReader(w, oneByte{}, 0).Read(make([]byte, 1))
}

// oneByte is a body that has another byte.
type oneByte struct{}

func (oneByte) Read(p []byte) (int, error) { return copy(p, " "), nil }
func (oneByte) Close() error               { return nil }

// SetDeadline sets the time by which the request's body has to be complete, if it is
// earlier than that of the limits.
func SetDeadline(r *http.Request, deadline time.Time) {
	if body, ok := r.Body.(*Body); ok {
		body.end = deadline
	}
}

// Charge charges n bytes more for the request, until it has been served. It returns an
// error, and the connection will be closed, if they exceed the budget.
func Charge(r *http.Request, n int64) error {
	body, ok := r.Body.(*Body)
	if !ok || body.charge.add(n) {
		return nil
	}
	return body.refuse()
}
