package bbrplatform

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/bluebellridge/bluebellridge/internal/platform/bbrlist"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrstore"
)

const maxBodyBytes = 2 << 20

// Server serves the platform's HTTP protocol. Its zero value is an empty platform,
// ready for use.
type Server struct {
	KeyValue KeyValue
	Fleet    Fleet

	faults faultInjector
	mu     sync.Mutex
	// calls counts the calls of daemons by name.
	calls map[string]int
}

// Handler returns the HTTP handler of the platform's protocol and of the calls that
// control the stand-in.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter().UseEncodedPath()
	router.HandleFunc("/faults", s.putFaults).Methods(http.MethodPut)
	router.HandleFunc("/calls", s.getCalls).Methods(http.MethodGet)
	router.HandleFunc("/instances", s.putInstance).Methods(http.MethodPut)
	router.HandleFunc("/instances/{id}", s.deleteInstance).Methods(http.MethodDelete)
	s.handle(router, http.MethodGet, "/v1/kv/{key}", "get", s.get)
	s.handle(router, http.MethodPut, "/v1/kv/{key}", "swap", s.swap)
	s.handle(router, http.MethodGet, "/v1/watch/{key}", "watch", s.watch)
	s.handle(router, http.MethodGet, "/v1/keys", "keys", s.keys)
	s.handle(router, http.MethodPost, "/v1/leases", "grant", s.grant)
	s.handle(router, http.MethodPut, "/v1/leases/{id}", "renew", s.renew)
	s.handle(router, http.MethodDelete, "/v1/leases/{id}", "revoke", s.revoke)
	s.handle(router, http.MethodGet, "/v1/instances", "list", s.list)
	s.handle(router, http.MethodPost, "/v1/instances/{id}/reboot", "reboot", s.reboot)
	return router
}

// apiCall carries out a call and returns the body of the response.
type apiCall func(r *http.Request, now time.Time) (any, error)

// handle routes a call of the platform's protocol. The handler counts the call,
// applies the faults and encodes the result.
func (s *Server) handle(router *mux.Router, method, path, name string, handler apiCall) {
	router.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		s.countCall(name)
		time.Sleep(s.faults.delay())
		if s.faults.refuses(r.Header.Get(bbrstore.ClientHeader)) {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		result, err := handler(r, time.Now())
		if method != http.MethodGet && s.faults.losesAnswer() {
			panic(http.ErrAbortHandler)
		}
		writeResult(w, result, err)
	}).Methods(method)
}

func (s *Server) countCall(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls == nil {
		s.calls = make(map[string]int)
	}
	s.calls[name]++
}

// writeResult writes the result as JSON, or the status that belongs to the error.
func writeResult(w http.ResponseWriter, result any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(result)
	case errors.Is(err, bbrstore.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, bbrstore.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, bbrstore.ErrUnchanged):
		w.WriteHeader(http.StatusNotModified)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// pathVariable returns the unescaped value of a path variable, empty if it cannot be
// unescaped.
func pathVariable(r *http.Request, name string) string {
	value, err := url.PathUnescape(mux.Vars(r)[name])
	if err != nil {
		return ""
	}
	return value
}

// knownVersion returns the version that the caller has, 0 for none.
func knownVersion(r *http.Request) uint64 {
	version, _ := strconv.ParseUint(r.URL.Query().Get("known"), 10, 64)
	return version
}

func (s *Server) get(r *http.Request, now time.Time) (any, error) {
	value, ok, _ := s.KeyValue.Get(now, pathVariable(r, "key"))
	if !ok {
		return nil, bbrstore.ErrNotFound
	}
	if value.Version == knownVersion(r) {
		return nil, bbrstore.ErrUnchanged
	}
	return bbrstore.ValueBody{Value: value.Data, Version: value.Version}, nil
}

func (s *Server) swap(r *http.Request, now time.Time) (any, error) {
	var body bbrstore.ValueBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return nil, err
	}
	version, err := s.KeyValue.CompareAndSwap(now, pathVariable(r, "key"), body.Version, body.Value, body.Lease)
	return bbrstore.ValueBody{Version: version}, err
}

func (s *Server) watch(r *http.Request, now time.Time) (any, error) {
	millis, _ := strconv.ParseInt(r.URL.Query().Get("waitMillis"), 10, 64)
	timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timer.Stop()
	for {
		value, ok, changed := s.KeyValue.Get(now, pathVariable(r, "key"))
		if ok && value.Version != knownVersion(r) {
			return bbrstore.ValueBody{Value: value.Data, Version: value.Version}, nil
		}
		select {
		case <-changed:
			now = time.Now()
		case <-timer.C:
			return nil, bbrstore.ErrUnchanged
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
}

func (s *Server) keys(r *http.Request, now time.Time) (any, error) {
	return bbrstore.KeysBody{Keys: s.KeyValue.Keys(now, r.URL.Query().Get("prefix"))}, nil
}

func (s *Server) grant(r *http.Request, now time.Time) (any, error) {
	var body bbrstore.LeaseBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return nil, err
	}
	body.ID = s.KeyValue.Grant(now, time.Duration(body.TTLMillis)*time.Millisecond)
	return body, nil
}

func (s *Server) renew(r *http.Request, now time.Time) (any, error) {
	if !s.KeyValue.Renew(now, bbrstore.LeaseID(pathVariable(r, "id"))) {
		return nil, bbrstore.ErrNotFound
	}
	return struct{}{}, nil
}

func (s *Server) revoke(r *http.Request, now time.Time) (any, error) {
	s.KeyValue.Revoke(now, bbrstore.LeaseID(pathVariable(r, "id")))
	return struct{}{}, nil
}

func (s *Server) list(r *http.Request, now time.Time) (any, error) {
	return bbrlist.ListBody{Instances: s.Fleet.List(now, r.URL.Query().Get("zone"))}, nil
}

func (s *Server) reboot(r *http.Request, now time.Time) (any, error) {
	var body bbrlist.RebootBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return nil, err
	}
	if !s.Fleet.Reboot(now, pathVariable(r, "id"), body.Operation) {
		return nil, bbrstore.ErrNotFound
	}
	return struct{}{}, nil
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.faults.set(faults)
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.calls)
}

func (s *Server) putInstance(w http.ResponseWriter, r *http.Request) {
	var instance bbrlist.Instance
	if err := json.NewDecoder(r.Body).Decode(&instance); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Fleet.Put(time.Now(), instance)
}

func (s *Server) deleteInstance(_ http.ResponseWriter, r *http.Request) {
	s.Fleet.Remove(time.Now(), pathVariable(r, "id"))
}
