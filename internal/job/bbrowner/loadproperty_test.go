package bbrowner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// loadCase is a drawn shard whose owners are lost while they load it.
type loadCase struct {
	steps, jobs, upstreams, running, bytesPerSecond int
	runTime                                         time.Duration
	// seed and cutShare determine which reads fail, and lostShare which transactions, their
	// answers, and answers to starts are lost.
	seed                uint64
	cutShare, lostShare float64
	// compactShare is the share of watches that find the history compacted.
	compactShare float64
	// takeovers has how long each owner lasts; the last one stays.
	takeovers []time.Duration
	// arrivals has when further jobs are accepted, and hints is whether their owner is told.
	arrivals []time.Duration
	hints    bool
}

func drawLoadCase(t *rapid.T) loadCase {
	jobs := rapid.IntRange(0, 150).Draw(t, "jobs")
	return loadCase{
		steps: rapid.IntRange(0, 2).Draw(t, "steps"), jobs: jobs,
		upstreams: rapid.IntRange(1, 4).Draw(t, "upstreams"), running: min(jobs/2, rapid.IntRange(0, 20).Draw(t, "running")),
		bytesPerSecond: rapid.SampledFrom([]int{20000, 60000, mbit2, 10 * mbit2}).Draw(t, "bytesPerSecond"),
		runTime:        time.Duration(rapid.IntRange(100, 2000).Draw(t, "runTimeMillis")) * time.Millisecond,
		seed:           rapid.Uint64().Draw(t, "seed"), cutShare: rapid.Float64Range(0, 0.6).Draw(t, "cutShare"), lostShare: rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "lostShare"),
		compactShare: rapid.SampledFrom([]float64{0, 0, 0.1, 0.5}).Draw(t, "compactShare"),
		takeovers:    drawDurations(t, "takeovers", 3), arrivals: drawDurations(t, "arrivals", 10), hints: rapid.Bool().Draw(t, "hints"),
	}
}

func drawDurations(t *rapid.T, name string, count int) []time.Duration {
	var durations []time.Duration
	for _, millis := range rapid.SliceOfN(rapid.IntRange(10, 6000), 0, count).Draw(t, name) {
		durations = append(durations, time.Duration(millis)*time.Millisecond)
	}
	return durations
}

// play returns what is wrong at the end.
func (c loadCase) play(ctx context.Context) []string {
	s := newLoadSceneOfSteps(c.steps, c.jobs, c.upstreams, c.running, c.bytesPerSecond, c.runTime)
	random := rand.New(rand.NewPCG(c.seed, 1))
	s.store.cut = func(int) int {
		if random.Float64() >= c.cutShare {
			return -1
		}
		return []int{0, 300, 3000, 20000}[random.IntN(4)]
	}
	s.store.compacts = func() bool { return random.Float64() < c.compactShare }
	s.store.loses = func() bool { return random.Float64() < c.lostShare }
	s.upstreams.loses = func() bool {
		s.store.mu.Lock()
		defer s.store.mu.Unlock()
		return s.store.loses()
	}
	p := &loadPlay{loadCase: c, scene: s}
	var wg sync.WaitGroup
	wg.Go(func() { p.accept(ctx) })
	for _, lasts := range c.takeovers {
		p.own(ctx, lasts)
	}
	total := c.jobs + len(c.arrivals)
	work := float64(total*(c.steps+1)) * c.runTime.Seconds() / float64(8*c.upstreams)
	// Orders and transactions of a job take 2 kB for each step, and a takeover up to 13.94 s.
	link := float64(s.storedBytes()+2000*total*(c.steps+2)) / float64(c.bytesPerSecond)
	limit := time.Duration((3*work+4*link+60)*float64(time.Second)) + 14*time.Second
	last, cancel := context.WithCancel(ctx)
	o := p.claim()
	wg.Go(func() { o.Run(last) })
	for end := time.Now().Add(limit); time.Now().Before(end) && (s.store.count(bbrrecord.JobPrefix) > 0 || s.store.count(bbrrecord.StatusPrefix) < total); {
		time.Sleep(100 * time.Millisecond)
	}
	cancel()
	wg.Wait()
	return p.faults(total)
}

// loadPlay is a loadCase that is played.
type loadPlay struct {
	loadCase
	scene *loadScene

	mu sync.Mutex
	// owner is the present owner.
	owner *Owner
}

// claim returns the owner of a new claim, after which the owner before knows that it has none.
func (p *loadPlay) claim() *Owner {
	o := p.scene.claim()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owner = o
	return o
}

// own runs an owner for some time.
func (p *loadPlay) own(ctx context.Context, lasts time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, lasts)
	defer cancel()
	o := p.claim()
	o.Confirmed = func(time.Time) bool { return ctx.Err() == nil }
	o.Run(ctx)
}

// accept accepts the further jobs.
func (p *loadPlay) accept(ctx context.Context) {
	for i, pause := range p.arrivals {
		time.Sleep(pause)
		job, stored := p.scene.accept(p.jobs+i, time.Now())
		p.mu.Lock()
		owner := p.owner
		p.mu.Unlock()
		if p.hints && owner != nil && ctx.Err() == nil {
			owner.AcceptHint(Hint{Job: job, Stored: stored, Token: owner.Held.Token}, time.Now())
		}
	}
}

// faults returns which jobs are lost or were done twice.
func (p *loadPlay) faults(total int) []string {
	var faults []string
	upstreams := p.scene.upstreams
	upstreams.mu.Lock()
	defer upstreams.mu.Unlock()
	for i := range total {
		id := p.scene.jobID(i)
		for step := range p.steps + 1 {
			unit := bbrwork.Unit{Job: id, Step: step}
			if done := upstreams.done[unit]; done != 1 {
				faults = append(faults, fmt.Sprintf("%s was done %d times", unit, done))
			}
			if upstreams.overlaps[unit] > 0 {
				faults = append(faults, fmt.Sprintf("%s ran twice at a time", unit))
			}
		}
		if _, ended := p.scene.store.items[bbrrecord.StatusKey(id)]; !ended {
			faults = append(faults, fmt.Sprintf("%s has no final status", id))
		}
	}
	if left := p.scene.store.count(bbrrecord.JobPrefix); left > 0 {
		faults = append(faults, fmt.Sprintf("%d jobs have not ended", left))
	}
	return faults
}

// TestLoadsUnderFailures draws shards, links, failing reads, takeovers while the shard is
// loaded, and jobs that arrive meanwhile. It guards against loads that do not end, and against
// jobs that are lost or added again after their end.
func TestLoadsUnderFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := drawLoadCase(rt)
		var faults []string
		synctest.Test(t, func(t *testing.T) { faults = c.play(t.Context()) })
		require.Empty(rt, faults)
	})
}
