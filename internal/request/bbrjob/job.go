package bbrjob

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrrevision"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrlimit"
)

// Header fields of requests.
const (
	TeamHeader           = "Bbr-Team"
	TimeoutHeader        = "Bbr-Timeout"
	MemoryHeader         = "Bbr-Memory-Bytes"
	RequestIDHeader      = "Bbr-Request-Id"
	PriorityHeader       = "Priority"
	IdempotencyKeyHeader = "Idempotency-Key"
)

// maxUrgentUrgency is the largest value of the urgency parameter of the Priority
// header field (RFC 9218) that makes a request urgent. Lower values are more
// urgent, and the default is 3.
const maxUrgentUrgency = 1

const (
	maxKeyLength  = 255
	maxTeamLength = 64
	maxTimeout    = time.Hour
)

// Job is a request of a caller.
type Job struct {
	// ID is unique to the request, and is sent to the upstream.
	ID     string
	Queue  string
	Team   string
	Urgent bool
	Method string
	// RequestURI is the path and query that are sent to the upstream.
	RequestURI string
	Header     http.Header
	Body       []byte
	// IdempotencyKey is the caller's idempotency key, or empty.
	IdempotencyKey string
	// MemoryBytes is the memory that the request needs according to the caller,
	// or 0.
	MemoryBytes int64
	// Timeout is the timeout that the caller asked for. If it is 0, that of the
	// queue applies.
	Timeout time.Duration
}

// Read reads a complete request with a body of at most maxBody bytes.
func Read(r *http.Request, queue, id string, maxBody int64) (*Job, error) {
	job := &Job{
		ID:             id,
		Queue:          queue,
		Team:           r.Header.Get(TeamHeader),
		Urgent:         isUrgent(r.Header.Get(PriorityHeader)),
		Method:         r.Method,
		RequestURI:     r.URL.RequestURI(),
		Header:         endToEndHeader(r.Header),
		IdempotencyKey: r.Header.Get(IdempotencyKeyHeader),
	}
	if err := job.readHints(r.Header); err != nil {
		return nil, err
	}
	body, err := readBody(r, maxBody)
	job.Body = body
	return job, err
}

// readHints validates the key and the team, and reads the timeout and the memory
// that the caller declares.
func (j *Job) readHints(header http.Header) error {
	if len(j.IdempotencyKey) > maxKeyLength {
		return bbrcode.Errorf(bbrcode.BadRequest, IdempotencyKeyHeader, "is longer than %d characters", maxKeyLength)
	}
	if len(j.Team) > maxTeamLength {
		return bbrcode.Errorf(bbrcode.BadRequest, TeamHeader, "is longer than %d characters", maxTeamLength)
	}
	if text := header.Get(TimeoutHeader); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 || timeout > maxTimeout {
			return bbrcode.Errorf(bbrcode.BadRequest, TimeoutHeader, "%q is not a duration above 0 and up to %s, such as 30s", text, maxTimeout)
		}
		j.Timeout = timeout
	}
	if text := header.Get(MemoryHeader); text != "" {
		bytes, err := strconv.ParseInt(text, 10, 64)
		if err != nil || bytes < 0 {
			return bbrcode.Errorf(bbrcode.BadRequest, MemoryHeader, "%q is not a number of bytes", text)
		}
		j.MemoryBytes = bytes
	}
	return nil
}

func readBody(r *http.Request, maxBody int64) ([]byte, error) {
	if r.ContentLength > maxBody {
		return nil, bbrcode.Errorf(bbrcode.BodyTooLarge, "body", "the body has %d bytes; at most %d are accepted", r.ContentLength, maxBody)
	}
	body, err := bbrlimit.ReadAll(r.Body, r.ContentLength, maxBody)
	var coded *bbrcode.Error
	switch {
	case errors.As(err, &coded):
		return nil, err
	case err != nil:
		return nil, bbrcode.Errorf(bbrcode.BodyIncomplete, "body", "%v", err)
	case int64(len(body)) > maxBody:
		return nil, bbrcode.Errorf(bbrcode.BodyTooLarge, "body", "at most %d bytes are accepted", maxBody)
	}
	return body, nil
}

// isUrgent reports whether the value of a Priority header field makes a request
// urgent.
func isUrgent(priority string) bool {
	for parameter := range strings.SplitSeq(priority, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(parameter), "u=")
		if !ok {
			continue
		}
		urgency, err := strconv.Atoi(value)
		return err == nil && urgency <= maxUrgentUrgency
	}
	return false
}

// Deadline returns the time by which the request has to end. The timeout is the
// one that the caller asked for, but no longer than the queue's.
func (j *Job) Deadline(queue bbrrevision.Queue, now time.Time) time.Time {
	if j.Timeout > 0 {
		return now.Add(min(j.Timeout, queue.Timeout))
	}
	return now.Add(queue.Timeout)
}

// Idempotent reports whether the request may be sent more than once. The setting
// of the queue decides; without one, the method does, according to RFC 9110.
func (j *Job) Idempotent(queue bbrrevision.Queue) bool {
	switch queue.Idempotent {
	case "always":
		return true
	case "never":
		return false
	}
	switch j.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}
