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
	maxAttempts = 4
)

// callers submit jobs over connections that they keep, and note what they are
// told.
type callers struct {
	soak   *Soak
	client http.Client

	mu     sync.Mutex
	jobs   map[string]*submittedJob
	faults []string
	// configCount and waves are how many configurations and waves there were.
	configCount, waveCount int
}

func newCallers(s *Soak) *callers {
	return &callers{soak: s, jobs: make(map[string]*submittedJob), client: http.Client{Timeout: callTimeout}}
}

func (c *callers) reportFault(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportFaultLocked(format, args...)
}

// reportFaultLocked is fault where mu is held.
func (c *callers) reportFaultLocked(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *callers) isStalled(job *submittedJob) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return job.stalled
}

// run lets callers submit until ctx ends.
func (c *callers) run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range callerCount {
		each := &caller{callers: c, random: c.soak.random(uint64(100 + i))}
		each.mayRunLong = (i+1)*longRunningUnits <= longRunningUnitsPer100*c.soak.UpstreamCount/100
		wg.Go(func() { each.run(ctx) })
	}
	wg.Wait()
}

// caller is one of the callers.
type caller struct {
	*callers
	random *rand.Rand
	jobs   []*submittedJob
	// mayRunLong means that the caller may have a lasting job, and lasting is the one
	// that it has.
	mayRunLong  bool
	longRunning *submittedJob
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.mayRunLong && (c.longRunning == nil || c.random.IntN(jobsPerLongRunningJob) == 0) {
			c.replaceLongRunningJob(ctx)
		}
		job := c.newSmallJob()
		if c.random.IntN(jobsPerLargeJob) == 0 {
			job = c.newLargeJob()
		}
		c.submit(ctx, job)
		if len(c.jobs) > 0 {
			job := c.jobs[c.random.IntN(len(c.jobs))]
			if c.random.IntN(8) == 0 {
				c.cancel(ctx, job)
			}
			c.checkState(ctx, job, c.entry())
		}
		time.Sleep(randomDuration(c.random, 20*time.Millisecond, 200*time.Millisecond))
	}
	// The last job meets the pools as lasting work left them.
	c.submit(context.WithoutCancel(ctx), c.newLargeJob())
}

func (c *caller) entry() *entry { return c.soak.entries[c.random.IntN(len(c.soak.entries))] }

// replaceLongRunningJob cancels the lasting job and submits another one.
func (c *caller) replaceLongRunningJob(ctx context.Context) {
	if c.longRunning != nil {
		c.cancel(ctx, c.longRunning)
	}
	c.longRunning = c.newLongRunningJob()
	c.submit(ctx, c.longRunning)
}

// submit hands a job in, at another entry after each failure.
func (c *caller) submit(ctx context.Context, job *submittedJob) {
	body := job.body()
	c.mu.Lock()
	c.callers.jobs[job.id] = job
	c.mu.Unlock()
	for range 1 + c.random.IntN(maxAttempts) {
		status, _ := c.call(ctx, http.MethodPost, c.entry(), job, body)
		if status/100 == 2 {
			c.mu.Lock()
			job.accepted = true
			c.mu.Unlock()
			c.jobs = append(c.jobs, job)
			return
		}
		if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			job.outcomeUnknown = true
		}
		time.Sleep(randomDuration(c.random, 10*time.Millisecond, 300*time.Millisecond))
	}
}

func (c *caller) cancel(ctx context.Context, job *submittedJob) {
	c.mu.Lock()
	job.cancelled = true
	c.mu.Unlock()
	c.call(ctx, http.MethodDelete, c.entry(), job, nil)
}

// checkState asks for the state of a job that was accepted, and checks the answer
// against what was told before.
func (c *callers) checkState(ctx context.Context, job *submittedJob, at *entry) {
	status, body := c.call(ctx, http.MethodGet, at, job, nil)
	if status == http.StatusGone {
		c.reportFault("%s was accepted, and %s does not know it", job.id, at.name)
	}
	var answer struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return
	}
	if job.state != "" && answer.State != job.state {
		c.reportFault("%s was %s, and is %s at %s", job.id, job.state, answer.State, at.name)
	}
	switch answer.State {
	case "pending", "running":
		return
	case "failed":
		c.reportFault("%s is said to have failed", job.id)
	case "cancelled":
		if !job.cancelled {
			c.reportFault("%s is cancelled, and nobody asked for it", job.id)
		}
	}
	c.mu.Lock()
	job.state = answer.State
	c.mu.Unlock()
}

// call makes a call; status 0 means that no answer came.
func (c *callers) call(ctx context.Context, method string, at *entry, job *submittedJob, body []byte) (int, []byte) {
	return c.send(ctx, method, at, "/"+job.pool+"/"+job.id, body)
}

func (c *callers) send(ctx context.Context, method string, at *entry, path string, body []byte) (int, []byte) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+at.callerAddress.String()+path, bytes.NewReader(body))
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
