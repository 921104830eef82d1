package bbrowner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrledger"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
)

// starting carries out one start.
type starting struct {
	owner *Owner
	order bbrledger.StartOrder
}

func (s *starting) run(ctx context.Context) {
	o := s.owner
	clock, err := o.Orders.Start(ctx, s.order.Upstream, s.order.Start)
	o.Metrics.Event("start:" + reason(err))
	o.mu.Lock()
	o.ledger.Started(s.order, clock, err, time.Now())
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

// stopping carries out one stop.
type stopping struct {
	owner *Owner
	order bbrledger.StopOrder
}

func (s *stopping) run(ctx context.Context) {
	o := s.owner
	err := o.Orders.Stop(ctx, s.order.Upstream, s.order.Stop)
	o.Metrics.Event("stop:" + reason(err))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ledger.Stopped(s.order, err, time.Now())
}

// pacing carries out one pace.
type pacing struct {
	owner *Owner
	order bbrledger.PaceOrder
}

func (p *pacing) run(ctx context.Context) {
	o := p.owner
	err := o.Orders.Pace(ctx, p.order.Upstream, p.order.Pace)
	o.Metrics.Event("pace:" + reason(err))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ledger.Paced(p.order, err, time.Now())
}

// asking carries out one call to the advice service.
type asking struct {
	owner *Owner
	order bbrledger.AskOrder
}

func (a *asking) run(ctx context.Context) {
	o := a.owner
	sent := time.Now()
	tickets, valid, err := o.Advise(ctx, a.order.Step, a.order.Upstreams())
	o.Metrics.Event("advise:" + reason(err))
	o.mu.Lock()
	o.ledger.Advised(a.order, tickets, valid, err, sent, time.Now())
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
	case errors.Is(err, bbrorder.ErrOld):
		return "old"
	case errors.Is(err, bbrorder.ErrLate):
		return "late"
	case errors.Is(err, bbrorder.ErrNoRoom):
		return "noRoom"
	case errors.Is(err, bbrorder.ErrTicket):
		return "ticket"
	case errors.Is(err, bbrorder.ErrOtherLife):
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
