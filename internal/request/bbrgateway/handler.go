package bbrgateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/request/bbranswer"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrjob"
)

// TicketPath is the path where callers obtain a ticket: an idempotency key that
// needs no claim in the platform, because it names its holder.
const TicketPath = "/_tickets"

// ReadyPath is the path of the platform's load balancer checks.
const ReadyPath = "/_ready"

// Ticket is the body of the answer to a request for a ticket.
type Ticket struct {
	IdempotencyKey string `json:"idempotencyKey"`
}

// Handler returns the handler of callers' requests. The first element of a
// request's path names its queue.
func (g *Gateway) Handler() http.Handler {
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.HandleFunc(ReadyPath, g.serveReady)
	router.HandleFunc(TicketPath, g.serveTicket).Methods(http.MethodPost)
	router.HandleFunc("/{queue}", g.serveRequest)
	router.PathPrefix("/{queue}/").HandlerFunc(g.serveRequest)
	router.NotFoundHandler = http.HandlerFunc(g.serveRequest)
	return router
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (g *Gateway) serveTicket(w http.ResponseWriter, _ *http.Request) {
	id := uuid.NewString()
	if g.stopping.Load() {
		g.write(w, bbranswer.Refuse(bbrcode.ShuttingDown, "", ""), id)
		return
	}
	key, err := g.IssueTicket(time.Now())
	if err != nil {
		g.write(w, bbranswer.FromError(err, bbrcode.TooManyKeys), id)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Ticket{IdempotencyKey: key})
}

func (g *Gateway) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := uuid.NewString()
	w.Header().Set(bbranswer.EntryHeader, g.State.Identity.Name)
	if code := g.enter(); code != 0 {
		w.Header().Set("Connection", "close")
		g.write(w, bbranswer.Refuse(code, "", ""), id)
		return
	}
	defer g.leave()
	job, err := g.read(w, r, id)
	if err != nil {
		g.write(w, bbranswer.FromError(err, bbrcode.BadRequest), id)
		return
	}
	g.write(w, g.Serve(r.Context(), job, time.Now()), id)
}

// read reads the complete request within ReadTimeout. The read deadline is
// removed before the request runs, because it would cancel the request's
// context.
func (g *Gateway) read(w http.ResponseWriter, r *http.Request, id string) (*bbrjob.Job, error) {
	controller := http.NewResponseController(w)
	if r.ContentLength != 0 {
		_ = controller.SetReadDeadline(time.Now().Add(g.ReadTimeout))
	}
	job, err := bbrjob.Read(r, mux.Vars(r)["queue"], id, g.MaxBodyBytes)
	if r.ContentLength != 0 {
		_ = controller.SetReadDeadline(time.Time{})
	}
	return job, err
}

// write sends the answer. If that fails, it aborts the caller's connection, so
// that the caller cannot take a partial answer for a complete one.
func (g *Gateway) write(w http.ResponseWriter, answer *bbranswer.Answer, id string) {
	defer answer.Close()
	g.Metrics.Answer(answer.Code)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(g.WriteTimeout))
	if err := answer.Write(w, id); err != nil {
		g.Metrics.Refusal(bbrcode.StreamAborted)
		panic(http.ErrAbortHandler)
	}
}
