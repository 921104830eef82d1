package bbrconnection

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"
)

// connection is a TCP connection to an upstream, used by one request at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// written counts the bytes of the present request that were passed to the
	// kernel.
	written int64
	// reused is set from the second request on.
	reused bool
	// idleSince is when the connection was last returned to the pool.
	idleSince time.Time
}

func dial(ctx context.Context, address netip.AddrPort, timeout time.Duration) (*connection, error) {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Write implements io.Writer and counts the bytes written.
func (c *connection) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written += int64(n)
	return n, err
}

// clean reports whether an idle connection is still open and has no unread bytes.
// Unsolicited bytes would be taken for the response to the next request.
func (c *connection) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}
