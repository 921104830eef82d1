package bbrowner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
)

// startTask sends one start order.
type startTask struct {
	owner *Owner
	order bbrscheduler.StartOrder
}

func (t *startTask) run(ctx context.Context) {
	o := t.owner
	clock, err := t.send(ctx)
	o.Metrics.Event("start:" + outcomeName(err))
	o.mu.Lock()
	o.scheduler.ApplyStartResult(t.order, clock, err, time.Now())
	renewer := o.renewers[t.order.Upstream.ID]
	replaced := errors.Is(err, bbrorder.ErrFenced) && o.scheduler.IsReplaced(t.order.Upstream.ID, t.order.Start.Token)
	o.mu.Unlock()
	if renewer != nil {
		signal(renewer.wake)
	}
	if err != nil {
		o.requestPlan()
	}
	if replaced {
		o.stopReplaced("an upstream knows a higher token")
	}
}

// send sends the start once it has a slot, if the owner's claim is confirmed then. The process may
// have been paused since it planned the start, and an upstream that has restarted meanwhile would
// not refuse it for its fencing token.
func (t *startTask) send(ctx context.Context) (time.Duration, error) {
	if !t.owner.StartSlots.acquire(ctx) {
		return 0, bbrorder.ErrTooManyStarts
	}
	defer t.owner.StartSlots.release()
	if !t.owner.Confirmed(time.Now()) {
		return 0, bbrorder.ErrUnconfirmed
	}
	return t.owner.Client.Start(ctx, t.order.Upstream, t.order.Start)
}

// orderTask sends one order whose only result is an error.
type orderTask struct {
	owner *Owner
	// kind is the order's name in the metrics.
	kind string
	send func(ctx context.Context) error
	// apply passes the result to the scheduler.
	apply func(err error, now time.Time)
}

func (t *orderTask) run(ctx context.Context) {
	err := t.send(ctx)
	t.owner.Metrics.Event(t.kind + ":" + outcomeName(err))
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	t.apply(err, time.Now())
}

func (o *Owner) newStopTask(order bbrscheduler.StopOrder) *orderTask {
	return &orderTask{
		owner: o,
		kind:  "stop",
		send:  func(ctx context.Context) error { return o.Client.Stop(ctx, order.Upstream, order.Stop) },
		apply: func(err error, now time.Time) { o.scheduler.ApplyStopResult(order, err, now) },
	}
}

func (o *Owner) newPaceTask(order bbrscheduler.PaceOrder) *orderTask {
	return &orderTask{
		owner: o,
		kind:  "pace",
		send:  func(ctx context.Context) error { return o.Client.Pace(ctx, order.Upstream, order.Pace) },
		apply: func(err error, now time.Time) { o.scheduler.ApplyPaceResult(order, err, now) },
	}
}

// adviceTask makes one call to the advice service.
type adviceTask struct {
	owner   *Owner
	request bbrscheduler.AdviceRequest
}

func (t *adviceTask) run(ctx context.Context) {
	o := t.owner
	sentAt := time.Now()
	tickets, ttl, err := o.Advise(ctx, t.request.Step, t.request.Upstreams())
	o.Metrics.Event("advise:" + outcomeName(err))
	o.mu.Lock()
	o.scheduler.ApplyAdvice(t.request, tickets, ttl, err, sentAt, time.Now())
	o.mu.Unlock()
	o.requestPlan()
}

// outcomeName returns the name of an order's outcome in the metrics.
func outcomeName(err error) string {
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
	case errors.Is(err, bbrorder.ErrUnconfirmed):
		return "unconfirmed"
	case errors.Is(err, bbrorder.ErrTooManyStarts):
		return "tooMany"
	case errors.Is(err, bbrorder.ErrInvalid):
		return "invalid"
	default:
		return "lost"
	}
}
