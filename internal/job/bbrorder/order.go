package bbrorder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Start starts a run of a work unit. It is idempotent by Unit and Run.
type Start struct {
	Unit bbrwork.Unit
	Run  int
	// Spec is that of the job.
	Spec string
	// Until is when the run's lease expires, on the upstream's clock. A start that
	// arrives later is refused.
	Until time.Duration
	// Token is the owner's fencing token. Upstreams refuse an order with a lower token
	// than one that they have seen.
	Token int64
	// Checkpoint is the checkpoint from which the run resumes; empty for none.
	Checkpoint string
	// Ticket is the advice service's ticket for the upstream; empty if none is needed.
	Ticket string
}

// Stop stops a run, or prevents its start.
type Stop struct {
	Unit  bbrwork.Unit
	Run   int
	Token int64
}

// Pace sets the speed of a run, as a percentage of its full speed.
type Pace struct {
	Unit    bbrwork.Unit
	Run     int
	Percent int
	Token   int64
}

// Renewal renews the lease of all runs on an upstream.
type Renewal struct {
	// Until is when the lease expires, on the upstream's clock; 0 if it is not renewed.
	Until time.Duration
	Token int64
	// Acknowledged is the highest sequence number of an end that is stored. The
	// upstream no longer lists the ends up to it.
	Acknowledged int64
	// Wait is how long the upstream may delay the answer until a run ends.
	Wait time.Duration
	// AnswerTimeout is how much longer than Wait the answer may take; 0 for the client's
	// default.
	AnswerTimeout time.Duration
}

// Timeout is how long the answer to a start, a stop or a pace may take.
const Timeout = 800 * time.Millisecond

// Client makes the calls to upstreams.
type Client struct {
	// Start returns the upstream's clock, also together with an error; 0 if the answer
	// does not have it.
	Start func(ctx context.Context, up bbrwork.Upstream, start Start) (time.Duration, error)
	Stop  func(ctx context.Context, up bbrwork.Upstream, stop Stop) error
	Renew func(ctx context.Context, up bbrwork.Upstream, renewal Renewal) (bbrwork.Listing, error)
	Pace  func(ctx context.Context, up bbrwork.Upstream, pace Pace) error
}

// Errors of orders. After ErrAnswerLost only, the order may have been carried out or
// may still be.
var (
	ErrAnswerLost       = errors.New("the upstream's answer was lost")
	ErrNotSent          = errors.New("the upstream was not reached")
	ErrUnconfirmed      = errors.New("the order was not sent, as the owner's claim is not confirmed any more")
	ErrTooManyStarts    = errors.New("the order was not sent, as too many starts are in flight")
	ErrFenced           = errors.New("the upstream has seen a higher fencing token")
	ErrStaleRun         = errors.New("the run is not newer than one that ended on the upstream")
	ErrExpired          = errors.New("the order's deadline has passed")
	ErrNoCapacity       = errors.New("the upstream has no capacity for the run")
	ErrTicketRejected   = errors.New("the upstream rejected the ticket")
	ErrOtherIncarnation = errors.New("another incarnation of the upstream answered")
	ErrInvalid          = errors.New("the upstream rejected the order as invalid")
	ErrUnhealthy        = errors.New("the upstream is unhealthy and did not carry out the order")
)
