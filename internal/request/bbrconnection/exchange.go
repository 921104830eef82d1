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

// Exchange is one attempt to get an answer from an upstream.
type Exchange struct {
	Address netip.AddrPort
	Job     *bbrjob.Job
	// NewConnection asks for a connection that was made just now.
	NewConnection bool
	// MaxBufferedBytes is up to which length the answer is read whole.
	MaxBufferedBytes int64
	RequireEcho      bool
	// Deadline ends the attempt. ReusedDeadline, where it is earlier, ends it
	// on a connection that had been idle.
	Deadline       time.Time
	ReusedDeadline time.Time
	// MaySend is asked just before the first byte is written. It may be nil.
	MaySend func(now time.Time) bool
}

// Reply is an upstream's answer. Rest is nil where Body is whole.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser
}

// ErrMayNotSend means that MaySend refused; nothing was written.
var ErrMayNotSend = errors.New("sender may not send")

// AttemptError is an attempt that gave no whole answer.
type AttemptError struct {
	Failure bbrretry.Failure
	Cause   error
}

// Error implements error.
func (f *AttemptError) Error() string { return f.Failure.String() + ": " + f.Cause.Error() }

// Unwrap returns the cause.
func (f *AttemptError) Unwrap() error { return f.Cause }

// Do performs the exchange. The error is ErrMayNotSend or a *Failed. If ctx
// ends, the connection is closed and the attempt fails.
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

// attempt is an exchange on its connection.
type attempt struct {
	pool          *Pool
	exchange      Exchange
	conn          *connection
	cancel        context.CancelFunc
	stopInterrupt func() bool
}

// interrupt makes blocked reads and writes return.
func (a *attempt) interrupt() { _ = a.conn.SetDeadline(time.Unix(1, 0)) }

// extend lifts the deadline of a reused connection once it has answered.
func (a *attempt) extend(ctx context.Context) {
	_ = a.conn.SetDeadline(a.exchange.Deadline)
	if ctx.Err() != nil {
		a.interrupt()
	}
}

func (a *attempt) discard() {
	a.stopInterrupt()
	a.cancel()
	_ = a.conn.Close()
}

// finish keeps the connection for the next request. The pool examines it again
// before that one.
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

// request builds the upstream's request. The job's ID goes along so that an
// upstream can echo it.
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
		return nil, &AttemptError{Failure: bbrretry.Mismatched, Cause: errors.New("the answer carries another request's ID")}
	}
	if !lengthKnown(request, response) {
		return nil, &AttemptError{Failure: bbrretry.Truncated, Cause: errors.New("the answer's length is not given")}
	}
	return a.readBody(response)
}

// echoMatches reports whether the answer's echoed ID is that of the request.
func (a *attempt) echoMatches(response *http.Response) bool {
	echo := response.Header.Get(bbrjob.RequestIDHeader)
	if echo == "" {
		return !a.exchange.RequireEcho
	}
	return echo == a.exchange.Job.ID
}

// lengthKnown reports whether a truncated body could be told from a whole one.
func lengthKnown(request *http.Request, response *http.Response) bool {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return true
	}
	return request.Method == http.MethodHead
}

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

func (a *attempt) classifyBody(err error) error {
	if timedOut(err) {
		return a.classify(err)
	}
	return &AttemptError{Failure: bbrretry.Truncated, Cause: err}
}

// classify classifies an error of writing or of reading the answer's head.
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

// bodyRest is the part of a long answer that was not read yet.
type bodyRest struct {
	attempt  *attempt
	response *http.Response
	complete bool
}

// Read implements io.Reader. An answer that ends early gives an error, never
// io.EOF.
func (r *bodyRest) Read(data []byte) (int, error) {
	n, err := r.response.Body.Read(data)
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

// Close gives the connection back if the answer was read whole.
func (r *bodyRest) Close() error {
	r.attempt.finish(r.complete && !r.response.Close)
	return nil
}
