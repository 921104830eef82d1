package bbrinquiry

import (
	"context"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const placeMethod = "/bbrinquiry.Owner/Place"

// Errors of queries where a job would start.
var (
	ErrNoAnswer    = errors.New("the owner does not answer")
	ErrUnsupported = errors.New("the owner runs an earlier build, which does not answer this")
	ErrNotOwner    = errors.New("the entry does not own the shard any more, or has not loaded it yet")
)

// PlaceFunc returns where a job would start in a shard that this entry owns; known is
// false if there is no answer.
type PlaceFunc func(job *bbrwork.Job) (placement bbrscheduler.Placement, known bool)

// PlaceRequest is a query where a job that is not stored would start.
type PlaceRequest struct {
	Job *bbrwork.Job `json:"job"`
}

// PlaceResponse answers a PlaceRequest. If Known is false, the entry has no answer.
type PlaceResponse struct {
	Known     bool                   `json:"known"`
	Placement bbrscheduler.Placement `json:"placement"`
}

// Place answers a query where a job would start.
func (s *Server) Place(_ context.Context, in *PlaceRequest) (*PlaceResponse, error) {
	if in.Job == nil {
		return &PlaceResponse{}, nil
	}
	placement, known := s.JobPlacement(in.Job)
	return &PlaceResponse{Known: known, Placement: placement}, nil
}

// Place queries the entry where a job that is not stored would start.
func (c *Client) Place(ctx context.Context, entry netip.AddrPort, job *bbrwork.Job, now time.Time) (bbrscheduler.Placement, error) {
	var out PlaceResponse
	if c.inBackoff(entry, now) {
		return out.Placement, ErrNoAnswer
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	err := c.pool.Get(ctx, entry, dial).Invoke(ctx, placeMethod, jsonEncoding{}, &PlaceRequest{Job: job}, &out)
	if isUnknownMethod(err) {
		// The entry has answered, so that other queries need no backoff.
		c.recordResult(entry, nil, now)
		return out.Placement, ErrUnsupported
	}
	c.recordResult(entry, err, now)
	switch {
	case err != nil:
		return out.Placement, ErrNoAnswer
	case !out.Known:
		return out.Placement, ErrNotOwner
	default:
		return out.Placement, nil
	}
}

// isUnknownMethod reports whether the entry answered that it has no such method. drpc
// tells this by the text only.
func isUnknownMethod(err error) bool {
	return err != nil && strings.Contains(err.Error(), "unknown rpc")
}
