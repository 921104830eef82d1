package bbrjob

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrrevision"
)

// Headers of callers.
const (
	TeamHeader           = "Bbr-Team"
	TimeoutHeader        = "Bbr-Timeout"
	MemoryHeader         = "Bbr-Memory-Bytes"
	RequestIDHeader      = "Bbr-Request-Id"
	PriorityHeader       = "Priority"
	IdempotencyKeyHeader = "Idempotency-Key"
)

// maxUrgentUrgency is the largest urgency parameter of the Priority header (RFC
// 9218) that counts as urgent; the header's default is 3.
const maxUrgentUrgency = 1

const (
	maxKeyLength  = 255
	maxTeamLength = 64
	maxTimeout    = time.Hour
)

// Job is one request of a caller.
type Job struct {
	ID     string
	Queue  string
	Team   string
	Urgent bool
	Method string
	// RequestURI is the request URI that the upstream gets.
	RequestURI string
	Header     http.Header
	Body       []byte
	// IdempotencyKey is the caller's idempotency key, or empty.
	IdempotencyKey string
	MemoryBytes    int64
	// Timeout is what the caller asked for; 0 leaves it to the queue.
	Timeout time.Duration
}

// Read reads the request whole. The body is bounded by maxBody bytes.
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
		return nil, bbrcode.Errorf(bbrcode.BodyTooLarge, "body", "%d bytes; at most %d are taken", r.ContentLength, maxBody)
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, bbrcode.Errorf(bbrcode.BodyTooLarge, "body", "at most %d bytes are taken", maxBody)
	}
	if err != nil {
		return nil, bbrcode.Errorf(bbrcode.BodyIncomplete, "body", "%v", err)
	}
	return body, nil
}

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

// Deadline returns the time by which the request ends: what the caller asked
// for, and at most the queue's timeout.
func (j *Job) Deadline(queue bbrrevision.Queue, now time.Time) time.Time {
	if j.Timeout > 0 {
		return now.Add(min(j.Timeout, queue.Timeout))
	}
	return now.Add(queue.Timeout)
}

// Idempotent reports whether the request may be sent twice: what the queue
// says, or else what RFC 9110 says of the method.
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
