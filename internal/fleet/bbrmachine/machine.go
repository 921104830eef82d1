package bbrmachine

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Status is the status of an instance according to the platform.
type Status uint8

// Statuses of an instance.
const (
	StatusUnknown Status = iota
	StatusUp
	StatusMoving
	// StatusMaintained means that the instance is away for maintenance.
	StatusMaintained
	StatusDown
)

// Instance is an instance as the platform lists it. It keeps its ID through moves and
// maintenance, while each time its upstream starts a new incarnation.
type Instance struct {
	ID       string
	Pool     string
	Status   Status
	Zone     string
	Labels   []string
	Capacity bbrwork.Resources
	// Upstream is the upstream ID of the present incarnation, or empty if there is none.
	Upstream string
}

// HasLabel reports whether the instance has the label. An empty label matches any
// instance.
func (i *Instance) HasLabel(label string) bool {
	return label == "" || slices.Contains(i.Labels, label)
}

// Rack returns the label that names the rack, which is the last one, as for upstreams.
func (i *Instance) Rack() string {
	if len(i.Labels) == 0 {
		return ""
	}
	return i.Labels[len(i.Labels)-1]
}

// Wave is a request to maintain a set of instances.
type Wave struct {
	Number    int64
	Instances []string
	// TimeLimit is the time within which all of them must have been maintained.
	TimeLimit time.Duration
	// MaxAway bounds the instances that are away at once.
	MaxAway int
}

// Leader identifies the fleet leader that sends an order. Token is the fencing token of
// its claim.
type Leader struct {
	Entry string
	Token int64
}

// Fleet holds the calls to the platform for its instances. Maintain and Move send an order.
type Fleet struct {
	List     func(ctx context.Context) ([]Instance, error)
	Maintain func(ctx context.Context, leader Leader, instance string, wave int64) error
	Move     func(ctx context.Context, leader Leader, instance, pool string) error
}

// Errors of the calls. After ErrAnswerLost the order may have been carried out; after the
// others it was not.
var (
	ErrAnswerLost = errors.New("the platform's answer was lost")
	ErrRefused    = errors.New("the platform refused the call")
	// ErrBusy means that the instance is not up or is about to leave.
	ErrBusy      = errors.New("the instance is busy")
	ErrFenced    = errors.New("another holder has ordered")
	ErrNotInWave = errors.New("the instance is not of the wave")
	ErrInvalid   = errors.New("the platform does not accept the order")
)
