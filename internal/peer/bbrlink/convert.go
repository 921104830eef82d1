package bbrlink

import (
	"net/http"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
	"github.com/bluebellridge/bluebellridge/internal/peer/bbrpeerproto"
	"github.com/bluebellridge/bluebellridge/internal/request/bbranswer"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrjob"
)

func encodeHeader(header http.Header) []*bbrpeerproto.HeaderField {
	fields := make([]*bbrpeerproto.HeaderField, 0, len(header))
	for name, values := range header {
		fields = append(fields, &bbrpeerproto.HeaderField{Name: name, Values: values})
	}
	return fields
}

func decodeHeader(fields []*bbrpeerproto.HeaderField) http.Header {
	header := make(http.Header, len(fields))
	for _, field := range fields {
		header[http.CanonicalHeaderKey(field.GetName())] = field.GetValues()
	}
	return header
}

// minTimeout is sent if the deadline has passed, since 0 means no deadline.
const minTimeout = time.Millisecond

// EncodeJob returns the message of a forwarded request. The message contains the
// remaining time rather than the deadline, since the entries' clocks differ.
func EncodeJob(job *bbrjob.Job, remaining time.Duration) *bbrpeerproto.ForwardRequest {
	return &bbrpeerproto.ForwardRequest{
		Id:           job.ID,
		Queue:        job.Queue,
		Team:         job.Team,
		Urgent:       job.Urgent,
		Method:       job.Method,
		Target:       job.RequestURI,
		Header:       encodeHeader(job.Header),
		Body:         job.Body,
		Key:          job.IdempotencyKey,
		MemoryBytes:  job.MemoryBytes,
		TimeoutNanos: int64(max(remaining, minTimeout)),
	}
}

// DecodeJob returns the forwarded request of a message.
func DecodeJob(m *bbrpeerproto.ForwardRequest) *bbrjob.Job {
	return &bbrjob.Job{
		ID:             m.GetId(),
		Queue:          m.GetQueue(),
		Team:           m.GetTeam(),
		Urgent:         m.GetUrgent(),
		Method:         m.GetMethod(),
		RequestURI:     m.GetTarget(),
		Header:         decodeHeader(m.GetHeader()),
		Body:           m.GetBody(),
		IdempotencyKey: m.GetKey(),
		MemoryBytes:    m.GetMemoryBytes(),
		Timeout:        time.Duration(m.GetTimeoutNanos()),
	}
}

// EncodeAnswer returns the message of a complete answer.
func EncodeAnswer(a *bbranswer.Answer) *bbrpeerproto.ForwardResponse {
	return &bbrpeerproto.ForwardResponse{
		Code:     uint32(a.Code),
		Place:    a.Place,
		Detail:   a.Detail,
		Status:   int32(a.Status),
		Header:   encodeHeader(a.Header),
		Body:     a.Body,
		Upstream: a.Upstream,
	}
}

// DecodeAnswer returns the answer of a message.
func DecodeAnswer(m *bbrpeerproto.ForwardResponse) *bbranswer.Answer {
	return &bbranswer.Answer{
		Code:     bbrcode.Code(m.GetCode()),
		Place:    m.GetPlace(),
		Detail:   m.GetDetail(),
		Status:   int(m.GetStatus()),
		Header:   decodeHeader(m.GetHeader()),
		Body:     m.GetBody(),
		Upstream: m.GetUpstream(),
	}
}

// EncodeAck returns the message of an acknowledgement.
func EncodeAck(ack bbrview.Ack, revision uint64) *bbrpeerproto.AcknowledgeResponse {
	inFlight := make(map[string]int32, len(ack.InFlight))
	for instance, count := range ack.InFlight {
		inFlight[instance] = int32(count)
	}
	return &bbrpeerproto.AcknowledgeResponse{
		Incarnation: ack.Incarnation,
		ViewVersion: ack.Version,
		Revision:    revision,
		Busy:        inFlight,
		Overhang:    int32(ack.ExcessInFlight),
	}
}

// DecodeAck returns the acknowledgement of a message.
func DecodeAck(m *bbrpeerproto.AcknowledgeResponse) bbrview.Ack {
	inFlight := make(map[string]int, len(m.GetBusy()))
	for instance, count := range m.GetBusy() {
		inFlight[instance] = int(count)
	}
	return bbrview.Ack{
		Incarnation:    m.GetIncarnation(),
		Version:        m.GetViewVersion(),
		InFlight:       inFlight,
		ExcessInFlight: int(m.GetOverhang()),
	}
}
