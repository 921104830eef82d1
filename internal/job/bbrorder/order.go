package bbrorder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Start orders a run of a work unit. It is idempotent by unit and run.
type Start struct {
	Unit bbrwork.Unit
	Run  int
	Spec string
	// Until is the lease's end on the upstream's clock; a start that arrives
	// later is refused.
	Until      time.Duration
	Token      int64
	Checkpoint string
	Ticket     string
}

// Stop ends a run, or keeps it from starting.
type Stop struct {
	Unit  bbrwork.Unit
	Run   int
	Token int64
}

// Pace sets the share of its speed at which a run works.
type Pace struct {
	Unit    bbrwork.Unit
	Run     int
	Percent int
	Token   int64
}

// Renewal renews the lease of all that runs on an upstream.
type Renewal struct {
	// Until is the lease's new end on the upstream's clock; 0 renews nothing.
	Until time.Duration
	Token int64
	// Acknowledged is the highest number of an end that is stored.
	Acknowledged int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// Client is the calls to upstreams.
type Client struct {
	// Start returns the upstream's clock, also beside a refusal; 0 where the
	// answer has none.
	Start func(ctx context.Context, up bbrwork.Upstream, start Start) (time.Duration, error)
	Stop  func(ctx context.Context, up bbrwork.Upstream, stop Stop) error
	Renew func(ctx context.Context, up bbrwork.Upstream, hold Renewal) (bbrwork.Listing, error)
	Pace  func(ctx context.Context, up bbrwork.Upstream, pace Pace) error
}

// Errors of orders. Only ErrLost leaves open whether the order is, or will be,
// carried out.
var (
	ErrAnswerLost       = errors.New("the upstream's answer was lost")
	ErrNotSent          = errors.New("the upstream was not reached")
	ErrFenced           = errors.New("the upstream knows a higher fencing token")
	ErrStaleRun         = errors.New("the run is not above one that ended there")
	ErrExpired          = errors.New("the order's deadline has passed")
	ErrNoCapacity       = errors.New("the upstream has no room")
	ErrTicketRejected   = errors.New("the upstream does not take the ticket")
	ErrOtherIncarnation = errors.New("another life of the upstream answered")
	ErrInvalid          = errors.New("the upstream does not accept the order")
	ErrUnhealthy        = errors.New("the upstream is unhealthy and did nothing")
)
