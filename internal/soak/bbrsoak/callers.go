package bbrsoak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	callerCount = 8
	callTimeout = 3 * time.Second
	mostTries   = 4
	// lastingWork outlasts every run.
	lastingWork  = "24h"
	lastingUnits = 2
)

// callers submit jobs over connections that they keep, and note what they are
// told.
type callers struct {
	soak   *Soak
	client http.Client

	mu     sync.Mutex
	jobs   map[string]*callersJob
	faults []string
	// versions and waves are how many configurations and waves there were.
	versions, waves int
}

// callersJob is a job as its caller knows it.
type callersJob struct {
	id, pool string
	lasting  bool
	accepted bool
	// open means that an attempt brought no answer, so that it may be stored.
	open bool
	// cancelled means that the caller asked for that.
	cancelled bool
	state     string
}

func newCallers(s *Soak) *callers {
	return &callers{soak: s, jobs: make(map[string]*callersJob), client: http.Client{Timeout: callTimeout}}
}

func (c *callers) fault(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// run lets callers submit until ctx ends.
func (c *callers) run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range callerCount {
		one := &caller{callers: c, random: c.soak.random(uint64(100 + i))}
		wg.Go(func() { one.run(ctx) })
	}
	wg.Wait()
}

// caller is one of the callers.
type caller struct {
	*callers
	random *rand.Rand
	jobs   []*callersJob
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.submit(ctx)
		if len(c.jobs) > 0 {
			job := c.jobs[c.random.IntN(len(c.jobs))]
			if c.random.IntN(8) == 0 {
				c.cancel(ctx, job)
			}
			c.ask(ctx, job, c.entry())
		}
		time.Sleep(between(c.random, 20*time.Millisecond, 200*time.Millisecond))
	}
}

func (c *caller) entry() *entry { return c.soak.entries[c.random.IntN(len(c.soak.entries))] }

// submit hands a job in, at another entry after each failure.
func (c *caller) submit(ctx context.Context) {
	job := &callersJob{id: fmt.Sprintf("%016x", c.random.Uint64()), pool: []string{"press", "proofs"}[c.random.IntN(pools)], lasting: c.random.IntN(40) == 0}
	body := c.body(job)
	c.mu.Lock()
	c.callers.jobs[job.id] = job
	c.mu.Unlock()
	for range 1 + c.random.IntN(mostTries) {
		status, _ := c.call(ctx, http.MethodPost, c.entry(), job, body)
		if status/100 == 2 {
			job.accepted = true
			c.jobs = append(c.jobs, job)
			return
		}
		if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			job.open = true
		}
		time.Sleep(between(c.random, 10*time.Millisecond, 300*time.Millisecond))
	}
}

func (c *caller) body(job *callersJob) []byte {
	if job.lasting {
		return fmt.Appendf(nil, `{"spec":%q,"steps":[{"count":%d,"cpu":100,"mem_mb":10,"estimate_ms":1000,"long_running":true,"may_miss":1}]}`, lastingWork, lastingUnits)
	}
	work := between(c.random, 20*time.Millisecond, 800*time.Millisecond).Round(time.Millisecond)
	first := fmt.Sprintf(`{"count":%d,"cpu":500,"mem_mb":100,"estimate_ms":%d}`, 1+c.random.IntN(3), work.Milliseconds())
	second := fmt.Sprintf(`,{"count":%d,"cpu":500,"mem_mb":100,"estimate_ms":%d,"after":[0]}`, 1+c.random.IntN(3), work.Milliseconds())
	if c.random.IntN(2) == 0 {
		second = ""
	}
	return fmt.Appendf(nil, `{"spec":%q,"steps":[%s%s]}`, work, first, second)
}

func (c *caller) cancel(ctx context.Context, job *callersJob) {
	job.cancelled = true
	c.call(ctx, http.MethodDelete, c.entry(), job, nil)
}

// ask asks for the state of a job that was accepted, and checks the answer
// against what was told before.
func (c *callers) ask(ctx context.Context, job *callersJob, at *entry) {
	status, body := c.call(ctx, http.MethodGet, at, job, nil)
	if status == http.StatusGone {
		c.fault("%s was accepted, and %s does not know it", job.id, at.name)
	}
	var answer struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return
	}
	if job.state != "" && answer.State != job.state {
		c.fault("%s was %s, and is %s at %s", job.id, job.state, answer.State, at.name)
	}
	switch answer.State {
	case "pending", "running":
		return
	case "failed":
		c.fault("%s is said to have failed", job.id)
	case "cancelled":
		if !job.cancelled {
			c.fault("%s is cancelled, and nobody asked for it", job.id)
		}
	}
	job.state = answer.State
}

// call makes a call; status 0 means that no answer came.
func (c *callers) call(ctx context.Context, method string, at *entry, job *callersJob, body []byte) (int, []byte) {
	return c.send(ctx, method, at, "/"+job.pool+"/"+job.id, body)
}

func (c *callers) send(ctx context.Context, method string, at *entry, path string, body []byte) (int, []byte) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+at.callers.String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = "print.example"
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}
