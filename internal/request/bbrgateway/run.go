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
	// reusedTimeoutFactor times the learned run time is how long an idle connection
	// may take to answer before its path is taken for silent.
	reusedTimeoutFactor = 8
	// minReusedTimeout is the shortest such time.
	minReusedTimeout = time.Second
)

// run performs attempts until one answers or the verdict is final. It returns
// the slots that it was given and takes.
func (g *Gateway) run(ctx context.Context, job *bbrjob.Job, queue *bbrroute.Queue, target *bbrroute.Target, deadline time.Time) *bbranswer.Answer {
	pool := queue.Pool
	idempotent := job.Idempotent(queue.Config)
	if !idempotent {
		// What has been sent cannot be taken back, so a caller that leaves
		// does not end it.
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

// classify returns how the attempt failed, or 0 where its answer is good.
func classify(reply *bbrconnection.Reply, err error) (bbrretry.Failure, string) {
	var failed *bbrconnection.AttemptError
	switch {
	case errors.As(err, &failed):
		return failed.Failure, failed.Cause.Error()
	case err != nil:
		return 0, err.Error()
	case reply.Status >= 500:
		return bbrretry.ServerError, ""
	default:
		return 0, ""
	}
}

// recordFailure records the failure. A silent reused connection speaks against its
// path and not against the instance: the path's other connections are closed.
func (g *Gateway) recordFailure(target *bbrroute.Target, failure bbrretry.Failure, now time.Time) {
	if failure == bbrretry.TimedOutReused {
		g.CloseIdle(target.Address)
		g.Metrics.Event("pathDropped")
		return
	}
	target.Health.RecordFailure(now)
}

// nextTarget takes a slot for another attempt, on another instance where there is
// one. A nil target means that the verdict is final.
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

// answerFrom returns the upstream's answer and gives the slot back, at once or
// when the rest of a long answer has been read.
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

func closeReply(reply *bbrconnection.Reply) {
	if reply != nil && reply.Rest != nil {
		_ = reply.Rest.Close()
	}
}

// refuseFenced answers a request that the entry may not send any more. An earlier
// attempt of an idempotent request may have run.
func (g *Gateway) refuseFenced(attempt int, idempotent bool) *bbranswer.Answer {
	if idempotent && attempt > 1 {
		return bbranswer.Refuse(bbrcode.UpstreamConnectionLost, "", "the entry lost its registration between two attempts")
	}
	return bbranswer.Refuse(bbrcode.Fenced, "", "")
}
