package bbrlink

import (
	"context"
	"net/netip"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
	"github.com/bluebellridge/bluebellridge/internal/peer/bbrpeerproto"
)

// Acknowledge returns a peer's acknowledgement of its view, and the revision of the
// configuration that is in force there. It fails after the timeout.
func (c *Client) Acknowledge(ctx context.Context, peer netip.AddrPort, timeout time.Duration) (bbrview.Ack, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := c.Peer(ctx, peer).Acknowledge(ctx, &bbrpeerproto.AcknowledgeRequest{})
	if err != nil {
		return bbrview.Ack{}, 0, err
	}
	return DecodeAck(answer), answer.GetRevision(), nil
}
