package bbrmaintenance

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrlog"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

// sendOrders starts a call for each order whose instance has none in flight.
func (controller *Controller) sendOrders(ctx context.Context, orders []Order) {
	for _, order := range orders {
		controller.mu.Lock()
		inFlight := controller.inFlight[order.Instance]
		controller.inFlight[order.Instance] = true
		controller.mu.Unlock()
		if inFlight {
			continue
		}
		call := &orderCall{controller: controller, order: order}
		controller.wg.Go(func() { call.run(ctx) })
	}
}

// orderCall is one call to the platform with an order.
type orderCall struct {
	controller *Controller
	order      Order
}

// run makes the call and passes its outcome to the planner.
func (call *orderCall) run(ctx context.Context) {
	controller := call.controller
	leader := bbrmachine.Leader{Entry: controller.Entry, Token: int64(controller.Held.Token)}
	var err error
	if call.order.Wave != 0 {
		err = controller.Fleet.Maintain(ctx, leader, call.order.Instance, call.order.Wave)
	} else {
		err = controller.Fleet.Move(ctx, leader, call.order.Instance, call.order.Pool)
	}
	klog.InfoS("Instance order answered", "instance", call.order.Instance, "wave", call.order.Wave, "pool", call.order.Pool, "token", controller.Held.Token, "outcome", bbrlog.ErrorText(err))
	controller.Metrics.Event("instance:" + bbrlog.ErrorText(errors.UnwrapAll(err)))
	controller.mu.Lock()
	defer controller.mu.Unlock()
	delete(controller.inFlight, call.order.Instance)
	controller.intents.noteInFlight(call.order.Instance, time.Now())
	controller.planner.RecordOutcome(call.order, outcomeOf(call.order, err), time.Now())
}

// outcomeOf returns the outcome that the error of a call with the order stands for. The platform
// may not know an instance for a moment, as while its upstream restarts. Its maintenance is then
// ordered again, until the list shows that the instance is gone.
func outcomeOf(order Order, err error) Outcome {
	switch {
	case err == nil:
		return OutcomeDone
	case errors.Is(err, bbrmachine.ErrBusy), errors.Is(err, bbrmachine.ErrInvalid) && order.Wave != 0:
		return OutcomeBusy
	case errors.Is(err, bbrmachine.ErrNotInWave), errors.Is(err, bbrmachine.ErrInvalid):
		return OutcomeRejected
	default:
		return OutcomeUnknown
	}
}
