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

// Load is a bounded number of requests.
type Load struct {
	Entries  []netip.AddrPort
	Queues   []string
	Requests int
	// Concurrency is how many requests are open at once, at most.
	Concurrency int
	// Work is how long the stand-in upstream works on each.
	Work time.Duration
	// Pause is waited after each answer.
	Pause time.Duration
	// SubmissionShare of the requests are POST with an idempotency key.
	SubmissionShare float64
	Timeout         time.Duration

	mu     sync.Mutex
	counts Counts
}

// Counts are what became of the requests.
type Counts struct {
	Requests, Ran, NotRun, Unknown int
	// Refused requests met no listener, so that a balancer would have tried
	// another entry; CutOff ones were sent and got no answer at all.
	Refused, CutOff int
	// Partial answers ended early, and foreign ones belonged to another
	// request.
	Partial, Foreign int
	// Codes counts the answers by result code.
	Codes map[string]int
	// Upstreams counts the answers by upstream.
	Upstreams map[string]int
	// Slowest is the longest time to an answer.
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

// send sends a request with a body that no other has and checks the answer.
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

// AllAnswered reports whether every request got one whole answer of its own.
func (c Counts) AllAnswered() bool {
	answered := c.Ran + c.NotRun + c.Unknown + c.Refused
	return c.Partial == 0 && c.Foreign == 0 && c.CutOff == 0 && answered == c.Requests
}
