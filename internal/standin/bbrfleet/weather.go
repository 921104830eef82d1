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

// weather is the present trouble.
type weather struct {
	mu      sync.Mutex
	present CallFaults
	changed chan struct{}
}

// SetCallFaults changes the trouble.
func (f *Fleet) SetCallFaults(present CallFaults) {
	w := &f.weather
	w.mu.Lock()
	defer w.mu.Unlock()
	w.present = present
	if w.changed != nil {
		close(w.changed)
	}
	w.changed = make(chan struct{})
}

func (w *weather) now() (CallFaults, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.changed == nil {
		w.changed = make(chan struct{})
	}
	return w.present, w.changed
}

// pass lets calls through as the weather is.
func (w *weather) pass(next http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		present, changed := w.now()
		if present.Hang {
			select {
			case <-changed:
			case <-r.Context().Done():
			}
			hangUp(out)
			return
		}
		if present.Unavailable {
			out.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(present.Delay)
		if rand.Float64() < present.AnswerLossRate {
			next.ServeHTTP(&unheard{header: make(http.Header)}, r)
			hangUp(out)
			return
		}
		next.ServeHTTP(out, r)
	})
}

// hangUp closes the connection without an answer.
func hangUp(out http.ResponseWriter) {
	hijacker, ok := out.(http.Hijacker)
	if !ok {
		return
	}
	if conn, _, err := hijacker.Hijack(); err == nil {
		_ = conn.Close()
	}
}

// unheard is an answer that goes nowhere.
type unheard struct {
	header http.Header
	bytes.Buffer
}

// Header implements http.ResponseWriter.
func (u *unheard) Header() http.Header { return u.header }

// WriteHeader implements http.ResponseWriter.
func (u *unheard) WriteHeader(int) {}
