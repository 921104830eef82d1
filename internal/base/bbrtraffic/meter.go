package bbrtraffic

import (
	"context"
	"net"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
)

// Channel is the purpose of a control connection.
type Channel string

// Channels of control traffic.
const (
	Platform Channel = "platform"
	Peer     Channel = "peer"
)

// Meter counts the bytes of one channel.
type Meter struct {
	read, written prometheus.Counter
}

// New returns a meter of the channel.
func New(metrics *bbrmetric.Set, channel Channel) *Meter {
	return &Meter{
		read:    metrics.ControlBytes(string(channel), "in"),
		written: metrics.ControlBytes(string(channel), "out"),
	}
}

// Dial opens a connection whose bytes are counted.
func (m *Meter) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return m.WrapConn(conn), nil
}

// WrapConn returns a connection that counts its bytes.
func (m *Meter) WrapConn(conn net.Conn) net.Conn { return &meteredConn{Conn: conn, meter: m} }

// WrapListener returns a listener that counts the bytes of the connections that it
// accepts.
func (m *Meter) WrapListener(listener net.Listener) net.Listener {
	return &meteredListener{Listener: listener, meter: m}
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c *meteredConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.meter.read.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.meter.written.Add(float64(n))
	return n, err
}

type meteredListener struct {
	net.Listener
	meter *Meter
}

// Accept implements net.Listener.
func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.WrapConn(conn), nil
}
