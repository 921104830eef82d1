package bbrintake

import (
	"cmp"
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrlimit"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Codec decodes the requests of callers and encodes the answers to them.
type Codec struct {
	// SubmissionBytes returns how many bytes a submitted job takes until it is stored, or
	// an error if it has too many entries or levels. It allocates nothing for them. It is
	// nil if that is not bounded.
	SubmissionBytes func(body []byte) (int64, error)
	// DecodeSubmission decodes a submitted job.
	DecodeSubmission func(body []byte) (*bbrwork.Job, error)
	ValidID          func(id string) bool
	// Key returns the key with which the caller authenticates; empty if there is none.
	Key func(header http.Header) string
	// Timeout returns how long the caller waits, or fallback if the header does not say.
	Timeout     func(header http.Header, fallback time.Duration) time.Duration
	StateBody   func(state bbrwork.State) any
	WaitingBody func(waiting int) any
}

// Handler serves the HTTP requests of callers.
type Handler struct {
	Intake  *Intake
	Codec   Codec
	Metrics *bbrmetric.Set
	// MaxBodyBytes bounds request bodies if the configuration does not.
	MaxBodyBytes int64
	// RequireKeys makes callers of queues that are not public authenticate even if the
	// configuration has no organisations.
	RequireKeys bool

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

// Stop makes the entry not ready, and asks callers to close their connections with
// the next answer.
func (h *Handler) Stop() { h.stopping.Store(true) }

// Ready reports whether the entry can accept jobs.
func (h *Handler) Ready(now time.Time) bool {
	return !h.stopping.Load() && h.Intake.Config() != nil && h.Intake.StoreAvailable(now)
}

// reply is an answer before it is written.
type reply struct {
	code bbrcode.Code
	body any
	// detail explains a refusal; empty for the code's own text.
	detail string
	// retryAfter replaces the code's own time for a retry; 0 for that.
	retryAfter time.Duration
}

// request is a caller's request and the queue that it addresses.
type request struct {
	*http.Request
	queue *bbrwork.Queue
	// id is the part of the path after the queue's prefix.
	id string
	// now is when the request arrived, and deadline when the caller's timeout ends.
	now      time.Time
	deadline time.Time
	// version is the version of the configuration in which the queue was found.
	version int64
	// organisation names the caller's organisation; empty if the queue is public.
	organisation string
	// unknownKey is the digest of a key that was refused, for the log.
	unknownKey string
}

const (
	// defaultTimeout is the timeout of callers that name none.
	defaultTimeout = 3 * time.Second
	// answerMargin is the part of a caller's timeout that is reserved for the transfer of
	// the answer.
	answerMargin = 200 * time.Millisecond
)

// wrap returns an HTTP handler that serves a request within the caller's timeout and
// writes the answer.
func (h *Handler) wrap(serve func(r *request) reply) http.HandlerFunc {
	return func(w http.ResponseWriter, in *http.Request) {
		h.inProgress.Add(1)
		defer h.inProgress.Add(-1)
		now := time.Now()
		r := &request{Request: in, now: now, deadline: now.Add(h.Codec.Timeout(in.Header, defaultTimeout))}
		h.write(w, r, h.route(r, serve))
	}
}

// route finds the request's queue and serves the request.
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
	if code := h.authenticate(r, config); code != 0 {
		return reply{code: code}
	}
	ctx, cancel := context.WithDeadline(r.Context(), r.deadline.Add(-answerMargin))
	defer cancel()
	r.Request = r.Request.WithContext(ctx)
	return serve(r)
}

// needsKey reports whether callers of the queue have to authenticate.
func (h *Handler) needsKey(queue *bbrwork.Queue, config *bbrwork.Config) bool {
	return !queue.Public && (config.Organisations != nil || h.RequireKeys)
}

// authenticate finds the caller's organisation by its key. It returns the code of the
// refusal, or 0 if the caller may use the queue.
func (h *Handler) authenticate(r *request, config *bbrwork.Config) bbrcode.Code {
	if !h.needsKey(r.queue, config) {
		return 0
	}
	key := h.Codec.Key(r.Header)
	if key == "" {
		return bbrcode.KeyMissing
	}
	digest := bbrwork.DigestKey(key)
	organisation := config.OrganisationOf(digest)
	if organisation == nil {
		r.unknownKey = digest.String()
		return bbrcode.KeyUnknown
	}
	r.organisation = organisation.Name
	return 0
}

func (h *Handler) submit(r *request) reply {
	if !h.Codec.ValidID(r.id) {
		return reply{code: bbrcode.BadJob, detail: "the ID must be 16 hexadecimal digits"}
	}
	body, code := h.read(r)
	if code != 0 {
		return reply{code: code}
	}
	job, err := h.decode(r, body)
	if err != nil {
		return reply{code: bbrcode.From(err, bbrcode.BadJob), detail: err.Error()}
	}
	job.Organisation = r.organisation
	code, retryAfter := h.Intake.Submit(r.Context(), job, r.queue, r.id, r.deadline, r.now)
	return reply{code: code, retryAfter: retryAfter}
}

// decode decodes a job. What it takes until it is stored is charged first.
func (h *Handler) decode(r *request, body []byte) (*bbrwork.Job, error) {
	if h.Codec.SubmissionBytes != nil {
		size, err := h.Codec.SubmissionBytes(body)
		if err != nil {
			return nil, err
		}
		if err := bbrlimit.Charge(r.Request, size); err != nil {
			return nil, err
		}
	}
	return h.Codec.DecodeSubmission(body)
}

// read returns the request's body; the code is 0 if that succeeds.
func (h *Handler) read(r *request) ([]byte, bbrcode.Code) {
	limit := h.bodyLimit(h.Intake.Config())
	if r.ContentLength > limit {
		return nil, bbrcode.BodyTooLarge
	}
	bbrlimit.SetDeadline(r.Request, r.deadline)
	body, err := bbrlimit.ReadAll(r.Body, r.ContentLength, limit)
	if err != nil {
		return nil, bbrcode.From(err, bbrcode.BodyIncomplete)
	}
	if int64(len(body)) > limit {
		return nil, bbrcode.BodyTooLarge
	}
	return body, 0
}

// bodyLimit returns the size of the largest body that is accepted, in bytes.
func (h *Handler) bodyLimit(config *bbrwork.Config) int64 {
	if config.Limits.BodyBytes > 0 {
		return int64(config.Limits.BodyBytes)
	}
	return h.MaxBodyBytes
}

// query returns the state of a job or, for a path without an ID, how many jobs of the
// queue are waiting.
func (h *Handler) query(r *request) reply {
	if r.id == "" {
		waiting, code := h.Intake.Waiting(r.Context(), r.queue)
		return reply{code: code, body: h.Codec.WaitingBody(waiting)}
	}
	if !h.Codec.ValidID(r.id) {
		return reply{code: bbrcode.UnknownJob}
	}
	state, code := h.Intake.State(r.Context(), r.queue, r.id, r.organisation, r.now)
	return reply{code: code, body: h.Codec.StateBody(state)}
}

func (h *Handler) cancel(r *request) reply {
	if !h.Codec.ValidID(r.id) {
		return reply{code: bbrcode.UnknownJob}
	}
	return reply{code: h.Intake.Cancel(r.Context(), Cancellation{ID: r.id, Queue: r.queue, Organisation: r.organisation, Deadline: r.deadline}, r.now)}
}

// refusal is the body of the answer to a request that is refused or fails.
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
	if info.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	if retryAfter := cmp.Or(answer.retryAfter, info.RetryAfter); retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
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
		klog.V(1).InfoS("Caller disconnected before the answer was written", "job", r.id, "reason", err.Error())
	}
}

// logAnswer counts the answer and logs it. Answers to queries are logged only if the
// query failed.
func (h *Handler) logAnswer(r *request, code bbrcode.Code, info bbrcode.Info) {
	elapsed := time.Since(r.now)
	h.Metrics.Call(r.Method, code, elapsed)
	if code == bbrcode.StateReported {
		return
	}
	queue := ""
	if r.queue != nil {
		queue = r.queue.Name
	}
	fields := []any{"job", r.id, "method", r.Method, "queue", queue, "config", r.version,
		"code", int(code), "name", info.Name, "status", info.Status, "took", elapsed.Round(time.Millisecond)}
	if r.organisation != "" {
		fields = append(fields, "organisation", r.organisation)
	}
	if r.unknownKey != "" {
		fields = append(fields, "keyDigest", r.unknownKey)
	}
	klog.InfoS("Answered", fields...)
}
