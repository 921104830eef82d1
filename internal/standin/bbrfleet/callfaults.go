package bbrfleet

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// CallFaults are the faults injected into all calls to the fleet's handler. The zero
// value injects none.
type CallFaults struct {
	// Unavailable makes calls fail with status 503. Hang leaves them without a
	// response until the faults change, and then closes the connection.
	Unavailable, Hang bool
	// Delay is added to the duration of each call.
	Delay time.Duration
	// AnswerLossRate is the share of calls, 0 to 1, that take effect and whose
	// connection is closed without a response.
	AnswerLossRate float64
	// LateCommitRate is the share of transactions, 0 to 1, whose connection is closed without a
	// response and that are done minCommitDelay to maxCommitDelay later if their conditions
	// hold then.
	LateCommitRate float64
	// ListDelay is how long the store takes to begin the response to a large list, and
	// ListBytesPerSecond how fast it sends the body; 0 for no limit. Other calls are
	// served at once.
	ListDelay          time.Duration
	ListBytesPerSecond int
}

const minCommitDelay, maxCommitDelay = time.Second, 6 * time.Second

// largeListItems is the number of items from which a page of a list is large.
const largeListItems = 50

// slowsList reports whether the response to a list with so many items is slow.
func (c CallFaults) slowsList(itemCount int) bool {
	return itemCount >= largeListItems && (c.ListDelay > 0 || c.ListBytesPerSecond > 0)
}

// faultInjector injects the present faults into calls.
type faultInjector struct {
	mu     sync.Mutex
	faults CallFaults
	// changed is closed and replaced when the faults change.
	changed chan struct{}
}

// SetCallFaults replaces the injected faults.
func (f *Fleet) SetCallFaults(faults CallFaults) {
	injector := &f.faults
	injector.mu.Lock()
	defer injector.mu.Unlock()
	injector.faults = faults
	if injector.changed != nil {
		close(injector.changed)
	}
	injector.changed = make(chan struct{})
}

// current returns the present faults and the channel that is closed when they
// change.
func (injector *faultInjector) current() (CallFaults, chan struct{}) {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	if injector.changed == nil {
		injector.changed = make(chan struct{})
	}
	return injector.faults, injector.changed
}

// middleware wraps next in the injection of the present faults.
func (injector *faultInjector) middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		present, changed := injector.current()
		if present.Hang {
			select {
			case <-changed:
			case <-r.Context().Done():
			}
			closeConnection(out)
			return
		}
		if present.Unavailable {
			out.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(present.Delay)
		if r.URL.Path == commitPath && rand.Float64() < present.LateCommitRate {
			serveLate(next, r, minCommitDelay+rand.N(maxCommitDelay-minCommitDelay))
			closeConnection(out)
			return
		}
		if rand.Float64() < present.AnswerLossRate {
			next.ServeHTTP(&discardWriter{header: make(http.Header)}, r)
			closeConnection(out)
			return
		}
		next.ServeHTTP(out, r)
	})
}

// serveLate serves a call after a delay, whether or not its caller still waits.
func serveLate(next http.Handler, r *http.Request, delay time.Duration) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	late := r.WithContext(context.WithoutCancel(r.Context()))
	late.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(delay, func() { next.ServeHTTP(&discardWriter{header: make(http.Header)}, late) })
}

// closeConnection closes the connection without a response.
func closeConnection(out http.ResponseWriter) {
	hijacker, ok := out.(http.Hijacker)
	if !ok {
		return
	}
	if conn, _, err := hijacker.Hijack(); err == nil {
		_ = conn.Close()
	}
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct {
	header http.Header
	bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *discardWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *discardWriter) WriteHeader(int) {}
