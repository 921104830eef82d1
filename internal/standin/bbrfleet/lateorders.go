package bbrfleet

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// An order that gets no answer is carried out minLateness to maxLateness after its
// arrival.
const minLateness, maxLateness = 100 * time.Millisecond, 4 * time.Second

// SetLateOrders lets a share of the orders to an upstream, 0 to 1, have no answer and take
// effect later, in the incarnation that has the ID by then.
func (f *Fleet) SetLateOrders(number int, share float64) {
	w := f.workers[number%len(f.workers)]
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateShare = share
}

// lateOrderKey marks the context of an order that is carried out late.
type lateOrderKey struct{}

func isLate(r *http.Request) bool { return r.Context().Value(lateOrderKey{}) != nil }

// drawLateness returns by how much to delay an order, 0 for most.
func (w *worker) drawLateness() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if rand.Float64() >= w.lateShare {
		return 0
	}
	return minLateness + rand.N(maxLateness-minLateness)
}

// delayOrders wraps next in the delay of some orders, whether or not their senders still
// wait for an answer.
func (w *worker) delayOrders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		lateness := w.drawLateness()
		if lateness == 0 {
			next.ServeHTTP(out, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err == nil {
			time.Sleep(lateness)
			late := r.WithContext(context.WithValue(context.WithoutCancel(r.Context()), lateOrderKey{}, true))
			late.Body = io.NopCloser(bytes.NewReader(body))
			next.ServeHTTP(&discardWriter{header: make(http.Header)}, late)
		}
		panic(http.ErrAbortHandler) // It closes the connection without an answer.
	})
}
