package bbrgateway

import (
	"context"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/request/bbranswer"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrjob"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrroute"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrticket"
)

// selfHolder returns this process as a holder of keys.
func (g *Gateway) selfHolder() bbrticket.Holder {
	return bbrticket.Holder{Peer: g.State.Identity.Peer, Incarnation: g.State.Identity.Incarnation}
}

// IssueTicket returns a new ticket, a key that this process holds.
func (g *Gateway) IssueTicket(now time.Time) (string, error) {
	key := bbrticket.NewTicket(g.selfHolder(), g.lastTicket.Add(1))
	return key, g.Tickets.Register(key, now)
}

// serveKeyed runs a non-idempotent request that has a key at the key's holder.
func (g *Gateway) serveKeyed(ctx context.Context, job *bbrjob.Job, queue *bbrroute.Queue, now time.Time) *bbranswer.Answer {
	holder, err := bbrticket.ParseTicket(job.IdempotencyKey)
	if err != nil {
		holder, err = g.Claim(ctx, job.Queue, job.IdempotencyKey)
	}
	if err != nil {
		return bbranswer.FromError(err, bbrcode.ClaimUnavailable)
	}
	if holder == g.selfHolder() {
		return g.runAtMostOnce(ctx, job, queue, Source{}, now)
	}
	return g.ForwardToHolder(ctx, holder, job, job.Deadline(queue.Config, now))
}

// tableKey returns the name of the request's key in the table of keys. Tickets
// are unique by themselves, keys chosen by callers only within a queue.
func tableKey(job *bbrjob.Job) string {
	if _, err := bbrticket.ParseTicket(job.IdempotencyKey); err == nil {
		return job.IdempotencyKey
	}
	return bbrticket.ClaimKey(job.Queue, job.IdempotencyKey)
}

// runAtMostOnce runs a request whose key this process holds, unless the key has
// been run, or may have been.
func (g *Gateway) runAtMostOnce(ctx context.Context, job *bbrjob.Job, queue *bbrroute.Queue, source Source, now time.Time) *bbranswer.Answer {
	key := tableKey(job)
	if answer := g.Tickets.Begin(key, bbrticket.FingerprintOf(job), now); answer != nil {
		return answer
	}
	answer := g.admit(ctx, job, queue, source, now)
	g.Tickets.Finish(key, answer)
	return answer
}

// ServeForwarded answers a request that another entry forwarded. For a request
// forwarded to the holder of its key, holderIncarnation is the holder's
// incarnation according to the sender; otherwise it is empty. With mayWait, the
// request may be queued.
func (g *Gateway) ServeForwarded(ctx context.Context, job *bbrjob.Job, holderIncarnation string, mayWait bool, now time.Time) *bbranswer.Answer {
	if code := g.enter(); code != 0 {
		return bbranswer.Refuse(code, "", "")
	}
	defer g.leave()
	queue, refusal := g.queueOf(job)
	if refusal != nil {
		return refusal
	}
	source := Source{Forwarded: true, MayWait: mayWait}
	if holderIncarnation == "" {
		return g.refuseStreamed(g.admit(ctx, job, queue, source, now))
	}
	if holderIncarnation != g.State.Identity.Incarnation {
		return bbranswer.Refuse(bbrcode.HolderGone, job.IdempotencyKey, "another process runs at the holder's address")
	}
	return g.refuseStreamed(g.runAtMostOnce(ctx, job, queue, source, now))
}

// refuseStreamed replaces an answer that is too long to be sent between entries
// by a refusal, and returns any other answer unchanged.
func (g *Gateway) refuseStreamed(answer *bbranswer.Answer) *bbranswer.Answer {
	if answer.Rest == nil {
		return answer
	}
	answer.Close()
	tooLarge := bbranswer.Refuse(bbrcode.AnswerTooLarge, "", "")
	tooLarge.Upstream = answer.Upstream
	return tooLarge
}
