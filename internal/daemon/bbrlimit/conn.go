package bbrlimit

import (
	"crypto/tls"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	listener *Listener
	// busy is set while the process works on a request, and unset while it waits for the
	// client.
	busy atomic.Bool
	// progress is the time, in nanoseconds since 1970, at which bytes were last read or
	// written.
	progress atomic.Int64
	close    sync.Once
	closeErr error

	// inHead is set while the head of a request is awaited or read. head counts its fields;
	// it is changed only by the goroutine that reads, and between requests.
	inHead   atomic.Bool
	head     headScanner
	response response
	message  message
}

func newConn(conn net.Conn, listener *Listener) *Conn {
	c := &Conn{Conn: conn, listener: listener}
	c.head.max = listener.limits.settings.Limits.HeaderFields
	c.message.charge.budget = listener.limits.messages
	c.progress.Store(time.Now().UnixNano())
	c.inHead.Store(true)
	return c
}

// Close also makes room for another connection, and releases the charge of a message. It
// can be called again, and while another goroutine reads.
func (c *Conn) Close() error {
	c.close.Do(func() {
		c.closeErr = c.Conn.Close()
		c.listener.remove(c)
		c.message.close()
	})
	return c.closeErr
}

// abort closes the connection for another one. It does not wait for the client.
func (c *Conn) abort() {
	if encrypted, ok := c.Conn.(*tls.Conn); ok {
		_ = encrypted.NetConn().Close()
	}
	_ = c.Close()
}

// CloseWrite ends the connection's outgoing direction, if it can.
func (c *Conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// errHeaderFields means that the head of a request has too many fields.
var errHeaderFields = errors.New("too many header fields")

// Read reads from the client, and fails if that exceeds a limit.
func (c *Conn) Read(p []byte) (int, error) {
	if c.listener.kind == Peers {
		return c.readMessage(p)
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.progress.Store(time.Now().UnixNano())
	if c.inHead.Load() && !c.head.scan(p[:n]) {
		c.listener.limits.count(c.listener.kind, reasonHeaderFields)
		c.refuseHead()
		return 0, errHeaderFields
	}
	return n, err
}

// Write writes to the client.
func (c *Conn) Write(p []byte) (int, error) {
	if c.listener.kind == Peers {
		return c.writeMessage(p)
	}
	wasBusy := c.busy.Swap(false)
	defer c.busy.Store(wasBusy)
	if deadline, ok := c.response.deadline(time.Now(), c.listener.limits); ok {
		_ = c.Conn.SetWriteDeadline(deadline)
	}
	n, err := c.Conn.Write(p)
	c.response.written += int64(n)
	if n > 0 {
		c.progress.Store(time.Now().UnixNano())
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.listener.limits.count(c.listener.kind, reasonSlowReader)
	}
	return n, err
}

// SetWriteDeadline sets the deadline of the present response, instead of that of the
// limits. The HTTP server sets the zero time after each response.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.response = response{ownDeadline: !t.IsZero()}
	return c.Conn.SetWriteDeadline(t)
}

// response is what was written of the response to a request.
type response struct {
	start   time.Time
	written int64
	// ownDeadline means that the request's handler has set a deadline.
	ownDeadline bool
}

// deadline returns when the client has to have read what is written, and false if the
// handler has set a deadline.
func (r *response) deadline(now time.Time, limits *Limits) (time.Time, bool) {
	if r.ownDeadline {
		return time.Time{}, false
	}
	if r.start.IsZero() {
		r.start = now
	}
	return r.start.Add(limits.settings.Timing.Write + limits.transferTime(r.written)), true
}

// transferTime returns how long n bytes take at the minimum transfer rate.
func (l *Limits) transferTime(n int64) time.Duration {
	return time.Duration(float64(n) / float64(l.settings.Limits.MinTransferRate) * float64(time.Second))
}
