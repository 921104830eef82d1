package bbrload

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/standin/bbrfleet"
)

const (
	callTimeout     = 3 * time.Second
	pollInterval    = 100 * time.Millisecond
	idleConnections = 64
)

// caller submits one job and polls its state until it ends.
type caller struct {
	load   *Load
	class  *Class
	id     string
	random *rand.Rand
	client *http.Client
	// cancelsJob means that the caller cancels the job once it is accepted, and
	// poisoned that the work units of the job always fail.
	cancelsJob, poisoned bool
	outcome              *Outcome
}

// run submits the job, cancels it if it is one of those to be cancelled, and records
// the outcome.
func (c *caller) run(ctx context.Context, loadStart time.Time) {
	submitted := time.Now()
	deadline := submitted.Add(c.load.Timeout)
	*c.outcome = Outcome{Class: c.class.Name, Job: c.id, At: submitted.Sub(loadStart)}
	if !c.submit(ctx, deadline) {
		return
	}
	c.outcome.Accepted = true
	if c.cancelsJob {
		c.call(ctx, http.MethodDelete, nil)
	}
	c.outcome.State = c.awaitEnd(ctx, deadline)
	c.outcome.Took = time.Since(submitted)
}

// submit submits the job, retries until an entry accepts it or the deadline passes,
// and reports whether it was accepted.
func (c *caller) submit(ctx context.Context, deadline time.Time) bool {
	body := c.body()
	for ctx.Err() == nil && time.Now().Before(deadline) {
		result := c.call(ctx, http.MethodPost, body)
		if result.status/100 == 2 {
			return true
		}
		if result.status == 0 {
			c.outcome.Lost++
		} else {
			c.outcome.Refused++
		}
		bbrpause.For(ctx, result.retryAfter)
	}
	return false
}

// job is the body of a submission.
type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// step is a step of a job, with Count equal work units.
type step struct {
	Count    int   `json:"count"`
	MilliCPU int   `json:"cpu"`
	MemoryMB int   `json:"mem_mb"`
	Estimate int64 `json:"estimate_ms"`
	After    []int `json:"after,omitempty"`
}

// Resources of each work unit.
const (
	unitMilliCPU = 500
	unitMemoryMB = 100
)

// body returns the submission of the job as JSON.
func (c *caller) body() []byte {
	submitted := job{Spec: c.class.Work.String()}
	if c.poisoned {
		submitted.Spec = bbrfleet.PoisonSpec
	}
	for number := range max(1, c.class.Steps) {
		s := step{Count: c.class.Units, MilliCPU: unitMilliCPU, MemoryMB: unitMemoryMB, Estimate: c.class.Work.Milliseconds()}
		if number > 0 {
			s.After = []int{number - 1}
		}
		submitted.Steps = append(submitted.Steps, s)
	}
	data, err := json.Marshal(submitted)
	if err != nil {
		panic(err) // A job has only strings and numbers, which can always be encoded.
	}
	return data
}

// awaitEnd polls the job and returns the state in which it ended, or "" if it has not
// ended by the deadline.
func (c *caller) awaitEnd(ctx context.Context, deadline time.Time) string {
	for ctx.Err() == nil && time.Now().Before(deadline) {
		var status struct {
			State string `json:"state"`
		}
		result := c.call(ctx, http.MethodGet, nil)
		if result.status == http.StatusOK && json.Unmarshal(result.body, &status) == nil && status.State != "pending" && status.State != "running" {
			return status.State
		}
		bbrpause.For(ctx, pollInterval)
	}
	return ""
}

// callResult is an entry's response; a status of 0 means that there was none.
type callResult struct {
	status     int
	body       []byte
	retryAfter time.Duration
}

// call makes a call for the job to an entry chosen at random.
func (c *caller) call(ctx context.Context, method string, body []byte) callResult {
	noResponse := callResult{retryAfter: pollInterval}
	entry := c.load.Entries[c.random.IntN(len(c.load.Entries))]
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry.String()+c.class.Prefix+c.id, bytes.NewReader(body))
	if err != nil {
		return noResponse
	}
	request.Host = c.load.Host
	response, err := c.client.Do(request)
	if err != nil {
		return noResponse
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return noResponse
	}
	retryAfter := pollInterval
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		retryAfter = time.Duration(seconds) * time.Second
	}
	return callResult{status: response.StatusCode, body: data, retryAfter: retryAfter}
}
