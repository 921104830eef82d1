package bbrintake

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Codec reads and writes what callers speak.
type Codec struct {
	// DecodeSubmission reads a submitted job.
	DecodeSubmission func(body []byte) (*bbrwork.Job, error)
	ValidID          func(id string) bool
	// Timeout returns how long the caller waits.
	Timeout     func(header http.Header, fallback time.Duration) time.Duration
	StateBody   func(state bbrwork.State) any
	WaitingBody func(waiting int) any
}

// Handler serves callers.
type Handler struct {
	Intake  *Intake
	Codec   Codec
	Metrics *bbrmetric.Set
	// MaxBodyBytes is the bound where the configuration has none.
	MaxBodyBytes int64

	stopping   atomic.Bool
	inProgress atomic.Int64
}

// Router returns the HTTP handler.
func (h *Handler) Router() http.Handler {
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.PathPrefix("/").Methods(http.MethodPost).HandlerFunc(h.wrap(h.submit))
	router.PathPrefix("/").Methods(http.MethodGet).HandlerFunc(h.wrap(h.query))
	router.PathPrefix("/").Methods(http.MethodDelete).HandlerFunc(h.wrap(h.cancel))
	return router
}

// Stop makes the handler ask callers to use other connections.
func (h *Handler) Stop() { h.stopping.Store(true) }

// Ready tells whether the entry can take jobs.
func (h *Handler) Ready(now time.Time) bool {
	return !h.stopping.Load() && h.Intake.Config() != nil && h.Intake.StoreAvailable(now)
}

// reply is an answer before it is written.
type reply struct {
	code bbrcode.Code
	body any
	// detail explains a refusal.
	detail string
}

// request is a caller's call with its queue.
type request struct {
	*http.Request
	queue *bbrwork.Queue
	// id is what follows the queue's prefix.
	id       string
	now      time.Time
	deadline time.Time
	// version is that of the configuration that found the queue.
	version int64
}

const (
	// defaultTimeout is how long a caller waits that does not say.
	defaultTimeout = 3 * time.Second
	// answerMargin is left of a caller's time for the answer's way.
	answerMargin = 200 * time.Millisecond
)

// wrap finds the queue, bounds the time and writes the answer.
func (h *Handler) wrap(serve func(r *request) reply) http.HandlerFunc {
	return func(w http.ResponseWriter, in *http.Request) {
		h.inProgress.Add(1)
		defer h.inProgress.Add(-1)
		now := time.Now()
		r := &request{Request: in, now: now, deadline: now.Add(h.Codec.Timeout(in.Header, defaultTimeout))}
		h.write(w, r, h.route(r, serve))
	}
}

func (h *Handler) route(r *request, serve func(r *request) reply) reply {
	config := h.Intake.Config()
	if config == nil {
		return reply{code: bbrcode.NotReady}
	}
	r.version = config.Version
	r.queue, r.id = config.FindQueue(r.Host, r.URL.Path)
	if r.queue == nil {
		return reply{code: bbrcode.UnknownQueue}
	}
	ctx, cancel := context.WithDeadline(r.Context(), r.deadline.Add(-answerMargin))
	defer cancel()
	r.Request = r.Request.WithContext(ctx)
	return serve(r)
}

func (h *Handler) submit(r *request) reply {
	if !h.Codec.ValidID(r.id) {
		return reply{code: bbrcode.BadJob, detail: "the ID must be 16 hexadecimal digits"}
	}
	body, code := h.read(r)
	if code != 0 {
		return reply{code: code}
	}
	job, err := h.Codec.DecodeSubmission(body)
	if err != nil {
		return reply{code: bbrcode.From(err, bbrcode.BadJob), detail: err.Error()}
	}
	return reply{code: h.Intake.Submit(job, r.queue, r.id, r.deadline, r.now)}
}

func (h *Handler) read(r *request) ([]byte, bbrcode.Code) {
	limit := h.MaxBodyBytes
	if config := h.Intake.Config(); config.Limits.BodyBytes > 0 {
		limit = int64(config.Limits.BodyBytes)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, bbrcode.BodyIncomplete
	}
	if int64(len(body)) > limit {
		return nil, bbrcode.BodyTooLarge
	}
	return body, 0
}

func (h *Handler) query(r *request) reply {
	if r.id == "" {
		waiting, code := h.Intake.Waiting(r.Context(), r.queue)
		return reply{code: code, body: h.Codec.WaitingBody(waiting)}
	}
	if !h.Codec.ValidID(r.id) {
		return reply{code: bbrcode.UnknownJob}
	}
	state, code := h.Intake.State(r.Context(), r.queue, r.id, r.now)
	return reply{code: code, body: h.Codec.StateBody(state)}
}

func (h *Handler) cancel(r *request) reply {
	if !h.Codec.ValidID(r.id) {
		return reply{code: bbrcode.UnknownJob}
	}
	return reply{code: h.Intake.Cancel(r.Context(), r.id)}
}

// refusal is the body of an answer that is not what was asked for.
type refusal struct {
	Code   bbrcode.Code `json:"code"`
	Name   string       `json:"name"`
	Detail string       `json:"detail"`
}

func (h *Handler) write(w http.ResponseWriter, r *request, answer reply) {
	info := answer.code.Info()
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if info.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(info.RetryAfter.Seconds()))))
	}
	success := info.Status < http.StatusMultipleChoices
	body := answer.body
	if !success {
		body = refusal{Code: answer.code, Name: info.Name, Detail: cmp.Or(answer.detail, info.Text)}
	}
	h.logAnswer(r, answer.code, info)
	if body == nil {
		w.WriteHeader(info.Status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(info.Status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		klog.V(1).InfoS("Caller left before the answer", "job", r.id, "reason", err.Error())
	}
}

// logAnswer notes the answer. Questions that are answered leave no line.
func (h *Handler) logAnswer(r *request, code bbrcode.Code, info bbrcode.Info) {
	elapsed := time.Since(r.now)
	h.Metrics.Call(r.Method, code, elapsed)
	if code == bbrcode.StateTold {
		return
	}
	queue := ""
	if r.queue != nil {
		queue = r.queue.Name
	}
	klog.InfoS("Answered", "job", r.id, "method", r.Method, "queue", queue, "config", r.version,
		"code", int(code), "name", info.Name, "status", info.Status, "took", elapsed.Round(time.Millisecond))
}
