package bbrowner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
)

// starting carries out one start.
type starting struct {
	owner *Owner
	order bbrscheduler.StartOrder
}

func (s *starting) run(ctx context.Context) {
	o := s.owner
	clock, err := o.Client.Start(ctx, s.order.Upstream, s.order.Start)
	o.Metrics.Event("start:" + reason(err))
	o.mu.Lock()
	o.ledger.ApplyStartResult(s.order, clock, err, time.Now())
	h := o.holders[s.order.Upstream.ID]
	o.mu.Unlock()
	if h != nil {
		signal(h.wake)
	}
	if err != nil {
		o.poke()
	}
	if errors.Is(err, bbrorder.ErrFenced) {
		o.lost("an upstream knows a higher token")
	}
}

// sending carries out one order whose answer brings only an error.
type sending struct {
	owner *Owner
	// kind names the order for the counters.
	kind string
	send func(ctx context.Context) error
	// apply tells the ledger of the outcome.
	apply func(err error, now time.Time)
}

func (s *sending) run(ctx context.Context) {
	err := s.send(ctx)
	s.owner.Metrics.Event(s.kind + ":" + reason(err))
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.apply(err, time.Now())
}

func (o *Owner) stop(order bbrscheduler.StopOrder) *sending {
	return &sending{
		owner: o,
		kind:  "stop",
		send:  func(ctx context.Context) error { return o.Client.Stop(ctx, order.Upstream, order.Stop) },
		apply: func(err error, now time.Time) { o.ledger.ApplyStopResult(order, err, now) },
	}
}

func (o *Owner) pace(order bbrscheduler.PaceOrder) *sending {
	return &sending{
		owner: o,
		kind:  "pace",
		send:  func(ctx context.Context) error { return o.Client.Pace(ctx, order.Upstream, order.Pace) },
		apply: func(err error, now time.Time) { o.ledger.ApplyPaceResult(order, err, now) },
	}
}

// asking carries out one call to the advice service.
type asking struct {
	owner *Owner
	order bbrscheduler.AdviceRequest
}

func (a *asking) run(ctx context.Context) {
	o := a.owner
	sent := time.Now()
	tickets, valid, err := o.Advise(ctx, a.order.Step, a.order.Upstreams())
	o.Metrics.Event("advise:" + reason(err))
	o.mu.Lock()
	o.ledger.ApplyAdvice(a.order, tickets, valid, err, sent, time.Now())
	o.mu.Unlock()
	o.poke()
}

// reason names the outcome of an order for the counters.
func reason(err error) string {
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, bbrorder.ErrFenced):
		return "fenced"
	case errors.Is(err, bbrorder.ErrStaleRun):
		return "old"
	case errors.Is(err, bbrorder.ErrExpired):
		return "late"
	case errors.Is(err, bbrorder.ErrNoCapacity):
		return "noRoom"
	case errors.Is(err, bbrorder.ErrTicketRejected):
		return "ticket"
	case errors.Is(err, bbrorder.ErrOtherIncarnation):
		return "otherLife"
	case errors.Is(err, bbrorder.ErrUnhealthy):
		return "unhealthy"
	case errors.Is(err, bbrorder.ErrNotSent):
		return "notSent"
	case errors.Is(err, bbrorder.ErrInvalid):
		return "invalid"
	default:
		return "lost"
	}
}
