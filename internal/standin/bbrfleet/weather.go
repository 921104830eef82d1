package bbrfleet

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Weather is the trouble that the store and the machines' calls have. The zero
// value is none.
type Weather struct {
	// Refuse answers 503, and Silent does not answer until the weather changes.
	Refuse, Silent bool
	// Slow is how much longer each call takes.
	Slow time.Duration
	// Lose is the share of calls that are carried out and not answered.
	Lose float64
}

// weather is the present trouble.
type weather struct {
	mu      sync.Mutex
	present Weather
	changed chan struct{}
}

// SetWeather changes the trouble.
func (f *Fleet) SetWeather(present Weather) {
	w := &f.weather
	w.mu.Lock()
	defer w.mu.Unlock()
	w.present = present
	if w.changed != nil {
		close(w.changed)
	}
	w.changed = make(chan struct{})
}

func (w *weather) now() (Weather, chan struct{}) {
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
		if present.Silent {
			select {
			case <-changed:
			case <-r.Context().Done():
			}
			hangUp(out)
			return
		}
		if present.Refuse {
			out.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(present.Slow)
		if rand.Float64() < present.Lose {
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
