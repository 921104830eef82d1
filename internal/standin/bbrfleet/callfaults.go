package bbrfleet

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// CallFaults is the trouble that the store and the machines' calls have. The zero
// value is none.
type CallFaults struct {
	// Unavailable answers 503, and Silent does not answer until the weather changes.
	Unavailable, Hang bool
	// Delay is how much longer each call takes.
	Delay time.Duration
	// AnswerLossRate is the share of calls that are carried out and not answered.
	AnswerLossRate float64
}

// faultInjector is the present trouble.
type faultInjector struct {
	mu      sync.Mutex
	faults  CallFaults
	changed chan struct{}
}

// SetCallFaults changes the trouble.
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

func (injector *faultInjector) current() (CallFaults, chan struct{}) {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	if injector.changed == nil {
		injector.changed = make(chan struct{})
	}
	return injector.faults, injector.changed
}

// middleware lets calls through as the weather is.
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
		if rand.Float64() < present.AnswerLossRate {
			next.ServeHTTP(&discardWriter{header: make(http.Header)}, r)
			closeConnection(out)
			return
		}
		next.ServeHTTP(out, r)
	})
}

// closeConnection closes the connection without an answer.
func closeConnection(out http.ResponseWriter) {
	hijacker, ok := out.(http.Hijacker)
	if !ok {
		return
	}
	if conn, _, err := hijacker.Hijack(); err == nil {
		_ = conn.Close()
	}
}

// discardWriter is an answer that goes nowhere.
type discardWriter struct {
	header http.Header
	bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *discardWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *discardWriter) WriteHeader(int) {}
