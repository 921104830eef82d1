package bbrinquiry

import (
	"encoding/json"
	"net/netip"
	"time"

	"storj.io/drpc"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrdetector"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrfairshare"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// JobRequest is a query about a job.
type JobRequest struct {
	Service string `json:"service"`
	Cell    int    `json:"cell"`
	Job     string `json:"job"`
}

func newJobRequest(shard bbrwork.Shard, job string) *JobRequest {
	return &JobRequest{Service: shard.Service, Cell: shard.Cell, Job: job}
}

// Shard returns the job's shard.
func (r *JobRequest) Shard() bbrwork.Shard { return bbrwork.Shard{Service: r.Service, Cell: r.Cell} }

// StateResponse is the state of a job. If Known is false, the owner does not know the
// job's state, but the job may exist.
type StateResponse struct {
	Known bool          `json:"known"`
	State bbrwork.State `json:"state"`
}

// ExplainResponse is the explanation of a job's state. If Known is false, the owner
// has none.
type ExplainResponse struct {
	Known       bool                     `json:"known"`
	Explanation bbrscheduler.Explanation `json:"explanation"`
}

// HintResponse reports whether the owner accepted the hint.
type HintResponse struct {
	Accepted bool `json:"taken"`
	// Rooms has the rooms of the service's cells that the owner's entry knows.
	Rooms []roomMessage `json:"rooms,omitempty"`
	// Waits is what the owner expects for new jobs of the organisations that want more
	// than their share. It is missing while the capacity suffices, and in answers of
	// earlier builds.
	Waits []bbrfairshare.Wait `json:"waits,omitempty"`
	// BacklogBytes is what a successor of the owner has to read of the shard's jobs, the
	// hint's among them. It is 0 if that is unknown, as in answers of earlier builds.
	BacklogBytes int `json:"backlogBytes,omitempty"`
	// Loading means that the owner does not know BacklogBytes yet, as it loads the shard.
	Loading bool `json:"loading,omitempty"`
}

// PingMessage is the request and the response of a ping.
type PingMessage struct{}

// ReachabilityRequest is a query whether an entry reaches another.
type ReachabilityRequest struct {
	// About is the address for peers of the other entry.
	About netip.AddrPort `json:"about"`
	// Timeout bounds the wait for the other entry's answer.
	Timeout time.Duration `json:"within"`
}

// ReachabilityResponse answers a ReachabilityRequest.
type ReachabilityResponse struct {
	Reachability bbrdetector.Reachability `json:"opinion"`
}

// ServedResponse tells how long ago the store last served an entry.
type ServedResponse struct {
	Age time.Duration `json:"age"`
}

// RevokeRequest asks to revoke the lease of the asking entry, which the store does not
// serve.
type RevokeRequest struct {
	Lease bbrkv.Lease `json:"lease"`
}

// RevokeResponse reports whether the lease was revoked.
type RevokeResponse struct {
	Revoked bool `json:"revoked"`
}

// jsonEncoding encodes messages as JSON.
type jsonEncoding struct{}

func (jsonEncoding) Marshal(message drpc.Message) ([]byte, error) { return json.Marshal(message) }

func (jsonEncoding) Unmarshal(data []byte, message drpc.Message) error {
	return json.Unmarshal(data, message)
}
