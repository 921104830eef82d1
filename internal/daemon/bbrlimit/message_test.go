package bbrlimit

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
)

// TestMessagesOfPeersAreBounded guards against incomplete messages of other entries that
// are held beyond their budget, and against idle connections that count as messages.
func TestMessagesOfPeersAreBounded(t *testing.T) {
	settings := bbrsettings.Default()
	settings.Limits.BodyBytes, settings.Limits.MemoryMB, settings.Platform.Protocol = 1<<10, 16, bbrsettings.ProtocolFleet
	limits := New(settings, bbrmetric.New())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	peers := limits.Listener(Peers, listener)
	defer peers.Close()
	exchange := func(sent int, answer bool) error {
		client, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = client.Close() })
		conn, err := peers.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		go func() { _, _ = client.Write(make([]byte, sent)) }()
		if _, err = io.ReadFull(conn, make([]byte, sent)); err == nil && answer {
			_, err = conn.Write([]byte("answer"))
		}
		return err
	}
	for range 10 {
		require.NoError(t, exchange(1<<20, true))
	}
	require.Zero(t, limits.messages.held.Load())
	require.NoError(t, exchange(1<<20, false))
	require.ErrorIs(t, exchange(1<<20, false), errMessageBudget)
	require.NoError(t, exchange(freeMessageBytes, true))
}

// closingConn is a connection that is closed by another goroutine while bytes are read.
type closingConn struct {
	net.Conn
	close func()
}

func (c *closingConn) Read(p []byte) (int, error) {
	c.close()
	return len(p), nil
}

// TestClosedConnectionChargesNoMessage guards against a budget that leaks when a connection
// of another entry is closed between the read of its bytes and their charge.
func TestClosedConnectionChargesNoMessage(t *testing.T) {
	limits := New(bbrsettings.Default(), bbrmetric.New())
	inner, other := net.Pipe()
	defer other.Close()
	closing := &closingConn{Conn: inner}
	conn := newConn(closing, limits.Listener(Peers, nil))
	closing.close = func() { _ = conn.Close() }
	n, err := conn.Read(make([]byte, 1<<20))
	require.Zero(t, n)
	require.Zero(t, limits.messages.held.Load())
	require.ErrorIs(t, err, net.ErrClosed)
	require.Empty(t, limits.log.last, "the end of the connection is counted as a refusal")
}
