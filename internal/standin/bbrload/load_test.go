package bbrload

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/standin/bbrfleet"
)

// jobServer accepts jobs as an entry does. It refuses the first submission of each job
// and ends the job as soon as it accepts it.
type jobServer struct {
	mu sync.Mutex
	// seen counts the submissions of each job.
	seen map[string]int
	// state has the state in which each job ended.
	state map[string]string
}

func (s *jobServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := filepath.Base(r.URL.Path)
	switch r.Method {
	case http.MethodPost:
		s.seen[id]++
		if s.seen[id] == 1 {
			w.Header().Set("Retry-After", "0")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		body, _ := io.ReadAll(r.Body)
		s.state[id] = "completed"
		if bytes.Contains(body, []byte(bbrfleet.PoisonSpec)) {
			s.state[id] = "failed"
		}
	case http.MethodDelete:
		s.state[id] = "cancelled"
	case http.MethodGet:
		_ = json.NewEncoder(w).Encode(map[string]string{"state": s.state[id]})
	}
}

func runLoad(t *testing.T, handler http.Handler) Report {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	load := Load{
		Entries: []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))},
		Host:    "print.example", Jobs: 60, MeanInterval: time.Millisecond, BurstDuration: 20 * time.Millisecond,
		Classes:        []Class{{Name: "press", Prefix: "/press/", Units: 1, Steps: 2, Work: time.Millisecond}, {Name: "proofs", Prefix: "/proofs/", Units: 1, Work: time.Millisecond}},
		CancelledShare: 0.2, PoisonedShare: 0.2, Timeout: 20 * time.Second, Seed: 7,
	}
	return load.Run(t.Context())
}

// TestReportCountsEachJobOnce checks that the report counts every job with its final
// state, and every refused submission.
func TestReportCountsEachJobOnce(t *testing.T) {
	report := runLoad(t, &jobServer{seen: make(map[string]int), state: make(map[string]string)})
	all := report.Summarize("")
	require.True(t, all.AllEnded())
	require.Equal(t, 60, all.Jobs)
	require.Equal(t, 60, all.Accepted)
	require.Equal(t, 60, all.Refusals)
	require.Positive(t, all.Failed)
	require.Positive(t, all.Cancelled)
	require.Equal(t, []string{"press", "proofs"}, report.Classes())
	require.Equal(t, all.Jobs, report.Summarize("press").Jobs+report.Summarize("proofs").Jobs)

	var table bytes.Buffer
	report.Name = "first"
	require.NoError(t, Table(&table, &report, &report))
	require.Equal(t, 7, strings.Count(table.String(), "\n"), table.String())
	plot := filepath.Join(t.TempDir(), "load.svg")
	require.NoError(t, Plot(plot, &report))
	drawn, err := os.ReadFile(plot)
	require.NoError(t, err)
	require.Contains(t, string(drawn), "first proofs")
}

// TestSeedDeterminesJobs checks that the same seed gives the same jobs, so that two
// builds can be compared.
func TestSeedDeterminesJobs(t *testing.T) {
	load := Load{Classes: make([]Class, 3), Seed: 7, BurstDuration: time.Second, CancelledShare: 0.5, PoisonedShare: 0.5}
	for number := range 50 {
		first := load.newCaller(number, &load.Classes[0], nil)
		again := load.newCaller(number, &load.Classes[0], nil)
		require.Equal(t, first.id, again.id)
		require.Equal(t, first.cancelsJob, again.cancelsJob)
		require.Equal(t, first.poisoned, again.poisoned)
	}
}

// TestBurstFavoursOneClass checks that a class gets most of the jobs during its demand
// burst.
func TestBurstFavoursOneClass(t *testing.T) {
	load := Load{Classes: make([]Class, 4), BurstDuration: time.Second}
	random := rand.New(rand.NewPCG(1, 1))
	inBurst := 0
	for range 1000 {
		if load.classAt(2500*time.Millisecond, random) == &load.Classes[2] {
			inBurst++
		}
	}
	require.Greater(t, inBurst, 800)
}

// TestUnansweredAttemptsCountAsLost checks that submissions without a response are
// counted as lost and not as refused.
func TestUnansweredAttemptsCountAsLost(t *testing.T) {
	load := Load{
		Entries: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, Jobs: 2, Timeout: 300 * time.Millisecond,
		Classes: []Class{{Name: "press", Prefix: "/press/", Units: 1}},
	}
	report := load.Run(t.Context())
	all := report.Summarize("")
	require.Zero(t, all.Refusals)
	require.Positive(t, all.Lost)
	require.Equal(t, 2, all.Unfinished)
	require.False(t, all.AllEnded())
}
