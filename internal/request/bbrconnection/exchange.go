package bbrconnection

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/request/bbrjob"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrretry"
)

// Exchange describes one attempt to get a response from an upstream.
type Exchange struct {
	Address netip.AddrPort
	Job     *bbrjob.Job
	// NewConnection requests a new connection instead of an idle one.
	NewConnection bool
	// MaxBufferedBytes is the length up to which the body of the response is
	// buffered. The rest of a longer one is streamed.
	MaxBufferedBytes int64
	// RequireEcho rejects a response that does not echo the request's ID.
	RequireEcho bool
	// Deadline ends the attempt. On a connection that had been idle, the
	// response has to begin by ReusedDeadline if that is earlier.
	Deadline       time.Time
	ReusedDeadline time.Time
	// MaySend is called just before the first byte is written, and reports
	// whether the request may be sent. A nil MaySend allows it.
	MaySend func(now time.Time) bool
}

// Reply is the response of an upstream. Rest is nil if Body is complete; otherwise
// it streams the remainder and must be closed.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser
}

// ErrMayNotSend is returned if MaySend refused the request. Nothing was written.
var ErrMayNotSend = errors.New("entry may not send requests to upstreams")

// AttemptError is the error of an attempt that got no complete response.
type AttemptError struct {
	Failure bbrretry.Failure
	Cause   error
}

// Error implements error.
func (f *AttemptError) Error() string { return f.Failure.String() + ": " + f.Cause.Error() }

// Unwrap returns the cause.
func (f *AttemptError) Unwrap() error { return f.Cause }

// Do performs the exchange. The error is ErrMayNotSend or an *AttemptError. If ctx
// ends, the attempt fails and the connection is closed.
func (p *Pool) Do(ctx context.Context, x Exchange) (*Reply, error) {
	ctx, cancel := context.WithDeadline(ctx, x.Deadline)
	conn, err := p.get(ctx, x.Address, x.NewConnection, time.Now())
	if err != nil {
		cancel()
		return nil, &AttemptError{Failure: bbrretry.ConnectFailed, Cause: err}
	}
	a := &attempt{pool: p, exchange: x, conn: conn, cancel: cancel}
	a.stopInterrupt = context.AfterFunc(ctx, a.interrupt)
	reply, err := a.perform(ctx)
	if err != nil {
		a.discard()
		return nil, err
	}
	return reply, nil
}

// attempt is an exchange in progress on its connection.
type attempt struct {
	pool          *Pool
	exchange      Exchange
	conn          *connection
	cancel        context.CancelFunc
	stopInterrupt func() bool
}

// interrupt makes blocked reads and writes return by setting a deadline in the
// past.
func (a *attempt) interrupt() { _ = a.conn.SetDeadline(time.Unix(1, 0)) }

// extend replaces ReusedDeadline by Deadline once the response has begun. It
// restores the interrupt if ctx has ended meanwhile.
func (a *attempt) extend(ctx context.Context) {
	_ = a.conn.SetDeadline(a.exchange.Deadline)
	if ctx.Err() != nil {
		a.interrupt()
	}
}

// discard closes the connection.
func (a *attempt) discard() {
	a.stopInterrupt()
	a.cancel()
	_ = a.conn.Close()
}

// finish returns the connection to the pool if it is reusable, and closes it
// otherwise. The pool examines a connection before it reuses it.
func (a *attempt) finish(reusable bool) {
	if !a.stopInterrupt() || !reusable {
		a.discard()
		return
	}
	a.cancel()
	a.pool.put(a.exchange.Address, a.conn, time.Now())
}

func (a *attempt) perform(ctx context.Context) (*Reply, error) {
	a.conn.written = 0
	if a.conn.reused && a.exchange.ReusedDeadline.Before(a.exchange.Deadline) {
		_ = a.conn.SetDeadline(a.exchange.ReusedDeadline)
	}
	if a.exchange.MaySend != nil && !a.exchange.MaySend(time.Now()) {
		return nil, ErrMayNotSend
	}
	request := a.request()
	writer := bufio.NewWriter(a.conn)
	err := request.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	if err != nil {
		return nil, a.classify(err)
	}
	return a.read(ctx, request)
}

// request returns the HTTP request to the upstream. It carries the job's ID, so
// that the upstream can echo it.
func (a *attempt) request() *http.Request {
	job := a.exchange.Job
	target, err := url.ParseRequestURI(job.RequestURI)
	if err != nil {
		target = &url.URL{Path: "/"}
	}
	header := job.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(bbrjob.RequestIDHeader, job.ID)
	return &http.Request{
		Method:        job.Method,
		URL:           target,
		Host:          a.exchange.Address.String(),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		Body:          io.NopCloser(bytes.NewReader(job.Body)),
		ContentLength: int64(len(job.Body)),
	}
}

// read reads the response. It skips interim (1xx) responses.
func (a *attempt) read(ctx context.Context, request *http.Request) (*Reply, error) {
	response, err := http.ReadResponse(a.conn.reader, request)
	for err == nil && response.StatusCode >= 100 && response.StatusCode < 200 {
		response, err = http.ReadResponse(a.conn.reader, request)
	}
	if err != nil {
		return nil, a.classify(err)
	}
	a.extend(ctx)
	if !a.echoMatches(response) {
		return nil, &AttemptError{Failure: bbrretry.Mismatched, Cause: errors.New("response does not carry the ID of its request")}
	}
	if !lengthKnown(request, response) {
		return nil, &AttemptError{Failure: bbrretry.Truncated, Cause: errors.New("response has neither a Content-Length nor a Transfer-Encoding")}
	}
	return a.readBody(response)
}

// echoMatches reports whether the ID echoed in the response is that of the
// request. A response without an ID matches unless RequireEcho is set.
func (a *attempt) echoMatches(response *http.Response) bool {
	echo := response.Header.Get(bbrjob.RequestIDHeader)
	if echo == "" {
		return !a.exchange.RequireEcho
	}
	return echo == a.exchange.Job.ID
}

// lengthKnown reports whether the framing of the response distinguishes a
// truncated body from a complete one. A body that ends with the connection does
// not.
func lengthKnown(request *http.Request, response *http.Response) bool {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return true
	}
	return request.Method == http.MethodHead
}

// readBody buffers the body up to MaxBufferedBytes. If the body is longer, the
// reply keeps the connection until its rest is closed.
func (a *attempt) readBody(response *http.Response) (*Reply, error) {
	reply := &Reply{Status: response.StatusCode, Header: bbrjob.EndToEndHeader(response.Header)}
	reply.Header.Del(bbrjob.RequestIDHeader)
	var err error
	reply.Body, err = io.ReadAll(io.LimitReader(response.Body, a.exchange.MaxBufferedBytes+1))
	if err != nil {
		return nil, a.classifyBody(err)
	}
	if int64(len(reply.Body)) > a.exchange.MaxBufferedBytes {
		reply.Rest = &bodyRest{attempt: a, response: response}
		return reply, nil
	}
	a.finish(!response.Close)
	return reply, nil
}

// classifyBody classifies an error of reading the body.
func (a *attempt) classifyBody(err error) error {
	if timedOut(err) {
		return a.classify(err)
	}
	return &AttemptError{Failure: bbrretry.Truncated, Cause: err}
}

// classify classifies an error of writing the request or of reading the head of
// the response.
func (a *attempt) classify(err error) error {
	switch {
	case a.conn.written == 0:
		return &AttemptError{Failure: bbrretry.ConnectFailed, Cause: err}
	case timedOut(err) && a.conn.reused:
		return &AttemptError{Failure: bbrretry.TimedOutReused, Cause: err}
	case timedOut(err):
		return &AttemptError{Failure: bbrretry.TimedOut, Cause: err}
	default:
		return &AttemptError{Failure: bbrretry.ConnectionBroken, Cause: err}
	}
}

func timedOut(err error) bool {
	var network net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &network) && network.Timeout())
}

// bodyRest streams the part of a long body that is not buffered.
type bodyRest struct {
	attempt  *attempt
	response *http.Response
	complete bool
}

// Read implements io.Reader. A body that ends early gives an error other than
// io.EOF.
func (r *bodyRest) Read(data []byte) (int, error) {
	n, err := r.response.Body.Read(data)
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

// Close implements io.Closer. It returns the connection to the pool if the body
// was read completely, and closes it otherwise.
func (r *bodyRest) Close() error {
	r.attempt.finish(r.complete && !r.response.Close)
	return nil
}
