// Package bbrsubmitter submits a bounded, seeded load of jobs to entries, asks
// for their states until they end, and counts what callers got.
package bbrsubmitter

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Load describes the jobs.
type Load struct {
	Entries []netip.AddrPort
	Host    string
	Prefix  string
	Jobs    int
	// Pause is between two submissions.
	Pause time.Duration
	// Units is the width of each of a job's two steps.
	Units int
	// Work is how long a work unit takes.
	Work time.Duration
	// Timeout bounds the wait for the end of a job.
	Timeout time.Duration
	Seed    uint64
}

// Counts is what callers got.
type Counts struct {
	Jobs, Accepted, Refused, Completed, Ended, Unfinished, Retries int
	// Times from the first submission to the state completed.
	Median, Slowest time.Duration
}

// Good tells whether every job was accepted and completed.
func (c Counts) Good() bool { return c.Completed == c.Jobs }

type submission struct {
	load   *Load
	id     string
	random *rand.Rand
	client *http.Client

	mu     *sync.Mutex
	counts *Counts
	times  *[]time.Duration
}

const (
	callTimeout = 3 * time.Second
	askEvery    = 100 * time.Millisecond
)

// Run submits all jobs and waits for their ends.
func (l *Load) Run(ctx context.Context) Counts {
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := Counts{Jobs: l.Jobs}
	var times []time.Duration
	client := &http.Client{Timeout: callTimeout}
	for i := range l.Jobs {
		s := &submission{
			load: l, random: rand.New(rand.NewPCG(l.Seed, uint64(i))), client: client,
			mu: &mu, counts: &counts, times: &times,
		}
		s.id = fmt.Sprintf("%016x", s.random.Uint64())
		wg.Go(func() { s.run(ctx) })
		time.Sleep(l.Pause)
	}
	wg.Wait()
	slices.Sort(times)
	if len(times) > 0 {
		counts.Median, counts.Slowest = times[len(times)/2], times[len(times)-1]
	}
	return counts
}

func (s *submission) run(ctx context.Context) {
	began := time.Now()
	limit := began.Add(s.load.Timeout)
	if !s.submit(ctx, limit) {
		return
	}
	state := s.await(ctx, limit)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case "completed":
		s.counts.Completed++
		*s.times = append(*s.times, time.Since(began))
	case "failed", "cancelled":
		s.counts.Ended++
	default:
		s.counts.Unfinished++
	}
}

// submit hands the job in, at another entry after each failure.
func (s *submission) submit(ctx context.Context, limit time.Time) bool {
	for time.Now().Before(limit) {
		status, _ := s.call(ctx, http.MethodPost, s.body())
		if status >= 200 && status < 300 {
			s.count(func(c *Counts) { c.Accepted++ })
			return true
		}
		s.count(func(c *Counts) { c.Retries++ })
		time.Sleep(askEvery)
	}
	s.count(func(c *Counts) { c.Refused++ })
	return false
}

func (s *submission) count(change func(c *Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.counts)
}

func (s *submission) body() []byte {
	step := map[string]any{"count": s.load.Units, "cpu": 500, "mem_mb": 100, "estimate_ms": s.load.Work.Milliseconds()}
	second := map[string]any{"count": s.load.Units, "cpu": 500, "mem_mb": 100, "estimate_ms": s.load.Work.Milliseconds(), "after": []int{0}}
	data, err := json.Marshal(map[string]any{"spec": s.load.Work.String(), "steps": []any{step, second}})
	if err != nil {
		panic(err) // Only strings and numbers: it cannot fail.
	}
	return data
}

func (s *submission) await(ctx context.Context, limit time.Time) string {
	for time.Now().Before(limit) && ctx.Err() == nil {
		var answer struct {
			State string `json:"state"`
		}
		status, body := s.call(ctx, http.MethodGet, nil)
		if status == http.StatusOK && json.Unmarshal(body, &answer) == nil && answer.State != "pending" && answer.State != "running" {
			return answer.State
		}
		time.Sleep(askEvery)
	}
	return ""
}

// call makes a call at any entry; status 0 means that no answer came.
func (s *submission) call(ctx context.Context, method string, body []byte) (int, []byte) {
	entry := s.load.Entries[s.random.IntN(len(s.load.Entries))]
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry.String()+s.load.Prefix+s.id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = s.load.Host
	response, err := s.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	var out bytes.Buffer
	if _, err := out.ReadFrom(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, out.Bytes()
}
