package bbrgateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/request/bbranswer"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrconnection"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrjob"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrretry"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrroute"
)

const (
	// reusedTimeoutFactor times the mean run time of a queue is the response
	// timeout on a connection that had been idle. After that the network path is
	// assumed to drop packets.
	reusedTimeoutFactor = 8
	// minReusedTimeout is the shortest response timeout on such a connection.
	minReusedTimeout = time.Second
)

// run attempts the request, starting on a slot of target that the caller has
// acquired, until an attempt succeeds or the request is not to be retried. It
// releases that slot and those that it acquires itself.
func (g *Gateway) run(ctx context.Context, job *bbrjob.Job, queue *bbrroute.Queue, target *bbrroute.Target, deadline time.Time) *bbranswer.Answer {
	pool := queue.Pool
	idempotent := job.Idempotent(queue.Config)
	if !idempotent {
		// A request that has been sent cannot be recalled, so it is not
		// cancelled when the caller disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	pool.RetryBudget.Deposit()
	for attempt := 1; ; attempt++ {
		startedAt := time.Now()
		reply, err := g.Exchange(ctx, g.newExchange(job, queue, target, idempotent, deadline, startedAt))
		now := time.Now()
		failure, cause := classify(reply, err)
		if errors.Is(err, bbrconnection.ErrMayNotSend) {
			pool.Release(target)
			return g.refuseFenced(attempt, idempotent)
		}
		if failure == 0 {
			target.Health.RecordSuccess()
			queue.State.RunTimes.Observe(now.Sub(startedAt))
			return g.answerFrom(pool, target, reply)
		}
		if ctx.Err() != nil {
			pool.Release(target)
			return bbranswer.Refuse(bbrcode.CallerLeft, target.ID, "")
		}
		g.recordFailure(target, failure, now)
		decision := bbrretry.Decide(bbrretry.Attempt{Number: attempt, Failure: failure, Idempotent: idempotent, Deadline: deadline}, pool.RetryBudget, now)
		next := g.nextTarget(pool, job, target, decision, now)
		if next == nil && reply != nil {
			return g.answerFrom(pool, target, reply)
		}
		pool.Release(target)
		if next == nil {
			answer := bbranswer.Refuse(decision.FinalCode, target.ID, cause)
			answer.Upstream = target.ID
			return answer
		}
		g.Metrics.Retry(failure.String())
		closeReply(reply)
		target = next
	}
}

// newExchange returns the exchange of an attempt that starts now.
func (g *Gateway) newExchange(job *bbrjob.Job, queue *bbrroute.Queue, target *bbrroute.Target, idempotent bool, deadline, now time.Time) bbrconnection.Exchange {
	timeout := max(minReusedTimeout, reusedTimeoutFactor*queue.State.RunTimes.Mean())
	return bbrconnection.Exchange{
		Address:          target.Address,
		Job:              job,
		NewConnection:    !idempotent,
		MaxBufferedBytes: queue.Config.AnswerBytes,
		RequireEcho:      queue.Config.RequireEcho,
		Deadline:         deadline,
		ReusedDeadline:   now.Add(timeout),
		MaySend:          g.State.MaySend,
	}
}

// classify returns how the attempt failed and why. The failure is 0 if the attempt
// succeeded, and for errors other than a *bbrconnection.AttemptError.
func classify(reply *bbrconnection.Reply, err error) (bbrretry.Failure, string) {
	var attemptErr *bbrconnection.AttemptError
	switch {
	case errors.As(err, &attemptErr):
		return attemptErr.Failure, attemptErr.Cause.Error()
	case err != nil:
		return 0, err.Error()
	case reply.Status >= 500:
		return bbrretry.ServerError, ""
	default:
		return 0, ""
	}
}

// recordFailure records the failure against the health of the instance. A
// time-out on a reused connection indicates a broken network path rather than a
// failing instance; it closes the other idle connections to the instance instead.
func (g *Gateway) recordFailure(target *bbrroute.Target, failure bbrretry.Failure, now time.Time) {
	if failure == bbrretry.TimedOutReused {
		g.CloseIdle(target.Address)
		g.Metrics.Event("pathDropped")
		return
	}
	target.Health.RecordFailure(now)
}

// nextTarget acquires a slot for another attempt, on another instance and rack if
// possible. It returns nil if there is to be no further attempt.
func (g *Gateway) nextTarget(pool *bbrroute.Pool, job *bbrjob.Job, failed *bbrroute.Target, decision bbrretry.Decision, now time.Time) *bbrroute.Target {
	if !decision.Retry {
		return nil
	}
	return pool.Acquire(bbrroute.Criteria{
		TieBreaker:    rand.Uint64(),
		Urgent:        true,
		AvoidInstance: failed.ID,
		AvoidRack:     failed.Rack,
	}, now)
}

// answerFrom returns the upstream's response as the answer. It releases the slot,
// at once or, for a streamed response, when the answer is closed.
func (g *Gateway) answerFrom(pool *bbrroute.Pool, target *bbrroute.Target, reply *bbrconnection.Reply) *bbranswer.Answer {
	answer := &bbranswer.Answer{
		Code:     bbrcode.Ran,
		Status:   reply.Status,
		Header:   reply.Header,
		Body:     reply.Body,
		Upstream: target.ID,
	}
	if reply.Rest == nil {
		pool.Release(target)
		return answer
	}
	answer.Rest = &slotReader{ReadCloser: reply.Rest, pool: pool, target: target}
	return answer
}

// closeReply closes the rest of a response that is not used. The response may be
// nil.
func closeReply(reply *bbrconnection.Reply) {
	if reply != nil && reply.Rest != nil {
		_ = reply.Rest.Close()
	}
}

// refuseFenced refuses a request that the entry may no longer send, because its
// registration is not confirmed. An earlier attempt of an idempotent request may
// have run, so that the refusal must not say that it did not.
func (g *Gateway) refuseFenced(attempt int, idempotent bool) *bbranswer.Answer {
	if idempotent && attempt > 1 {
		return bbranswer.Refuse(bbrcode.UpstreamConnectionLost, "", "the entry lost its registration between two attempts")
	}
	return bbranswer.Refuse(bbrcode.Fenced, "", "")
}
