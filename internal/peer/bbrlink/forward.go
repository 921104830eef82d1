package bbrlink

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/peer/bbrpeerproto"
	"github.com/bluebellridge/bluebellridge/internal/request/bbranswer"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrjob"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrticket"
)

// Forward sends a request to another entry, over a new connection, so that a refused
// connection proves that the request did not run. With mayWait, the other entry may
// queue the request.
func (c *Client) Forward(ctx context.Context, peer netip.AddrPort, job *bbrjob.Job, deadline time.Time, mayWait bool) *bbranswer.Answer {
	message := EncodeJob(job, time.Until(deadline))
	message.MayWait = mayWait
	answer, err := c.send(ctx, peer, message, deadline)
	switch {
	case err == nil:
		return answer
	case errors.Is(err, ErrUnreachable):
		return bbranswer.Refuse(bbrcode.PeerUnreachable, peer.String(), err.Error())
	default:
		return bbranswer.Refuse(bbrcode.PeerLost, peer.String(), err.Error())
	}
}

// ForwardToHolder sends a request to the entry that holds its idempotency key. A
// refused connection proves that this attempt did not run; an earlier attempt may
// have run.
func (c *Client) ForwardToHolder(ctx context.Context, holder bbrticket.Holder, job *bbrjob.Job, deadline time.Time) *bbranswer.Answer {
	message := EncodeJob(job, time.Until(deadline))
	message.HolderIncarnation = holder.Incarnation
	message.MayWait = true
	answer, err := c.send(ctx, holder.Peer, message, deadline)
	switch {
	case err == nil:
		return answer
	case errors.Is(err, ErrUnreachable):
		return bbranswer.Refuse(bbrcode.HolderUnreachable, holder.Peer.String(), err.Error())
	default:
		return bbranswer.Refuse(bbrcode.PeerLost, holder.Peer.String(), err.Error())
	}
}

// responseGracePeriod is how long after the request's deadline a response is awaited,
// so that the other entry's own answer at the deadline still arrives.
const responseGracePeriod = 500 * time.Millisecond

// send forwards a request and returns the other entry's answer.
func (c *Client) send(ctx context.Context, peer netip.AddrPort, message *bbrpeerproto.ForwardRequest, deadline time.Time) (*bbranswer.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(responseGracePeriod))
	defer cancel()
	var answer *bbranswer.Answer
	err := c.CallOnce(ctx, peer, func(client bbrpeerproto.DRPCPeerClient) error {
		response, err := client.Forward(ctx, message)
		if err == nil {
			answer = DecodeAnswer(response)
		}
		return err
	})
	return answer, err
}
