package bbrmachine

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Status is what the platform says of an instance.
type Status uint8

// Statuses of an instance.
const (
	StatusUnknown Status = iota
	StatusUp
	StatusMoving
	// StatusMaintained means that the instance is away for its maintenance.
	StatusMaintained
	StatusDown
)

// Instance is an instance as the platform lists it. It stays the same through
// moves and maintenance, while its upstream is another life each time.
type Instance struct {
	ID       string
	Pool     string
	Status   Status
	Zone     string
	Labels   []string
	Capacity bbrwork.Resources
	// Upstream is the ID of the present life; empty for none.
	Upstream string
}

// HasLabel tells whether the instance bears the label. An empty one is any.
func (i *Instance) HasLabel(label string) bool {
	return label == "" || slices.Contains(i.Labels, label)
}

// Rack returns the label that names the rack: the last one, as with upstreams.
func (i *Instance) Rack() string {
	if len(i.Labels) == 0 {
		return ""
	}
	return i.Labels[len(i.Labels)-1]
}

// Wave asks for the maintenance of instances.
type Wave struct {
	Number    int64
	Instances []string
	TimeLimit time.Duration
	// MaxAway bounds the instances that are away at once.
	MaxAway int
}

// Leader identifies who orders.
type Leader struct {
	Entry string
	Token int64
}

// Fleet is the calls to the platform's instances.
type Fleet struct {
	List     func(ctx context.Context) ([]Instance, error)
	Maintain func(ctx context.Context, holder Leader, instance string, wave int64) error
	Move     func(ctx context.Context, holder Leader, instance, pool string) error
}

// Errors of the calls. Only ErrLost leaves open whether the order is carried
// out.
var (
	ErrAnswerLost = errors.New("the platform's answer was lost")
	ErrRefused    = errors.New("the platform refused the call")
	// ErrBusy means that the instance is not up, or leaves.
	ErrBusy      = errors.New("the instance is busy")
	ErrFenced    = errors.New("another holder has ordered")
	ErrNotInWave = errors.New("the instance is not of the wave")
	ErrInvalid   = errors.New("the platform does not accept the order")
)
