package bbrinquiry

import (
	"encoding/json"

	"storj.io/drpc"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// StateRequest asks for the state of a job.
type StateRequest struct {
	Service string `json:"service"`
	Job     string `json:"job"`
}

// StateResponse is what the owner knows of a job. Without Known, the owner
// cannot tell; the job may exist all the same.
type StateResponse struct {
	Known bool          `json:"known"`
	State bbrwork.State `json:"state"`
}

// jsonEncoding writes messages as JSON.
type jsonEncoding struct{}

func (jsonEncoding) Marshal(message drpc.Message) ([]byte, error) { return json.Marshal(message) }

func (jsonEncoding) Unmarshal(data []byte, message drpc.Message) error {
	return json.Unmarshal(data, message)
}
