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
	baseRate := float64(workers*8) / runTime / 2
	var trace []arrival
	for now := 0.0; now < 60; {
		a := arrival{at: now, runTime: random.ExpFloat64() * runTime}
		if entry := random.IntN(entries); random.Float64() > skew {
			a.entry = entry
		}
		trace = append(trace, a)
		rate := baseRate
		if now > 20 && now < 30 {
			rate = 5 * baseRate
		} else if now >= 30 {
			rate = baseRate / 20
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
	s := &simulation{scheme: scheme, queues: make([][]arrival, scheme.entries)}
	for i := range scheme.entries {
		view, revision := benchZone(scheme.entries, 0)
		for w := range workers {
			id := fmt.Sprint("w-", w)
			view.Instances[id] = bbrview.Instance{ID: id, Pool: "p-0", Slots: 8, State: bbrview.Serving}
		}
		self := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", i+1))
		s.pools = append(s.pools, new(Registry).Build(view, 1, revision, self).Pools["p-0"])
	}
	return s
}

// start runs a request at an entry if the entry has a free slot.
func (s *simulation) start(i int, a arrival) bool {
	target := s.pools[i].Acquire(Criteria{Urgent: true}, time.Time{})
	if target == nil {
		return false
	}
	heap.Push(&s.completions, completion{at: s.now + a.runTime, entry: i, pool: s.pools[i], target: target})
	s.longestWait = max(s.longestWait, s.now-a.at)
	s.served++
	return true
}

// admit starts a request at its entry or, if the scheme forwards, at another
// entry where no request waits. It reports whether the request has started.
func (s *simulation) admit(a arrival) bool {
	if len(s.queues[a.entry]) == 0 && s.start(a.entry, a) {
		return true
	}
	for i := range s.pools {
		if s.scheme.forwardWhenFull && i != a.entry && len(s.queues[i]) == 0 && s.start(i, a) {
			return true
		}
	}
	return false
}

// advance completes the runs that end at or before until, and starts waiting
// requests on their slots.
func (s *simulation) advance(until float64) {
	for len(s.completions) > 0 && s.completions[0].at <= until {
		done := heap.Pop(&s.completions).(completion)
		s.now = done.at
		done.pool.Release(done.target)
		if waiting := s.queues[done.entry]; len(waiting) > 0 && s.start(done.entry, waiting[0]) {
			s.queues[done.entry] = waiting[1:]
		}
	}
}

// replay runs a whole trace. Each entry queues up to bound requests.
func (s *simulation) replay(trace []arrival, bound int) traceResult {
	for _, a := range trace {
		a.entry %= s.scheme.entries
		s.advance(a.at)
		s.now = a.at
		switch {
		case s.admit(a):
		case len(s.queues[a.entry]) < bound:
			s.queues[a.entry] = append(s.queues[a.entry], a)
		default:
			s.refused++
		}
	}
	s.advance(1e9)
	return s.traceResult
}

func TestMeasureSlotSharing(t *testing.T) {
	for _, size := range []struct{ entries, workers int }{{2, 3}, {4, 8}} {
		for _, skew := range []float64{0, 0.5} {
			for _, scheme := range []sharingScheme{
				{name: "even split", entries: size.entries},
				{name: "even split, forwarded when full", entries: size.entries, forwardWhenFull: true},
				{name: "single shared queue (ideal)", entries: 1},
			} {
				result := newSimulation(scheme, size.workers).replay(spikeTrace(size.entries, size.workers, skew), maxWaitingPerEntry*size.entries/scheme.entries)
				t.Logf("entries=%d workers=%d skew=%.1f %-32s refused=%5d served=%5d longest wait=%5.2f s",
					size.entries, size.workers, skew, scheme.name, result.refused, result.served, result.longestWait)
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
		var completions completionHeap
		failed, total := 0, 0
		traceStart := time.Unix(0, 0)
		for now := 0.0; now < 60; now += random.ExpFloat64() / 160 {
			at := traceStart.Add(time.Duration(now * float64(time.Second)))
			for len(completions) > 0 && completions[0].at <= now {
				done := heap.Pop(&completions).(completion)
				done.pool.Release(done.target)
			}
			target := pool.Acquire(Criteria{TieBreaker: random.Uint64()}, at)
			if target == nil {
				continue
			}
			total++
			if target.ID != "w-0" {
				heap.Push(&completions, completion{at: now + 0.1, pool: pool, target: target})
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
