package bbrinquiry

import (
	"encoding/json"
	"net/netip"
	"time"

	"storj.io/drpc"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrdetector"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// JobRequest asks about a job.
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

// StateResponse is what the owner knows of a job. Without Known, the owner
// cannot tell; the job may exist all the same.
type StateResponse struct {
	Known bool          `json:"known"`
	State bbrwork.State `json:"state"`
}

// ExplainResponse is why a job is where it is. Without Known, the owner cannot
// tell.
type ExplainResponse struct {
	Known       bool                     `json:"known"`
	Explanation bbrscheduler.Explanation `json:"explanation"`
}

// HintResponse tells whether the owner took the hint.
type HintResponse struct {
	Accepted bool `json:"taken"`
}

// PingMessage is the question and the answer of a ping.
type PingMessage struct{}

// ReachabilityRequest asks whether an entry reaches another.
type ReachabilityRequest struct {
	// About is the address at which the other answers entries.
	About netip.AddrPort `json:"about"`
	// Timeout is how long its answer is waited for.
	Timeout time.Duration `json:"within"`
}

// ReachabilityResponse answers it.
type ReachabilityResponse struct {
	Reachability bbrdetector.Reachability `json:"opinion"`
}

// jsonEncoding writes messages as JSON.
type jsonEncoding struct{}

func (jsonEncoding) Marshal(message drpc.Message) ([]byte, error) { return json.Marshal(message) }

func (jsonEncoding) Unmarshal(data []byte, message drpc.Message) error {
	return json.Unmarshal(data, message)
}
