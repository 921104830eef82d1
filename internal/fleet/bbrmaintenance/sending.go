package bbrmaintenance

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrlog"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

// send makes the calls that are not on their way already.
func (k *Controller) send(ctx context.Context, orders []Order) {
	for _, order := range orders {
		k.mu.Lock()
		busy := k.ordering[order.Instance]
		k.ordering[order.Instance] = true
		k.mu.Unlock()
		if busy {
			continue
		}
		s := &sending{keeper: k, order: order}
		k.wg.Go(func() { s.run(ctx) })
	}
}

// sending is one call to the platform.
type sending struct {
	keeper *Controller
	order  Order
}

func (s *sending) run(ctx context.Context) {
	k := s.keeper
	holder := bbrmachine.Leader{Entry: k.Entry, Token: int64(k.Held.Token)}
	var err error
	if s.order.Wave != 0 {
		err = k.Fleet.Maintain(ctx, holder, s.order.Instance, s.order.Wave)
	} else {
		err = k.Fleet.Move(ctx, holder, s.order.Instance, s.order.Pool)
	}
	klog.InfoS("Instance ordered", "instance", s.order.Instance, "wave", s.order.Wave, "pool", s.order.Pool, "token", k.Held.Token, "outcome", bbrlog.Reason(err))
	k.Metrics.Event("instance:" + bbrlog.Reason(errors.UnwrapAll(err)))
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.ordering, s.order.Instance)
	k.intents.answered(s.order.Instance, time.Now())
	k.planner.RecordOutcome(s.order, outcome(err), time.Now())
}

func outcome(err error) Outcome {
	switch {
	case err == nil:
		return OutcomeDone
	case errors.Is(err, bbrmachine.ErrBusy):
		return OutcomeBusy
	case errors.Is(err, bbrmachine.ErrNotInWave), errors.Is(err, bbrmachine.ErrInvalid):
		return OutcomeRejected
	default:
		return OutcomeUnknown
	}
}
