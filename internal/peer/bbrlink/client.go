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
	// maxMessageBytes is more than the largest document or answer that entries
	// send to each other.
	maxMessageBytes = 20 << 20
	poolCapacity    = 256
	poolKeyCapacity = 16
	poolExpiration  = 30 * time.Second
)

// ErrUnreachable means that no connection to the peer could be made, so the peer has
// not received the call.
var ErrUnreachable = errors.New("cannot connect to peer")

// Client calls other entries.
type Client struct {
	DialTimeout time.Duration
	// Dial makes a connection; nil dials TCP.
	Dial func(ctx context.Context, peer netip.AddrPort) (net.Conn, error)

	pool *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
}

// NewClient returns a client that reuses connections to its peers.
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

// managerOptions returns the options of connections, for client and server.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// dial returns a new connection to a peer. Its error is marked as ErrUnreachable.
func (c *Client) dial(ctx context.Context, peer netip.AddrPort) (drpcpool.Conn, error) {
	conn, err := c.dialConn(ctx, peer)
	if err != nil {
		return nil, errors.Mark(err, ErrUnreachable)
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

// dialConn returns a new network connection to a peer.
func (c *Client) dialConn(ctx context.Context, peer netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.DialTimeout)
	defer cancel()
	if c.Dial != nil {
		return c.Dial(ctx, peer)
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", peer.String())
}

// Peer returns a stub that reuses connections, for calls that may be repeated.
func (c *Client) Peer(ctx context.Context, peer netip.AddrPort) bbrpeerproto.DRPCPeerClient {
	return bbrpeerproto.NewDRPCPeerClient(c.pool.Get(ctx, peer, c.dial))
}

// CallOnce makes a call that must not be repeated, over a new connection. Only if the
// error is ErrUnreachable, the peer has not received the call.
func (c *Client) CallOnce(ctx context.Context, peer netip.AddrPort, call func(bbrpeerproto.DRPCPeerClient) error) error {
	conn, err := c.dial(ctx, peer)
	if err != nil {
		return err
	}
	defer conn.Close()
	return call(bbrpeerproto.NewDRPCPeerClient(conn))
}

// Close closes the reused connections.
func (c *Client) Close() error { return c.pool.Close() }
