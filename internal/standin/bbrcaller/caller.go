package bbrcaller

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
)

// Load describes a bounded number of requests, which are spread round-robin over the
// entries and queues.
type Load struct {
	Entries  []netip.AddrPort
	Queues   []string
	Requests int
	// Concurrency is the maximum number of concurrent requests.
	Concurrency int
	// Work is how long the stand-in upstream takes for each request.
	Work time.Duration
	// Pause is the time between a response and the next request of the same worker.
	Pause time.Duration
	// SubmissionShare is the share of the requests, 0 to 1, that are POST requests with
	// an idempotency key. The others are GET requests.
	SubmissionShare float64
	Timeout         time.Duration

	mu     sync.Mutex
	counts Counts
}

// Counts counts the requests by result. It is encoded as JSON under its field names.
type Counts struct {
	// Ran, NotRun and Unknown count the responses by reported outcome.
	Requests, Ran, NotRun, Unknown int
	// Refused counts the requests whose connection was refused, for which a load
	// balancer would have tried another entry. CutOff counts those that failed
	// otherwise before the headers of a response arrived.
	Refused, CutOff int
	// Partial counts the responses whose body ended early, and Foreign those that
	// belonged to another request.
	Partial, Foreign int
	// Codes counts the responses by result code.
	Codes map[string]int
	// Upstreams counts the responses by upstream.
	Upstreams map[string]int
	// Slowest is the longest time to a response.
	Slowest time.Duration
}

// Run sends the requests and returns the counts.
func (l *Load) Run(ctx context.Context) Counts {
	l.counts = Counts{Requests: l.Requests, Codes: make(map[string]int), Upstreams: make(map[string]int)}
	client := &http.Client{Timeout: l.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: l.Concurrency}}
	numbers := make(chan int)
	var workers sync.WaitGroup
	for range l.Concurrency {
		workers.Go(func() { l.run(ctx, client, numbers) })
	}
	for number := range l.Requests {
		numbers <- number
	}
	close(numbers)
	workers.Wait()
	return l.counts
}

func (l *Load) run(ctx context.Context, client *http.Client, numbers <-chan int) {
	for number := range numbers {
		l.send(ctx, client, number)
		time.Sleep(l.Pause)
	}
}

// send sends a request with a unique body and counts its result.
func (l *Load) send(ctx context.Context, client *http.Client, number int) {
	token := uuid.NewString()
	entry := l.Entries[number%len(l.Entries)]
	queue := l.Queues[number%len(l.Queues)]
	method := http.MethodGet
	submission := rand.Float64() < l.SubmissionShare
	if submission {
		method = http.MethodPost
	}
	target := fmt.Sprintf("http://%s/%s/%s", entry, queue, token)
	request, err := http.NewRequestWithContext(ctx, method, target, strings.NewReader(token))
	if err != nil {
		return
	}
	request.Header.Set("Work-Millis", strconv.FormatInt(l.Work.Milliseconds(), 10))
	if submission {
		request.Header.Set("Idempotency-Key", token)
	}
	started := time.Now()
	response, err := client.Do(request)
	if err != nil {
		l.update(func(c *Counts) {
			if errors.Is(err, syscall.ECONNREFUSED) {
				c.Refused++
			} else {
				c.CutOff++
			}
		})
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	l.classify(response, string(body), err, token, time.Since(started))
}

// classify counts a response whose body was read with the given error.
func (l *Load) classify(response *http.Response, body string, err error, token string, took time.Duration) {
	l.update(func(c *Counts) {
		c.Slowest = max(c.Slowest, took)
		if err != nil {
			c.Partial++
			return
		}
		c.Codes[response.Header.Get("Bbr-Code")]++
		c.Upstreams[response.Header.Get("Bbr-Upstream")]++
		switch bbrcode.ParseOutcome(response.Header.Get("Bbr-Outcome")) {
		case bbrcode.OutcomeRan:
			c.Ran++
			matches := strings.Contains(body, "/"+token) && strings.HasSuffix(body, token)
			if !matches {
				c.Foreign++
			}
		case bbrcode.OutcomeNotRun:
			c.NotRun++
		default:
			c.Unknown++
		}
	})
}

func (l *Load) update(change func(c *Counts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.counts)
}

// String returns the counts on one line.
func (c Counts) String() string {
	return fmt.Sprintf("requests=%d ran=%d notRun=%d unknown=%d refused=%d cutOff=%d partial=%d foreign=%d slowest=%s",
		c.Requests, c.Ran, c.NotRun, c.Unknown, c.Refused, c.CutOff, c.Partial, c.Foreign, c.Slowest.Round(time.Millisecond))
}

// AllAnswered reports whether every request was refused or got a complete response of
// its own.
func (c Counts) AllAnswered() bool {
	answered := c.Ran + c.NotRun + c.Unknown + c.Refused
	return c.Partial == 0 && c.Foreign == 0 && c.CutOff == 0 && answered == c.Requests
}
