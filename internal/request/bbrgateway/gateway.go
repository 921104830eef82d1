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

// Gateway serves requests. Its function fields reach other entries and the
// platform.
type Gateway struct {
	State   *bbrentry.State
	Metrics *bbrmetric.Set
	Tickets *bbrticket.Table
	// MaxBodyBytes bounds a request's body, and MaxInProgress the requests
	// that are held at once.
	MaxBodyBytes  int64
	MaxInProgress int64
	// ReadTimeout bounds the reading of a request's body, WriteTimeout the
	// writing of an answer. They are not to be 0.
	ReadTimeout  time.Duration
	WriteTimeout time.Duration

	// Exchange sends a request to an upstream and reads its answer.
	Exchange func(ctx context.Context, x bbrconnection.Exchange) (*bbrconnection.Reply, error)
	// CloseIdle closes the idle connections to an upstream.
	CloseIdle func(address netip.AddrPort)
	// FindPeer names an entry that may have room in the pool. With waiting, an
	// entry that has slots of the pool at all is good enough.
	FindPeer func(pool string, waiting bool) (netip.AddrPort, bool)
	// ReportRefusal notes that a peer had no room in the pool.
	ReportRefusal func(peer netip.AddrPort, pool string)
	// Forward places the request at another entry. With waiting, that entry
	// may queue it.
	Forward func(ctx context.Context, peer netip.AddrPort, job *bbrjob.Job, deadline time.Time, waiting bool) *bbranswer.Answer
	// RunAtHolder runs the request at the entry that holds its key.
	RunAtHolder func(ctx context.Context, holder bbrticket.Holder, job *bbrjob.Job, deadline time.Time) *bbranswer.Answer
	// Claim finds or becomes the holder of a caller's own key.
	Claim func(ctx context.Context, queue, key string) (bbrticket.Holder, error)

	inProgress atomic.Int64
	unready    atomic.Bool
	stopping   atomic.Bool
	lastTicket atomic.Uint64
}

// InProgress returns how many requests are held.
func (g *Gateway) InProgress() int { return int(g.inProgress.Load()) }

// MarkUnready makes the balancer send no more requests; those that come are served
// all the same.
func (g *Gateway) MarkUnready() { g.unready.Store(true) }

// StopAccepting makes the gateway refuse new requests.
func (g *Gateway) StopAccepting() { g.stopping.Store(true) }

// Ready reports whether the gateway takes requests.
func (g *Gateway) Ready() bool {
	return !g.unready.Load() && !g.stopping.Load() && g.State.Ready()
}

// Source says where a request comes from.
type Source struct {
	// Forwarded requests came from another entry and make no further hop.
	Forwarded bool
	// MayWait allows a forwarded request to be queued.
	MayWait bool
}

// enter counts a request or says why it is not taken.
func (g *Gateway) enter() bbrcode.Code {
	if n := g.inProgress.Add(1); n > g.MaxInProgress {
		g.inProgress.Add(-1)
		return bbrcode.TooManyInProgress
	}
	// The flag is read after the request was counted, so that a stop that
	// sees no request in progress will not get one.
	if g.stopping.Load() {
		g.inProgress.Add(-1)
		return bbrcode.ShuttingDown
	}
	return 0
}

func (g *Gateway) leave() { g.inProgress.Add(-1) }

// Serve answers a request that came from a caller.
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

// admit finds a slot for the request and runs it.
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
		answer, lost := g.tryPeer(ctx, job, queue, deadline)
		if answer != nil {
			return answer
		}
		if lost != nil {
			return preferRan(g.queueAndRun(ctx, job, queue, source, deadline), lost)
		}
	}
	if target == nil {
		return g.queueAndRun(ctx, job, queue, source, deadline)
	}
	return g.run(ctx, job, queue, target, deadline)
}

// preferRan replaces a later attempt's word that nothing ran by what is known
// of an earlier one.
func preferRan(answer, earlier *bbranswer.Answer) *bbranswer.Answer {
	if answer.Outcome() == bbrcode.OutcomeNotRun {
		return earlier
	}
	return answer
}

// queueAndRun waits for a slot and runs the request.
func (g *Gateway) queueAndRun(ctx context.Context, job *bbrjob.Job, queue *bbrroute.Queue, source Source, deadline time.Time) *bbranswer.Answer {
	target, refusal := g.waitForSlot(ctx, job, queue, source, deadline, time.Now())
	if refusal != nil {
		return refusal
	}
	return g.run(ctx, job, queue, target, deadline)
}

// tryAcquire takes a slot at once, unless others wait for one.
func (g *Gateway) tryAcquire(queue *bbrroute.Queue, criteria bbrroute.Criteria, now time.Time) *bbrroute.Target {
	if !criteria.Urgent && queue.Pool.WaitQueue.Len() > 0 {
		return nil
	}
	return queue.Pool.Acquire(criteria, now)
}

// tryPeer tries one other entry that has said that it has room. The answer is
// final if it is not nil. Otherwise the request is still to be placed, and lost
// is what to say of the first attempt should the next one not run.
func (g *Gateway) tryPeer(ctx context.Context, job *bbrjob.Job, queue *bbrroute.Queue, deadline time.Time) (answer, lost *bbranswer.Answer) {
	// An entry without slots of its own lets another one queue the request.
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

// waitForSlot queues the request until it has a slot. The error answer is final.
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
	// A slot may have come free before the request had joined.
	pool.GrantFreeSlots(now)
	target, code := awaitSlot(ctx, pool, waiter, deadline)
	if target != nil {
		return target, nil
	}
	if !pool.WaitQueue.Remove(waiter) {
		pool.Release(<-waiter.Granted)
	}
	return nil, bbranswer.Refuse(code, job.Queue, "")
}

// recheckInterval is how often a waiting request looks for a slot that no other request
// gave back: that of an instance whose ejection is over.
const recheckInterval = 500 * time.Millisecond

// awaitSlot returns the slot that the ticket is given, or why there is none.
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
