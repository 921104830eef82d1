package bbrrelay

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLinkPassesBytesAtItsRate guards against connections that each get the whole rate of
// their link, and against a direction that slows the other one down.
func TestLinkPassesBytesAtItsRate(t *testing.T) {
	now := time.Now()
	link := &Link{}
	require.Zero(t, link.accept(1000, true, now))
	link.SetRate(1000)
	require.Equal(t, time.Second, link.accept(1000, true, now))
	require.Equal(t, 1500*time.Millisecond, link.accept(500, true, now))
	require.Equal(t, 100*time.Millisecond, link.accept(100, false, now))
	// What has passed is no debt, and an idle link saves nothing up.
	require.Equal(t, 100*time.Millisecond, link.accept(100, true, now.Add(time.Minute)))
}

// TestRelayForwardsAtRateOfItsLink guards against a relay that forwards a response before
// its link could have passed it.
func TestRelayForwardsAtRateOfItsLink(t *testing.T) {
	const size, rate = 40 << 10, 200 << 10
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &testServer{listener: target, data: make([]byte, size)}
	go server.run()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = target.Close(), listener.Close() })
	link := &Link{}
	link.SetRate(rate)
	relay := &Relay{Target: netip.MustParseAddrPort(target.Addr().String()), Link: link}
	go relay.Run(listener)

	start := time.Now()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	received, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Len(t, received, size)
	require.GreaterOrEqual(t, time.Since(start), size*time.Second/rate)
}

// testServer sends data on each connection and closes it.
type testServer struct {
	listener net.Listener
	data     []byte
}

func (s *testServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Write(s.data)
		_ = conn.Close()
	}
}
