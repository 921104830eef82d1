package bbrinterference

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	testTick = 20 * time.Millisecond
	// runTimeNoise and latencyNoise are standard deviations of logarithms. latencyMemory is
	// how much of its deviation a tail latency keeps for half a second.
	runTimeNoise, latencyNoise, latencyMemory = 0.45, 0.3, 0.7
)

// pool is upstreams on which work units of several images run. Work of image 0 serves,
// and the others are finite, some with siblings.
type pool struct {
	tracker   *Tracker
	random    *rand.Rand
	images    int
	noise     float64
	upstreams []*host
	start     time.Time
	now       time.Time
	// slowdown returns the factor by which a run is slower beside the neighbours, on the
	// upstream, at the time.
	slowdown func(image int, on *host, at time.Duration) float64
}

type host struct {
	number int
	site   *Site
	runs   []*testRun
}

// has reports whether a run of the image is on the upstream.
func (h *host) has(image int) bool { return h.count(image) > 0 }

func (h *host) count(image int) int {
	count := 0
	for _, r := range h.runs {
		if r.image == image {
			count++
		}
	}
	return count
}

type testRun struct {
	image    int
	id       ImageID
	mark     Mark
	left     float64
	siblings *Siblings
	// deviation is that of a tail latency.
	deviation  float64
	observedAt time.Time
}

func newPool(seed uint64, images, upstreams int) *pool {
	p := &pool{tracker: New(), random: rand.New(rand.NewPCG(seed, 1)), images: images, noise: runTimeNoise, start: time.Unix(1000, 0).UTC()}
	p.now = p.start
	p.slowdown = func(int, *host, time.Duration) float64 { return 1 }
	for n := range upstreams {
		h := &host{number: n, site: p.tracker.NewSite()}
		p.upstreams = append(p.upstreams, h)
		p.add(h, 0, math.Inf(1), nil)
	}
	return p
}

func (p *pool) add(h *host, image int, work float64, siblings *Siblings) {
	r := &testRun{image: image, id: p.tracker.Begin(fmt.Sprintf("image-%d", image), p.now), left: work, siblings: siblings, observedAt: p.now}
	h.site.Add(r.id, 1, p.now)
	h.site.Mark(&r.mark, p.now)
	h.runs = append(h.runs, r)
}

// play runs four jobs a second for each upstream: of a single work unit, or of three.
func (p *pool) play(length time.Duration) {
	for end := p.now.Add(length); p.now.Before(end); p.now = p.now.Add(testTick) {
		p.tracker.Sweep(p.now)
		for range len(p.upstreams) {
			if p.random.Float64() < 4*testTick.Seconds() {
				p.startJob()
			}
		}
		for _, h := range p.upstreams {
			p.step(h)
		}
	}
}

func (p *pool) startJob() {
	image := 1 + p.random.IntN(p.images-1)
	work := math.Exp(p.noise * p.random.NormFloat64())
	units, siblings := 1, (*Siblings)(nil)
	if image%2 == 0 {
		units, siblings = 3, &Siblings{}
	}
	for range units {
		p.add(p.upstreams[p.random.IntN(len(p.upstreams))], image, work*math.Exp(0.1*p.random.NormFloat64()), siblings)
	}
}

func (p *pool) step(h *host) {
	kept := h.runs[:0:0]
	for _, r := range h.runs {
		slow := p.slowdown(r.image, h, p.now.Sub(p.start))
		r.left -= testTick.Seconds() / slow
		switch {
		case r.left <= 0:
			p.tracker.ObserveRunTime(h.site, r.id, &r.mark, r.siblings, time.Second, p.now)
			h.site.Remove(r.id, 1, p.now)
			p.tracker.End(r.id, p.now)
			continue
		case r.image == 0 && p.now.Sub(r.observedAt) >= time.Second:
			r.observedAt = p.now
			r.deviation = latencyMemory*r.deviation + math.Sqrt(1-latencyMemory*latencyMemory)*latencyNoise*p.random.NormFloat64()
			p.tracker.ObserveLatency(h.site, r.id, &r.mark, time.Duration(slow*math.Exp(r.deviation)*float64(30*time.Millisecond)), p.now)
		}
		kept = append(kept, r)
	}
	h.runs = kept
}

// found returns the found pairs.
func (p *pool) found() []string {
	var names []string
	for _, pair := range p.tracker.Record(p.now).Pairs {
		names = append(names, pair.Affected+" beside "+pair.Neighbour)
	}
	return names
}

// TestNoPairWithoutInterference guards against pairs that noise, long runs, slow upstreams
// or slow times are mistaken for: packing would give way to them for nothing. With 30 images
// there are 900 pairs to be wrong about, and with 4 there is the most evidence for each.
func TestNoPairWithoutInterference(t *testing.T) {
	const seeds, upstreams, length = 5, 12, 2 * time.Minute
	slow := func(yes bool) float64 {
		if yes {
			return 3
		}
		return 1
	}
	tests := map[string]struct {
		slowdown func(image int, on *host, at time.Duration) float64
		// noise is the standard deviation of the logarithms of run times.
		noise float64
	}{
		"noise":                 {noise: runTimeNoise, slowdown: func(int, *host, time.Duration) float64 { return 1 }},
		"long runs":             {noise: 0.9, slowdown: func(int, *host, time.Duration) float64 { return 1 }},
		"slow upstream":         {noise: runTimeNoise, slowdown: func(_ int, on *host, _ time.Duration) float64 { return slow(on.number == 0) }},
		"half of the upstreams": {noise: runTimeNoise, slowdown: func(_ int, on *host, _ time.Duration) float64 { return slow(on.number%2 == 0) }},
		"slow period":           {noise: runTimeNoise, slowdown: func(_ int, _ *host, at time.Duration) float64 { return slow(at/(20*time.Second) == 1) }},
		"slow periods":          {noise: 0.2, slowdown: func(_ int, _ *host, at time.Duration) float64 { return slow(at/(7*time.Second)%2 == 1) }},
		"slow upstreams in turn": {noise: runTimeNoise, slowdown: func(_ int, on *host, at time.Duration) float64 {
			return slow(int(at/(5*time.Second))%upstreams == on.number)
		}},
		"slow images": {noise: runTimeNoise, slowdown: func(image int, _ *host, _ time.Duration) float64 { return slow(image%3 == 0) }},
	}
	for name, test := range tests {
		for _, images := range []int{4, 30} {
			t.Run(fmt.Sprintf("%s, %d images", name, images), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(seeds) {
					p := newPool(seed, images, upstreams)
					p.slowdown, p.noise = test.slowdown, test.noise
					p.play(length)
					require.Empty(t, p.found(), "seed %d", seed)
				}
			})
		}
	}
}

// TestPairIsFound checks that a pair, and no other one, is found within tens of observations
// of the affected image, whether that serves or ends, and that it is forgotten some time
// after the slowdown has ended.
func TestPairIsFound(t *testing.T) {
	const slowdown, upstreams = 2.2, 12
	tests := map[string]struct {
		affected, neighbour int
		within              time.Duration
	}{
		"serving":         {affected: 0, neighbour: 1, within: time.Minute},
		"siblings":        {affected: 2, neighbour: 1, within: 30 * time.Second},
		"single":          {affected: 1, neighbour: 3, within: 2 * time.Minute},
		"beside its kind": {affected: 2, neighbour: 2, within: 2 * time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPool(1, 6, upstreams)
			p.slowdown = func(image int, on *host, _ time.Duration) float64 {
				if image == test.affected && on.has(test.neighbour) && (test.affected != test.neighbour || on.count(image) > 1) {
					return slowdown
				}
				return 1
			}
			p.play(test.within)
			want := fmt.Sprintf("image-%d beside image-%d", test.affected, test.neighbour)
			require.Equal(t, []string{want}, p.found())
			require.InDelta(t, slowdown, math.Exp(p.tracker.Record(p.now).Pairs[0].Effect), 0.7)
			require.Len(t, p.tracker.Changes(), 1)
			p.slowdown = func(int, *host, time.Duration) float64 { return 1 }
			p.play(5 * evidenceSpan)
			require.Empty(t, p.found())
			require.Equal(t, []Change{{Pair: Pair{Affected: want[:7], Neighbour: want[15:]}}}, namesOnly(p.tracker.Changes()))
		})
	}
}

// namesOnly returns the changes without the numbers.
func namesOnly(changes []Change) []Change {
	for n := range changes {
		changes[n].Pair = Pair{Affected: changes[n].Pair.Affected, Neighbour: changes[n].Pair.Neighbour}
	}
	return changes
}

// TestInventedImagesTakeNoMemory guards against a submitter that names a new image in each
// job: neither memory nor the observation of other images may suffer.
func TestInventedImagesTakeNoMemory(t *testing.T) {
	tracker, site, now := New(), New().NewSite(), time.Unix(1000, 0)
	known := tracker.Begin("known", now)
	site.Add(known, 1, now)
	for n := range 20_000 {
		now = now.Add(10 * time.Millisecond)
		tracker.Sweep(now)
		id := tracker.Begin(fmt.Sprintf("invented-%d", n), now)
		if id != 0 {
			var mark Mark
			site.Add(id, 1, now)
			site.Mark(&mark, now)
			now = now.Add(10 * time.Millisecond)
			tracker.ObserveRunTime(site, id, &mark, nil, time.Second, now)
			site.Remove(id, 1, now)
			tracker.End(id, now)
		}
		require.LessOrEqual(t, len(tracker.images), maxImages)
		require.LessOrEqual(t, len(tracker.pairs), maxPairs)
		require.LessOrEqual(t, len(site.images), maxSiteImages)
	}
	require.Equal(t, known, tracker.Begin("known", now))
	require.Zero(t, tracker.Begin("", now), "work without an image is not considered")
	require.Zero(t, tracker.Begin(string(make([]byte, maxNameBytes+1)), now))
}

// TestObservationsAllocateNothing guards against garbage for each listing at entries with a
// fifth of a core.
func TestObservationsAllocateNothing(t *testing.T) {
	p := newPool(1, 6, 4)
	p.play(10 * time.Second)
	h := p.upstreams[0]
	r := h.runs[0]
	require.Zero(t, testing.AllocsPerRun(100, func() {
		p.now = p.now.Add(time.Second)
		p.tracker.ObserveLatency(h.site, r.id, &r.mark, 30*time.Millisecond, p.now)
	}))
}

// BenchmarkObserveLatency measures an observation on an upstream with many images.
func BenchmarkObserveLatency(b *testing.B) {
	p := newPool(1, 30, 4)
	p.play(20 * time.Second)
	h := p.upstreams[0]
	for b.Loop() {
		p.now = p.now.Add(time.Second)
		p.tracker.ObserveLatency(h.site, h.runs[0].id, &h.runs[0].mark, 30*time.Millisecond, p.now)
	}
}

// TestSlowNeighbourExposesLess checks that a best-effort neighbour counts by its pace.
func TestSlowNeighbourExposesLess(t *testing.T) {
	site, now := &Site{}, time.Unix(1000, 0)
	site.Add(1, 1, now)
	site.Add(2, 1, now)
	var mark Mark
	site.Mark(&mark, now)
	site.SetPace(2, 1, 0.25, now.Add(time.Second))
	site.Remove(2, 0.25, now.Add(3*time.Second))
	require.Equal(t, []exposure{{neighbour: 2, amount: (1 + 2*0.25) / 4}}, site.exposures(1, &mark, now.Add(4*time.Second), nil))
}

// TestRecord checks that a successor continues with the found pairs, and that a record is
// due only after a change and not more often than it may be stored.
func TestRecord(t *testing.T) {
	p := newPool(1, 6, 12)
	_, due := p.tracker.RecordToStore(p.now)
	require.False(t, due)
	p.slowdown = func(image int, on *host, _ time.Duration) float64 {
		if image == 0 && on.has(1) {
			return 2.2
		}
		return 1
	}
	p.play(40 * time.Second)
	record, due := p.tracker.RecordToStore(p.now)
	require.True(t, due)
	require.Len(t, record.Pairs, 1)
	p.tracker.RecordStored(record)
	_, due = p.tracker.RecordToStore(p.now.Add(time.Hour))
	require.False(t, due, "nothing has changed")
	data, err := json.Marshal(record)
	require.NoError(t, err)
	successor := New()
	require.NoError(t, successor.Restore(data, p.now))
	require.Equal(t, record.Pairs, successor.Record(p.now).Pairs)
	require.Len(t, successor.Conflicts("image-1"), 1)
	_, due = successor.RecordToStore(p.now.Add(time.Hour))
	require.False(t, due, "the store has the record")
	require.NoError(t, New().Restore(data, p.now.Add(-time.Hour)), "the earlier owner's clock may have been ahead")
	late := New()
	require.NoError(t, late.Restore(data, p.now.Add(time.Hour)))
	require.Zero(t, late.Found(), "old evidence does not count")
}

// TestUnreadableRecordCountsAsNone checks damaged records.
func TestUnreadableRecordCountsAsNone(t *testing.T) {
	for _, data := range []string{"", "{", "[]", `{"pairs":7}`} {
		tracker := New()
		require.Error(t, tracker.Restore([]byte(data), time.Now()), data)
		require.Zero(t, tracker.Found())
	}
	for _, data := range []string{"null", "{}", `{"pairs":[{}]}`, `{"pairs":[{"affected":"a","neighbour":"b","effect":1e300,"weight":1,"contrast":9}]}`, `{"pairs":[{"affected":"a","neighbour":"b","effect":1,"weight":-1,"contrast":9}]}`} {
		tracker := New()
		require.NoError(t, tracker.Restore([]byte(data), time.Now()), data)
		require.Zero(t, tracker.Found(), data)
	}
}
