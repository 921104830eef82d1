package bbrupstream

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers that the stand-in reads. WorkHeader has the time that the request takes, in
// milliseconds.
const (
	RequestIDHeader      = "Bbr-Request-Id"
	IdempotencyKeyHeader = "Idempotency-Key"
	WorkHeader           = "Work-Millis"
)

// Faults are the faults injected into requests.
type Faults struct {
	// Hang runs requests and never responds.
	Hang bool `json:"silent"`
	// Truncate closes the connection in the middle of the response body.
	Truncate bool `json:"truncate"`
	// Mismatch returns a request ID other than that of the request.
	Mismatch bool `json:"mismatch"`
	// FailAll gives every response status 500.
	FailAll bool `json:"failAll"`
	// DropAfterRun runs requests and closes the connection without a response.
	DropAfterRun bool `json:"dropAfterRun"`
	// WorkMillis is the time that a request without WorkHeader takes.
	WorkMillis int64 `json:"workMillis"`
}

// Statistics counts the requests of an upstream.
type Statistics struct {
	Runs int `json:"runs"`
	// Running is the number of requests in progress, and MaxRunning its maximum.
	Running    int `json:"running"`
	MaxRunning int `json:"mostRunning"`
	// Interrupted counts the requests that a restart interrupted.
	Interrupted int `json:"cutOff"`
	// RunsByKey counts the runs of each idempotency key.
	RunsByKey map[string]int `json:"runsByKey"`
}

// Server is the stand-in for one upstream.
type Server struct {
	// Name is in the body of every response.
	Name string

	mu         sync.Mutex
	faults     Faults
	statistics Statistics
	// restarted is closed and replaced at each restart.
	restarted chan struct{}
}

// Handler returns the HTTP handler of callers' requests and of the calls that control
// the stand-in.
func (s *Server) Handler() http.Handler {
	router := http.NewServeMux()
	router.HandleFunc("PUT /faults", s.putFaults)
	router.HandleFunc("GET /statistics", s.getStatistics)
	router.HandleFunc("POST /restart", s.restart)
	router.HandleFunc("/", s.serveWork)
	return router
}

// serveWork runs a caller's request and responds as the faults say.
func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	faults, restarted := s.startRequest(r)
	defer s.finishRequest()
	select {
	case <-time.After(workTime(r, faults)):
	case <-restarted:
		s.countInterrupted()
		panic(http.ErrAbortHandler)
	}
	if faults.Hang {
		<-r.Context().Done()
		return
	}
	if faults.DropAfterRun {
		panic(http.ErrAbortHandler)
	}
	s.respond(w, r, faults, body)
}

func workTime(r *http.Request, faults Faults) time.Duration {
	millis, err := strconv.ParseInt(r.Header.Get(WorkHeader), 10, 64)
	if err != nil {
		millis = faults.WorkMillis
	}
	return time.Duration(millis) * time.Millisecond
}

// startRequest counts the start of a request. It returns the present faults and the
// channel that is closed at the next restart.
func (s *Server) startRequest(r *http.Request) (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.restarted == nil {
		s.restarted = make(chan struct{})
	}
	statistics := &s.statistics
	statistics.Runs++
	statistics.Running++
	statistics.MaxRunning = max(statistics.MaxRunning, statistics.Running)
	if key := r.Header.Get(IdempotencyKeyHeader); key != "" {
		if statistics.RunsByKey == nil {
			statistics.RunsByKey = make(map[string]int)
		}
		statistics.RunsByKey[key]++
	}
	return s.faults, s.restarted
}

func (s *Server) finishRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statistics.Running--
}

func (s *Server) countInterrupted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statistics.Interrupted++
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, faults Faults, body []byte) {
	id := r.Header.Get(RequestIDHeader)
	if faults.Mismatch {
		id = "another-request"
	}
	w.Header().Set(RequestIDHeader, id)
	status := http.StatusOK
	if faults.FailAll {
		status = http.StatusInternalServerError
	}
	text := fmt.Sprintf("%s %s %s by %s\n%s", r.Method, r.URL.Path, r.Header.Get(IdempotencyKeyHeader), s.Name, body)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	if faults.Truncate {
		_, _ = io.WriteString(w, text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *Server) getStatistics(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	statistics := s.statistics
	statistics.RunsByKey = maps.Clone(statistics.RunsByKey)
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(statistics)
}

// restart interrupts every request in progress, as a reboot of the instance would.
func (s *Server) restart(_ http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.restarted != nil {
		close(s.restarted)
	}
	s.restarted = make(chan struct{})
}
