package bbranswer

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
)

// Header fields of answers.
const (
	CodeHeader      = "Bbr-Code"
	OutcomeHeader   = "Bbr-Outcome"
	UpstreamHeader  = "Bbr-Upstream"
	EntryHeader     = "Bbr-Entry"
	RequestIDHeader = "Bbr-Request-Id"
)

// Answer is the final answer to a request.
type Answer struct {
	Code bbrcode.Code
	// Place and Detail say where a refusal's fault lies and what it is. They
	// may be empty.
	Place  string
	Detail string
	// Status, Header and Body are those of the upstream's response. Status is 0
	// if there is none; the answer is then written as a problem document.
	Status int
	Header http.Header
	Body   []byte
	// Rest streams what follows Body, if the response is longer than the queue
	// buffers, and is nil otherwise. The writer of the answer closes it.
	Rest io.ReadCloser
	// Upstream is the ID of the instance that responded or failed last, or empty.
	Upstream string
}

// Refuse returns an answer without a response of an upstream.
func Refuse(code bbrcode.Code, place, detail string) *Answer {
	return &Answer{Code: code, Place: place, Detail: detail}
}

// FromError returns the refusal for err: with the code of the bbrcode.Error in its
// chain, or else with the fallback code.
func FromError(err error, fallback bbrcode.Code) *Answer {
	var coded *bbrcode.Error
	if errors.As(err, &coded) {
		return Refuse(coded.Code, coded.Place, coded.Detail)
	}
	return Refuse(fallback, "", err.Error())
}

// Outcome returns whether the request ran, as far as this is known.
func (a *Answer) Outcome() bbrcode.Outcome { return a.Code.Info().Outcome }

// problem is a problem document (RFC 9457).
type problem struct {
	Type    string       `json:"type"`
	Title   string       `json:"title"`
	Status  int          `json:"status"`
	Detail  string       `json:"detail,omitempty"`
	Code    bbrcode.Code `json:"code"`
	Outcome string       `json:"outcome"`
	Place   string       `json:"place,omitempty"`
	Request string       `json:"request"`
}

// Write sends the answer. If it returns an error, the caller's connection must be
// aborted, so that the caller cannot take a partial answer for a complete one.
func (a *Answer) Write(w http.ResponseWriter, requestID string) error {
	header := w.Header()
	for name, values := range a.Header {
		header[name] = values
	}
	info := a.Code.Info()
	header.Set(CodeHeader, strconv.Itoa(int(a.Code)))
	header.Set(OutcomeHeader, info.Outcome.String())
	header.Set(RequestIDHeader, requestID)
	if a.Upstream != "" {
		header.Set(UpstreamHeader, a.Upstream)
	}
	if a.Status == 0 {
		return a.writeProblem(w, info, requestID)
	}
	return a.writeContent(w)
}

// writeProblem sends a problem document.
func (a *Answer) writeProblem(w http.ResponseWriter, info bbrcode.Info, requestID string) error {
	if info.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(info.RetryAfter/time.Second)))
	}
	body, err := json.Marshal(problem{
		Type:    "urn:bluebellridge:code:" + strconv.Itoa(int(a.Code)),
		Title:   info.Text,
		Status:  info.Status,
		Detail:  a.Detail,
		Code:    a.Code,
		Outcome: info.Outcome.String(),
		Place:   a.Place,
		Request: requestID,
	})
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(info.Status)
	_, err = w.Write(body)
	return err
}

// writeContent sends the response of the upstream.
func (a *Answer) writeContent(w http.ResponseWriter) error {
	if a.Rest == nil {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil || a.Rest == nil {
		return err
	}
	_, err := io.Copy(w, a.Rest)
	return err
}

// Close closes Rest, which releases the connection to the upstream. It does
// nothing if Rest is nil.
func (a *Answer) Close() {
	if a.Rest != nil {
		_ = a.Rest.Close()
	}
}
