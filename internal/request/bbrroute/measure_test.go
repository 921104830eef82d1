package bbrroute

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
)

// The TestMeasure tests print figures and assert nothing. They are run by make
// measure.

// completion is the end of a request's run in a trace. Times are in seconds
// since the start of the trace.
type completion struct {
	at     float64
	entry  int
	pool   *Pool
	target *Target
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any          { old := *h; x := old[len(old)-1]; *h = old[:len(old)-1]; return x }

// sharingScheme is a way to share a pool's slots among the entries of a zone.
type sharingScheme struct {
	name            string
	entries         int
	forwardWhenFull bool
}

// maxWaitingPerEntry bounds the requests that wait at one entry.
const maxWaitingPerEntry = 60

// arrival is a request of a trace.
type arrival struct {
	at, runTime float64
	entry       int
}

// spikeTrace draws a minute of requests to one pool. They occupy half of its
// slots on average for the first 20 s, five times as many for the next 10 s, and
// a twentieth of that half after that. A fraction skew of the requests goes to
// the first entry, and the others are spread evenly over all entries.
func spikeTrace(entries, workers int, skew float64) []arrival {
	const runTime = 0.5
	random := rand.New(rand.NewPCG(1, 2))
	mean := float64(workers*8) / runTime / 2
	var trace []arrival
	for now := 0.0; now < 60; {
		a := arrival{at: now, runTime: random.ExpFloat64() * runTime}
		if entry := random.IntN(entries); random.Float64() > skew {
			a.entry = entry
		}
		trace = append(trace, a)
		rate := mean
		if now > 20 && now < 30 {
			rate = 5 * mean
		} else if now >= 30 {
			rate = mean / 20
		}
		now += random.ExpFloat64() / rate
	}
	return trace
}

// traceResult counts the requests of a trace by outcome. The longest wait is in
// seconds.
type traceResult struct {
	refused, served int
	longestWait     float64
}

// simulation replays a trace through the entries of a zone.
type simulation struct {
	traceResult
	scheme      sharingScheme
	pools       []*Pool
	queues      [][]arrival
	completions completionHeap
	now         float64
}

func newSimulation(scheme sharingScheme, workers int) *simulation {
	r := &simulation{scheme: scheme, queues: make([][]arrival, scheme.entries)}
	for i := range scheme.entries {
		view, revision := benchZone(scheme.entries, 0)
		for w := range workers {
			id := fmt.Sprint("w-", w)
			view.Instances[id] = bbrview.Instance{ID: id, Pool: "p-0", Slots: 8, State: bbrview.Serving}
		}
		self := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", i+1))
		r.pools = append(r.pools, new(Registry).Build(view, 1, revision, self).Pools["p-0"])
	}
	return r
}

// start runs a request at an entry if the entry has a free slot.
func (r *simulation) start(i int, a arrival) bool {
	target := r.pools[i].Acquire(Criteria{Urgent: true}, time.Time{})
	if target == nil {
		return false
	}
	heap.Push(&r.completions, completion{at: r.now + a.runTime, entry: i, pool: r.pools[i], target: target})
	r.longestWait = max(r.longestWait, r.now-a.at)
	r.served++
	return true
}

// admit starts a request at its entry or, if the scheme forwards, at another
// entry where no request waits. It reports whether the request has started.
func (r *simulation) admit(a arrival) bool {
	if len(r.queues[a.entry]) == 0 && r.start(a.entry, a) {
		return true
	}
	for i := range r.pools {
		if r.scheme.forwardWhenFull && i != a.entry && len(r.queues[i]) == 0 && r.start(i, a) {
			return true
		}
	}
	return false
}

// advance completes the runs that end at or before until, and starts waiting
// requests on their slots.
func (r *simulation) advance(until float64) {
	for len(r.completions) > 0 && r.completions[0].at <= until {
		e := heap.Pop(&r.completions).(completion)
		r.now = e.at
		e.pool.Release(e.target)
		if waiting := r.queues[e.entry]; len(waiting) > 0 && r.start(e.entry, waiting[0]) {
			r.queues[e.entry] = waiting[1:]
		}
	}
}

// replay runs a whole trace. Each entry queues up to bound requests.
func (r *simulation) replay(trace []arrival, bound int) traceResult {
	for _, a := range trace {
		a.entry %= r.scheme.entries
		r.advance(a.at)
		r.now = a.at
		switch {
		case r.admit(a):
		case len(r.queues[a.entry]) < bound:
			r.queues[a.entry] = append(r.queues[a.entry], a)
		default:
			r.refused++
		}
	}
	r.advance(1e9)
	return r.traceResult
}

func TestMeasureSlotSharing(t *testing.T) {
	for _, size := range []struct{ entries, workers int }{{2, 3}, {4, 8}} {
		for _, skew := range []float64{0, 0.5} {
			for _, s := range []sharingScheme{
				{name: "even split", entries: size.entries},
				{name: "even split, forwarded when full", entries: size.entries, forwardWhenFull: true},
				{name: "single shared queue (ideal)", entries: 1},
			} {
				o := newSimulation(s, size.workers).replay(spikeTrace(size.entries, size.workers, skew), maxWaitingPerEntry*size.entries/s.entries)
				t.Logf("entries=%d workers=%d skew=%.1f %-32s refused=%5d served=%5d longest wait=%5.2f s",
					size.entries, size.workers, skew, s.name, o.refused, o.served, o.longestWait)
			}
		}
	}
}

// TestMeasureFailingWorker counts the requests that go to a worker that fails
// each of them immediately, while the other workers take 100 ms. Without
// ejection such a worker is always the least loaded one.
func TestMeasureFailingWorker(t *testing.T) {
	for _, eject := range []bool{false, true} {
		random := rand.New(rand.NewPCG(3, 4))
		view, revision := benchZone(1, 0)
		for w := range 4 {
			id := fmt.Sprint("w-", w)
			view.Instances[id] = bbrview.Instance{ID: id, Pool: "p-0", Slots: 8, State: bbrview.Serving}
		}
		var registry Registry
		pool := registry.Build(view, 1, revision, benchSelf).Pools["p-0"]
		var ends completionHeap
		failed, total := 0, 0
		traceStart := time.Unix(0, 0)
		for now := 0.0; now < 60; now += random.ExpFloat64() / 160 {
			at := traceStart.Add(time.Duration(now * float64(time.Second)))
			for len(ends) > 0 && ends[0].at <= now {
				e := heap.Pop(&ends).(completion)
				e.pool.Release(e.target)
			}
			target := pool.Acquire(Criteria{TieBreaker: random.Uint64()}, at)
			if target == nil {
				continue
			}
			total++
			if target.ID != "w-0" {
				heap.Push(&ends, completion{at: now + 0.1, pool: pool, target: target})
				continue
			}
			failed++
			pool.Release(target)
			if eject {
				target.Health.RecordFailure(at)
			}
		}
		t.Logf("failing worker, ejection=%v: %d of %d requests in 60 s went to it", eject, failed, total)
	}
}
