package bbrconnection

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"
)

// connection is one TCP connection to an upstream. Only one request uses it
// at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// written counts the bytes that were handed to the kernel since the last
	// request began.
	written int64
	// reused is true from the second request on.
	reused bool
	// idleSince is set while the connection is in the pool.
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

// Write implements io.Writer and counts.
func (c *connection) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written += int64(n)
	return n, err
}

// clean reports whether an idle connection is still open with nothing unread.
// Bytes that nobody asked for would be taken for the next request's answer.
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
