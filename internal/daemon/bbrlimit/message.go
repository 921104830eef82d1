package bbrlimit

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
)

// freeMessageBytes are the bytes of a message that are not charged. Connections without a
// call in progress are below it and have no read deadline.
const freeMessageBytes = 4 << 10

// message is what was read on a connection of another entry since the last response.
type message struct {
	mu     sync.Mutex
	bytes  int64
	charge charge
	// closed means that nothing is charged any more, since the connection is closed.
	closed bool
}

// add charges n bytes more. It fails if they exceed the budget, or with net.ErrClosed if
// the connection is closed.
func (m *message) add(n int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return net.ErrClosed
	}
	before := max(0, m.bytes-freeMessageBytes)
	m.bytes += int64(n)
	if !m.charge.add(max(0, m.bytes-freeMessageBytes) - before) {
		return errMessageBudget
	}
	return nil
}

func (m *message) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bytes = 0
	m.charge.release()
}

// close releases the message for good. A read may still be under way.
func (m *message) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.charge.release()
}

func (m *message) incomplete() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bytes > freeMessageBytes
}

var errMessageBudget = errors.New("too many bytes of messages in flight")

// writeMessage writes on a connection of another entry. That is the answer to what was
// read before.
func (c *Conn) writeMessage(p []byte) (int, error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(c.listener.limits.settings.Timing.Write))
	n, err := c.Conn.Write(p)
	c.progress.Store(time.Now().UnixNano())
	c.busy.Store(false)
	c.message.release()
	return n, err
}

// readMessage reads on a connection of another entry.
func (c *Conn) readMessage(p []byte) (int, error) {
	settings := &c.listener.limits.settings
	if settings.Platform.Protocol == bbrsettings.ProtocolFleet {
		// Entries of that protocol answer each call at once. With the other one, a complete
		// message is followed by silence while a forwarded request runs.
		deadline := time.Time{}
		if c.message.incomplete() {
			deadline = time.Now().Add(settings.Timing.Stall)
		}
		_ = c.Conn.SetReadDeadline(deadline)
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.progress.Store(time.Now().UnixNano())
	c.busy.Store(true)
	if addErr := c.message.add(n); addErr != nil {
		if errors.Is(addErr, errMessageBudget) {
			c.count(reasonBudget)
		}
		return 0, addErr
	}
	return n, err
}
