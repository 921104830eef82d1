package bbrlink

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"github.com/bluebellridge/bluebellridge/internal/peer/bbrpeerproto"
)

const (
	// maxMessageBytes is above the largest document and the largest answer
	// that entries pass on.
	maxMessageBytes = 20 << 20
	poolCapacity    = 256
	poolKeyCapacity = 16
	poolExpiration  = 30 * time.Second
)

// ErrUnreachable means that no connection to the peer could be made, so the peer
// has not seen the call.
var ErrUnreachable = errors.New("peer not reached")

// Client calls other entries.
type Client struct {
	DialTimeout time.Duration
	// Dial makes a connection; nil dials TCP.
	Dial func(ctx context.Context, peer netip.AddrPort) (net.Conn, error)

	pool *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
}

// NewClient returns a client that keeps connections to its peers.
func NewClient(dialTimeout time.Duration) *Client {
	return &Client{
		DialTimeout: dialTimeout,
		pool: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
			Expiration:  poolExpiration,
			Capacity:    poolCapacity,
			KeyCapacity: poolKeyCapacity,
		}),
	}
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

func (c *Client) dial(ctx context.Context, peer netip.AddrPort) (drpcpool.Conn, error) {
	conn, err := c.dialConn(ctx, peer)
	if err != nil {
		return nil, errors.Mark(err, ErrUnreachable)
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

func (c *Client) dialConn(ctx context.Context, peer netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.DialTimeout)
	defer cancel()
	if c.Dial != nil {
		return c.Dial(ctx, peer)
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", peer.String())
}

// Peer returns a caller over kept connections, for calls that may be repeated.
func (c *Client) Peer(ctx context.Context, peer netip.AddrPort) bbrpeerproto.DRPCPeerClient {
	return bbrpeerproto.NewDRPCPeerClient(c.pool.Get(ctx, peer, c.dial))
}

// CallOnce performs a call that must not be repeated, on a connection made just
// now. Only ErrUnreachable says that the peer has not seen it.
func (c *Client) CallOnce(ctx context.Context, peer netip.AddrPort, call func(bbrpeerproto.DRPCPeerClient) error) error {
	conn, err := c.dial(ctx, peer)
	if err != nil {
		return err
	}
	defer conn.Close()
	return call(bbrpeerproto.NewDRPCPeerClient(conn))
}

// Close ends all kept connections.
func (c *Client) Close() error { return c.pool.Close() }
