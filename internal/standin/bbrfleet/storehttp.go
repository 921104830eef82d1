package bbrfleet

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
)

// commitPath is the path of transactions.
const commitPath = "/kv-txn"

func (f *Fleet) routeStore(router *mux.Router) {
	router.HandleFunc("/kv-key", f.serveGet).Methods(http.MethodGet)
	router.HandleFunc("/kv-range", f.serveRange).Methods(http.MethodGet)
	router.HandleFunc("/kv-watch", f.serveWatch).Methods(http.MethodGet)
	router.HandleFunc(commitPath, f.serveCommit).Methods(http.MethodPost)
	router.HandleFunc("/kv-lease", f.serveGrant).Methods(http.MethodPost)
	router.HandleFunc("/kv-keep/{id}", f.serveRenew).Methods(http.MethodPost)
	router.HandleFunc("/kv-lease-end/{id}", f.serveRevoke).Methods(http.MethodDelete)
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// page is the body of a response with several items or events.
type page struct {
	Items  []Item `json:"items,omitempty"`
	Events []Item `json:"events,omitempty"`
	More   bool   `json:"has_more"`
	AsOf   int64  `json:"as_of"`
}

func (f *Fleet) serveGet(w http.ResponseWriter, r *http.Request) {
	item, asOf, ok := f.store.Get(r.URL.Query().Get("key"), time.Now())
	if !ok {
		writeJSON(w, http.StatusNotFound, page{AsOf: asOf})
		return
	}
	writeJSON(w, http.StatusOK, replaceAddresses(r, []Item{item})[0])
}

func (f *Fleet) serveRange(w http.ResponseWriter, r *http.Request) {
	items, asOf := f.store.Range(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"), time.Now())
	items, more := firstPage(items)
	if present, _ := f.faults.current(); present.slowsList(len(items)) {
		time.Sleep(present.ListDelay)
		w = &slowWriter{ResponseWriter: w, bytesPerSecond: present.ListBytesPerSecond}
	}
	writeJSON(w, http.StatusOK, page{Items: replaceAddresses(r, items), More: more, AsOf: asOf})
}

func (f *Fleet) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	events, asOf, gone := f.store.Watch(r.Context(), query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	if gone {
		w.WriteHeader(http.StatusGone)
		return
	}
	writeJSON(w, http.StatusOK, page{Events: replaceAddresses(r, events), AsOf: asOf})
}

func (f *Fleet) serveCommit(w http.ResponseWriter, r *http.Request) {
	var transaction Transaction
	if err := json.NewDecoder(r.Body).Decode(&transaction); err != nil || len(transaction.Conditions)+len(transaction.Puts)+len(transaction.Removals) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, put := range transaction.Puts {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, registrationPrefix) {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	revision, conflict, leaseMissing := f.store.Commit(transaction, time.Now())
	switch {
	case leaseMissing:
		w.WriteHeader(http.StatusNotFound)
	case conflict != nil:
		writeJSON(w, http.StatusPreconditionFailed, page{Items: conflict})
	default:
		writeJSON(w, http.StatusOK, Item{Revision: revision})
	}
}

// leaseBody is the body of calls about leases and of their responses.
type leaseBody struct {
	Lease int64 `json:"lease,omitempty"`
	TTLMs int64 `json:"ttl_ms"`
}

func (f *Fleet) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body leaseBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id := f.store.Grant(time.Duration(body.TTLMs)*time.Millisecond, time.Now())
	writeJSON(w, http.StatusOK, leaseBody{Lease: id, TTLMs: body.TTLMs})
}

// leaseID returns the lease ID of the path, 0 if it is not a number.
func leaseID(r *http.Request) int64 {
	id, _ := strconv.ParseInt(mux.Vars(r)["id"], 10, 64)
	return id
}

func (f *Fleet) serveRenew(w http.ResponseWriter, r *http.Request) {
	ttl, ok := f.store.Renew(leaseID(r), time.Now())
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, leaseBody{TTLMs: ttl.Milliseconds()})
}

func (f *Fleet) serveRevoke(w http.ResponseWriter, r *http.Request) {
	f.store.Revoke(leaseID(r), time.Now())
	writeJSON(w, http.StatusOK, struct{}{})
}
