package bbrlink

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellridge/bluebellridge/internal/peer/bbrpeerproto"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrjob"
)

func TestEncodeAndDecodeJob(t *testing.T) {
	job := &bbrjob.Job{
		ID: "id", Queue: "proofs", Team: "counter", Urgent: true, Method: "POST", RequestURI: "/proofs/x?y=z",
		Header: http.Header{"Accept": {"a", "b"}}, Body: []byte("body"), IdempotencyKey: "k", MemoryBytes: 5, Timeout: time.Second,
	}
	require.Equal(t, job, DecodeJob(EncodeJob(job, time.Second)))
	require.Positive(t, DecodeJob(EncodeJob(job, -time.Second)).Timeout, "a deadline that has passed must not become no deadline")
}

// FuzzMessages checks that no message of a peer makes decoding panic.
func FuzzMessages(f *testing.F) {
	data, err := proto.Marshal(EncodeJob(&bbrjob.Job{ID: "id", Header: http.Header{"A": {"b"}}}, time.Second))
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		var request bbrpeerproto.ForwardRequest
		if proto.Unmarshal(data, &request) == nil {
			_ = DecodeJob(&request)
		}
		var answer bbrpeerproto.ForwardResponse
		if proto.Unmarshal(data, &answer) == nil {
			_ = DecodeAnswer(&answer).Outcome()
		}
		var ack bbrpeerproto.AcknowledgeResponse
		if proto.Unmarshal(data, &ack) == nil {
			_ = DecodeAck(&ack)
		}
	})
}
