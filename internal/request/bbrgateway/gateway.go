package bbrgateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrentry"
	"github.com/bluebellridge/bluebellridge/internal/request/bbradmission"
	"github.com/bluebellridge/bluebellridge/internal/request/bbranswer"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrconnection"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrjob"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrqueue"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrroute"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrticket"
)

// Gateway serves requests. Its function fields call upstreams, other entries and
// the platform.
type Gateway struct {
	State   *bbrentry.State
	Metrics *bbrmetric.Set
	Tickets *bbrticket.Table
	// MaxBodyBytes bounds the body of a request, and MaxInProgress the number
	// of requests in progress.
	MaxBodyBytes  int64
	MaxInProgress int64
	// ReadTimeout bounds the time to read a request's body, and WriteTimeout
	// the time to write an answer. Both must be above 0.
	ReadTimeout  time.Duration
	WriteTimeout time.Duration

	// Exchange sends a request to an upstream and reads the response.
	Exchange func(ctx context.Context, x bbrconnection.Exchange) (*bbrconnection.Reply, error)
	// CloseIdle closes the idle connections to an upstream.
	CloseIdle func(address netip.AddrPort)
	// FindPeer returns another entry that may have a free slot of the pool.
	// With mayWait, an entry that has any slots of the pool, free or not,
	// qualifies.
	FindPeer func(pool string, mayWait bool) (netip.AddrPort, bool)
	// ReportRefusal records that a peer had no free slot of the pool.
	ReportRefusal func(peer netip.AddrPort, pool string)
	// Forward sends the request to another entry. With mayWait, that entry may
	// queue it.
	Forward func(ctx context.Context, peer netip.AddrPort, job *bbrjob.Job, deadline time.Time, mayWait bool) *bbranswer.Answer
	// ForwardToHolder sends the request to the entry that holds its key.
	ForwardToHolder func(ctx context.Context, holder bbrticket.Holder, job *bbrjob.Job, deadline time.Time) *bbranswer.Answer
	// Claim returns the holder of a key that the caller chose. If the key is
	// unclaimed, this process claims it.
	Claim func(ctx context.Context, queue, key string) (bbrticket.Holder, error)

	inProgress atomic.Int64
	unready    atomic.Bool
	stopping   atomic.Bool
	// lastTicket is the number of the last ticket that was issued.
	lastTicket atomic.Uint64
}

// InProgress returns how many requests are in progress.
func (g *Gateway) InProgress() int { return int(g.inProgress.Load()) }

// MarkUnready fails the readiness check, so that the load balancer sends no more
// requests. Requests that still arrive are served.
func (g *Gateway) MarkUnready() { g.unready.Store(true) }

// StopAccepting makes the gateway refuse new requests.
func (g *Gateway) StopAccepting() { g.stopping.Store(true) }

// Ready reports whether the load balancer should send requests.
func (g *Gateway) Ready() bool {
	return !g.unready.Load() && !g.stopping.Load() && g.State.Ready()
}

// Source is the origin of a request.
type Source struct {
	// Forwarded is set for requests from another entry. They are not forwarded
	// again.
	Forwarded bool
	// MayWait allows a forwarded request to be queued.
	MayWait bool
}

// enter counts a request as in progress, or returns the code of its refusal.
func (g *Gateway) enter() bbrcode.Code {
	if n := g.inProgress.Add(1); n > g.MaxInProgress {
		g.inProgress.Add(-1)
		return bbrcode.TooManyInProgress
	}
	// The flag is read after the request was counted. Once StopAccepting has
	// returned and no request is in progress, none will be.
	if g.stopping.Load() {
		g.inProgress.Add(-1)
		return bbrcode.ShuttingDown
	}
	return 0
}

func (g *Gateway) leave() { g.inProgress.Add(-1) }

// Serve runs a caller's request and returns its answer.
func (g *Gateway) Serve(ctx context.Context, job *bbrjob.Job, now time.Time) *bbranswer.Answer {
	queue, refusal := g.queueOf(job)
	if refusal != nil {
		return refusal
	}
	if job.IdempotencyKey == "" || job.Idempotent(queue.Config) {
		return g.admit(ctx, job, queue, Source{}, now)
	}
	return g.serveKeyed(ctx, job, queue, now)
}

// queueOf returns the queue of a request, or the refusal of the request.
func (g *Gateway) queueOf(job *bbrjob.Job) (*bbrroute.Queue, *bbranswer.Answer) {
	if !g.State.Ready() {
		return nil, bbranswer.Refuse(bbrcode.NotReady, "", "")
	}
	queue, ok := g.State.Table().Queues[job.Queue]
	if !ok || queue.Pool == nil {
		return nil, bbranswer.Refuse(bbrcode.UnknownQueue, job.Queue, "")
	}
	return queue, nil
}

// admit checks the request against the quota of its team and the memory of the
// pool's instances, acquires a slot at this or another entry, and runs the
// request.
func (g *Gateway) admit(ctx context.Context, job *bbrjob.Job, queue *bbrroute.Queue, source Source, now time.Time) *bbranswer.Answer {
	if team, ok := g.State.Table().Teams[job.Team]; ok {
		if !team.State.Enter(team.Quota) {
			return bbranswer.Refuse(bbrcode.QuotaExceeded, job.Team, "")
		}
		defer team.State.Leave()
	}
	if largest := queue.Pool.LargestMemoryBytes; largest > 0 && job.MemoryBytes > largest {
		return bbranswer.Refuse(bbrcode.NeverFits, bbrjob.MemoryHeader, "the pool's largest instance has less memory")
	}
	deadline := job.Deadline(queue.Config, now)
	criteria := bbrroute.Criteria{TieBreaker: rand.Uint64(), Urgent: job.Urgent}
	target := g.tryAcquire(queue, criteria, now)
	if target == nil && !source.Forwarded {
		answer, mayHaveRun := g.tryPeer(ctx, job, queue, deadline)
		if answer != nil {
			return answer
		}
		if mayHaveRun != nil {
			return preferRan(g.queueAndRun(ctx, job, queue, source, deadline), mayHaveRun)
		}
	}
	if target == nil {
		return g.queueAndRun(ctx, job, queue, source, deadline)
	}
	return g.run(ctx, job, queue, target, deadline)
}

// preferRan returns the answer to the later attempt, unless it says that the
// request did not run: then the earlier attempt, which may have run, decides.
func preferRan(answer, earlier *bbranswer.Answer) *bbranswer.Answer {
	if answer.Outcome() == bbrcode.OutcomeNotRun {
		return earlier
	}
	return answer
}

// queueAndRun waits for a slot of this entry and runs the request.
func (g *Gateway) queueAndRun(ctx context.Context, job *bbrjob.Job, queue *bbrroute.Queue, source Source, deadline time.Time) *bbranswer.Answer {
	target, refusal := g.waitForSlot(ctx, job, queue, source, deadline, time.Now())
	if refusal != nil {
		return refusal
	}
	return g.run(ctx, job, queue, target, deadline)
}

// tryAcquire acquires a slot without waiting, or returns nil. A request that is
// not urgent does not overtake those that wait.
func (g *Gateway) tryAcquire(queue *bbrroute.Queue, criteria bbrroute.Criteria, now time.Time) *bbrroute.Target {
	if !criteria.Urgent && queue.Pool.WaitQueue.Len() > 0 {
		return nil
	}
	return queue.Pool.Acquire(criteria, now)
}

// tryPeer forwards the request to one other entry that has reported free slots.
// An answer that is not nil is final. Otherwise the request still has to be
// run. In that case mayHaveRun, if it is not nil, is the answer to give should the
// request not run at this entry, because it may have run at the peer.
func (g *Gateway) tryPeer(ctx context.Context, job *bbrjob.Job, queue *bbrroute.Queue, deadline time.Time) (answer, mayHaveRun *bbranswer.Answer) {
	// An entry without slots of the pool lets another one queue the request.
	mayWait := queue.Pool.Slots() == 0
	peer, ok := g.FindPeer(queue.Pool.Name, mayWait)
	if !ok {
		return nil, nil
	}
	answer = g.Forward(ctx, peer, job, deadline, mayWait)
	switch {
	case mayWait:
		return answer, nil
	case answer.Outcome() == bbrcode.OutcomeNotRun:
		g.ReportRefusal(peer, queue.Pool.Name)
		g.Metrics.Retry("spillRefused")
		return nil, nil
	case answer.Code == bbrcode.PeerLost && job.Idempotent(queue.Config):
		g.Metrics.Retry("spillLost")
		return nil, answer
	default:
		return answer, nil
	}
}

// waitForSlot queues the request until it is granted a slot. It returns either
// the slot's instance or the refusal of the request.
func (g *Gateway) waitForSlot(ctx context.Context, job *bbrjob.Job, queue *bbrroute.Queue, source Source, deadline, now time.Time) (*bbrroute.Target, *bbranswer.Answer) {
	pool := queue.Pool
	switch {
	case pool.Slots() == 0:
		return nil, bbranswer.Refuse(bbrcode.NoUpstream, pool.Name, "no instance of the pool serves in this zone")
	case source.Forwarded && !source.MayWait:
		return nil, bbranswer.Refuse(bbrcode.QueueFull, job.Queue, "no slot is free")
	}
	backlog := bbradmission.Backlog{Waiting: pool.WaitQueue.Len(), Slots: pool.Slots(), RunTime: queue.State.RunTimes.Mean(), Deadline: deadline}
	if code := backlog.CheckDeadline(now); code != 0 && !job.Urgent {
		return nil, bbranswer.Refuse(code, job.Queue, "expected wait "+backlog.ExpectedWait().String())
	}
	if !queue.State.Enter(queue.Config.Bound) {
		return nil, bbranswer.Refuse(bbrcode.QueueFull, job.Queue, "")
	}
	defer queue.State.Leave()
	waiter := pool.WaitQueue.Enqueue(job.Team, job.Urgent)
	// A slot may have become free before the request was enqueued.
	pool.GrantFreeSlots(now)
	target, code := awaitSlot(ctx, pool, waiter, deadline)
	if target != nil {
		return target, nil
	}
	// A slot that was granted in the meantime is given back.
	if !pool.WaitQueue.Remove(waiter) {
		pool.Release(<-waiter.Granted)
	}
	return nil, bbranswer.Refuse(code, job.Queue, "")
}

// recheckInterval is how often a waiting request looks for slots that became
// free without a release: those of an instance whose ejection has ended.
const recheckInterval = 500 * time.Millisecond

// awaitSlot returns the instance whose slot the waiter is granted, or the code
// of the refusal.
func awaitSlot(ctx context.Context, pool *bbrroute.Pool, waiter *bbrqueue.Waiter[*bbrroute.Target], deadline time.Time) (*bbrroute.Target, bbrcode.Code) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for {
		select {
		case target := <-waiter.Granted:
			return target, 0
		case <-ticker.C:
			pool.GrantFreeSlots(time.Now())
		case <-timer.C:
			return nil, bbrcode.TimedOutInQueue
		case <-ctx.Done():
			return nil, bbrcode.Cancelled
		}
	}
}
