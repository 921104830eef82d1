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
	// A caller pauses for minJobPause to maxJobPause between two jobs. While upstreams
	// restart and are cut off, it pauses for minRarePause to maxRarePause: a start that is
	// lost at a cut makes the owner count on the longest lease, whatever else it knows.
	minJobPause, maxJobPause   = 20 * time.Millisecond, 200 * time.Millisecond
	minRarePause, maxRarePause = 2 * time.Second, 6 * time.Second
)

// callers submit jobs over persistent connections, and record the answers.
type callers struct {
	soak   *Soak
	client http.Client

	mu     sync.Mutex
	jobs   map[string]*submittedJob
	faults []string
	// acceptedCount is the number of accepted jobs.
	acceptedCount int
	// configCount and waveCount are the numbers of configurations and waves that were
	// stored.
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

// reportFaultLocked is reportFault for callers that hold mu.
func (c *callers) reportFaultLocked(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *callers) isStalled(job *submittedJob) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return job.stalled
}

// run runs all callers until ctx ends.
func (c *callers) run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range callerCount {
		each := &caller{callers: c, random: c.soak.random(uint64(100 + i))}
		each.key, each.limited = mainKey, !c.soak.Backlog && i >= callerCount-limitedCallers
		if each.limited {
			each.key = limitedKey
		}
		each.mayRunLong = !each.limited && (i+1)*longRunningUnits <= longRunningUnitsPer100*c.soak.UpstreamCount/100
		wg.Go(func() { each.run(ctx) })
	}
	wg.Wait()
}

// caller submits one job after another.
type caller struct {
	*callers
	random *rand.Rand
	jobs   []*submittedJob
	// key is the key of the caller's organisation. limited is set if that has a cap: the
	// caller then submits small jobs only.
	key     string
	limited bool
	// mayRunLong is set if the caller submits long-running jobs; longRunning is its
	// current one.
	mayRunLong  bool
	longRunning *submittedJob
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.mayRunLong && (c.longRunning == nil || !c.soak.keepsLongRunningJobs() && c.random.IntN(jobsPerLongRunningJob) == 0) {
			c.replaceLongRunningJob(ctx)
		}
		job := c.newSmallJob()
		if !c.limited && !c.soak.Backlog && c.random.IntN(jobsPerLargeJob) == 0 {
			job = c.newLargeJob()
		} else if !c.limited && !c.soak.keepsLongRunningJobs() && c.random.IntN(jobsPerCrashingJob) == 0 {
			job = c.newCrashingJob()
		} else if !c.limited && c.soak.Restarts && c.random.IntN(jobsPerLongJob) == 0 {
			job = c.newLongJob()
		} else if c.soak.Backlog {
			job = c.newBacklogJob()
		}
		c.submit(ctx, job)
		if len(c.jobs) > 0 {
			job := c.jobs[c.random.IntN(len(c.jobs))]
			if c.random.IntN(8) == 0 {
				c.cancel(ctx, job)
			}
			c.checkState(ctx, job, c.entry())
		}
		time.Sleep(c.drawPause())
	}
	if c.limited {
		return
	}
	// The last job is large. It has to fit beside the long-running work that remains.
	c.submit(context.WithoutCancel(ctx), c.newLargeJob())
}

// drawPause returns the time until the next job.
func (c *caller) drawPause() time.Duration {
	if c.soak.Backlog && c.lacksBacklog() {
		return randomDuration(c.random, minJobPause, maxBacklogPause)
	}
	if c.soak.Restarts || c.soak.Backlog {
		return randomDuration(c.random, minRarePause, maxRarePause)
	}
	return randomDuration(c.random, minJobPause, maxJobPause)
}

func (c *caller) entry() *entry { return c.soak.entries[c.random.IntN(len(c.soak.entries))] }

// replaceLongRunningJob cancels the long-running job and submits another one.
func (c *caller) replaceLongRunningJob(ctx context.Context) {
	if c.longRunning != nil {
		c.cancel(ctx, c.longRunning)
	}
	c.longRunning = c.newLongRunningJob()
	c.submit(ctx, c.longRunning)
}

// submit submits a job, and retries at a random entry after each failure.
func (c *caller) submit(ctx context.Context, job *submittedJob) {
	body := job.body()
	c.mu.Lock()
	c.callers.jobs[job.id] = job
	c.mu.Unlock()
	c.soak.fleet.DeclareJob(job.id, job.needs())
	if c.limited {
		c.soak.fleet.LimitJob(job.id, limitedUnits)
	}
	for range 1 + c.random.IntN(maxAttempts) {
		status, _ := c.call(ctx, http.MethodPost, c.entry(), job, body)
		if status/100 == 2 {
			c.mu.Lock()
			job.accepted, job.acceptedAt = true, time.Now()
			c.acceptedCount++
			c.mu.Unlock()
			c.jobs = append(c.jobs, job)
			return
		}
		if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			job.outcomeUnknown = true
		}
		time.Sleep(randomDuration(c.random, 10*time.Millisecond, 300*time.Millisecond))
	}
	if job.outcomeUnknown && ctx.Err() == nil && c.random.IntN(2) == 0 {
		c.giveUp(ctx, job, body)
	}
}

// giveUp cancels a job of which the caller does not know whether it was accepted, at any entries,
// until it is told. Then a copy of the submission arrives.
func (c *caller) giveUp(ctx context.Context, job *submittedJob, body []byte) {
	for ctx.Err() == nil {
		c.cancel(ctx, job)
		if job.unknown || job.cancelStored {
			break
		}
		time.Sleep(randomDuration(c.random, 10*time.Millisecond, 300*time.Millisecond))
	}
	time.Sleep(randomDuration(c.random, 0, time.Second))
	status, _ := c.call(ctx, http.MethodPost, c.entry(), job, body)
	if job.unknown && status/100 == 2 {
		c.reportFault("job %s is accepted after its caller was told that it does not exist", job.id)
	}
}

func (c *caller) cancel(ctx context.Context, job *submittedJob) {
	c.mu.Lock()
	job.cancelled = true
	c.mu.Unlock()
	status, _ := c.call(ctx, http.MethodDelete, c.entry(), job, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	job.unknown = job.unknown || status == http.StatusGone
	job.cancelStored = job.cancelStored || status == http.StatusOK
	if job.unknown && job.accepted {
		c.reportFaultLocked("job %s was accepted, but its cancellation says that there is none", job.id)
	}
}

// checkState queries the state of an accepted job, and checks the answer against the
// previous one.
func (c *callers) checkState(ctx context.Context, job *submittedJob, at *entry) {
	status, body := c.call(ctx, http.MethodGet, at, job, nil)
	if status == http.StatusGone {
		c.reportFault("job %s was accepted, but is unknown at %s", job.id, at.name)
	}
	var answer struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return
	}
	if job.state != "" && answer.State != job.state {
		c.reportFault("job %s was %s, but is %s at %s", job.id, job.state, answer.State, at.name)
	}
	switch answer.State {
	case "pending", "running":
		return
	case "failed":
		if !job.crashing {
			c.reportFault("job %s is reported as failed", job.id)
		}
	case "completed":
		if job.crashing {
			c.reportFault("job %s is reported as completed, but crashes its upstreams", job.id)
		}
	case "cancelled":
		if !job.cancelled {
			c.reportFault("job %s is reported as cancelled, but its caller did not cancel it", job.id)
		}
	}
	c.mu.Lock()
	job.state = answer.State
	c.mu.Unlock()
}

// call sends a request about a job. Status 0 means that no answer came.
func (c *callers) call(ctx context.Context, method string, at *entry, job *submittedJob, body []byte) (int, []byte) {
	return c.send(ctx, method, at, "/"+job.pool+"/"+job.id, job.key, body)
}

func (c *callers) send(ctx context.Context, method string, at *entry, path, key string, body []byte) (int, []byte) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+at.submitAddress.String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = "print.example"
	request.Header.Set("Authorization", "Bearer "+key)
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
