package bbrscheduler

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrinterference"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	// interferenceSlowdown is the factor by which the interfering images slow each other
	// down.
	interferenceSlowdown = 2.5
	interferenceRate     = 7
	interferenceLength   = 90 * time.Second
	// interferenceSettled is the time after which callers are counted: until then the
	// scheduler may learn.
	interferenceSettled = 40 * time.Second
	webTail             = 40 * time.Millisecond
)

// testStart is when scenes begin.
var testStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// interferenceLoad is a pool at about half of its capacity on which work units of the images
// "encode" and "render" slow each other down, and "encode" also the serving image "web".
type interferenceLoad struct {
	*scene
	random    *rand.Rand
	upstreams []string
	// harmless means that no image slows another one down.
	harmless bool
	starts   []StartOrder
	// left has the work that is left of each run, and baseOf that of each job.
	left      map[runKey]time.Duration
	baseOf    map[string]time.Duration
	accepted  map[string]time.Time
	sequences map[string]int64
	// callers and inTime count the jobs of the interfering images that ended, and those of
	// them that did within their objective. latencies and lowLatencies count the tail latencies
	// of web, and those below its target.
	callers, inTime, latencies, lowLatencies int
}

func newInterferenceLoad(t *testing.T, seed uint64, separate bool) *interferenceLoad {
	l := &interferenceLoad{
		random: rand.New(rand.NewPCG(seed, 0)), left: make(map[runKey]time.Duration), baseOf: make(map[string]time.Duration),
		accepted: make(map[string]time.Time), sequences: make(map[string]int64),
	}
	for n := range 12 {
		l.upstreams = append(l.upstreams, fmt.Sprintf("i-%02d", n))
	}
	l.scene = newScene(t, true)
	if separate {
		l.sched.SeparateInterfering(nil, l.now)
	}
	for _, id := range l.upstreams {
		l.register(id)
		l.list(id)
	}
	l.now = l.start
	l.accept(servingJob, bbrwork.Step{Count: 5, Need: bbrwork.Resources{MilliCPU: 1000, MemoryMB: 100}, LongRunning: true, LatencyTarget: 2 * webTail, Image: "web"})
	// The upstreams and the starts of the serving work are stored before other work arrives.
	for range 2 {
		require.Empty(l, l.sched.Plan(true, l.now).Starts)
		l.store()
	}
	return l
}

func (l *interferenceLoad) play() {
	arrivals := 0.0
	for tick := range int(interferenceLength / overloadTick) {
		l.now = l.start.Add(time.Duration(tick) * overloadTick)
		for arrivals += interferenceRate * overloadTick.Seconds(); arrivals >= 1; arrivals-- {
			l.acceptJob()
		}
		for number, id := range l.upstreams {
			l.run(id, (tick+number)%50 == 0)
		}
		if tick == 0 {
			continue // Nothing starts in the first tick, which has the first arrivals.
		}
		plan := l.sched.Plan(true, l.now)
		l.sched.ApplyStored(l.sched.Batch(1000, l.now), 1, l.now)
		l.answerStarts(plan, nil)
		l.starts = append(l.starts, plan.Starts...)
		for _, order := range plan.Starts {
			l.left[runKey{order.Start.Unit, order.Start.Run}] = l.baseOf[order.Start.Unit.Job]
		}
	}
}

func (l *interferenceLoad) acceptJob() {
	id := fmt.Sprintf("%016x", len(l.baseOf)+1000)
	l.baseOf[id] = time.Duration(math.Exp(runTimeSpread*l.random.NormFloat64()) * float64(time.Second))
	estimate := time.Duration(float64(l.baseOf[id]) * math.Exp(estimateSpread*l.random.NormFloat64()))
	l.accepted[id] = l.now
	image := []string{"encode", "encode", "render", "render", "count"}[l.random.IntN(5)]
	l.accept(id, bbrwork.Step{Count: 3, Need: bbrwork.Resources{MilliCPU: 1000, MemoryMB: 100}, Estimate: estimate, Image: image})
}

// interferes reports whether a run of the image is slower beside the neighbour.
func interferes(image, neighbour string) bool {
	return image == "render" && neighbour == "encode" || image == "encode" && neighbour == "render" || image == "web" && neighbour == "encode"
}

func (l *interferenceLoad) slowdown(r *run) float64 {
	for _, other := range r.up.runs {
		if !l.harmless && interferes(r.unit.step.spec.Image, other.unit.step.spec.Image) {
			return interferenceSlowdown
		}
	}
	return 1
}

// run lets the runs on an upstream make progress for a tick, and lists them if one has
// ended or it is time to.
func (l *interferenceLoad) run(id string, due bool) {
	listing := bbrwork.Listing{Clock: l.now.Sub(l.start), StartMillis: 1000}
	up := l.sched.upstreams[id]
	byName := func(a, b runKey) int { return cmp.Compare(a.unit.String(), b.unit.String()) }
	for _, key := range slices.SortedFunc(maps.Keys(up.runs), byName) {
		r := up.runs[key]
		if r.phase != phaseRunning {
			continue
		}
		slowdown := l.slowdown(r)
		if r.unit.step.spec.LongRunning {
			tail := time.Duration(slowdown * math.Exp(0.2*l.random.NormFloat64()) * float64(webTail))
			listing.Running = append(listing.Running, bbrwork.Run{Unit: key.unit, Number: key.number, Percent: fullPercent, TailLatency: tail})
			if due && l.now.Sub(l.start) > interferenceSettled {
				l.latencies++
				if tail < r.unit.step.spec.LatencyTarget {
					l.lowLatencies++
				}
			}
			continue
		}
		if l.left[key] -= time.Duration(float64(overloadTick) / slowdown); l.left[key] > 0 {
			listing.Running = append(listing.Running, bbrwork.Run{Unit: key.unit, Number: key.number})
			continue
		}
		l.sequences[id]++
		listing.Ended = append(listing.Ended, bbrwork.RunEnd{Sequence: l.sequences[id], Unit: key.unit, Run: key.number, Outcome: bbrwork.OutcomeDone})
		delete(l.left, key)
	}
	if len(listing.Ended) == 0 && !due {
		return
	}
	_, renewed := l.sched.PlanRenewal(id, true, l.now)
	require.True(l, renewed)
	l.sched.ApplyListing(l.upstream(id).Incarnation, &listing, l.now, l.now)
	for _, end := range listing.Ended {
		l.countCaller(end.Unit.Job)
	}
}

// countCaller counts the caller of a job that has ended.
func (l *interferenceLoad) countCaller(id string) {
	j, accepted := l.sched.jobs[id], l.accepted[id]
	if j == nil || j.finalState != bbrwork.Completed || accepted.Sub(l.start) < interferenceSettled || j.Steps[0].Image != "encode" && j.Steps[0].Image != "render" {
		return
	}
	l.callers++
	if l.now.Sub(accepted) <= time.Duration(1.6*float64(l.baseOf[id]))+600*time.Millisecond {
		l.inTime++
	}
}

func (l *interferenceLoad) inTimeShare() float64 { return float64(l.inTime) / float64(l.callers) }
func (l *interferenceLoad) lowShare() float64    { return float64(l.lowLatencies) / float64(l.latencies) }

// TestInterferingImagesAreKeptApart plays a load with images that slow each other down, and
// guards against packing that puts them together while there is room elsewhere: callers
// miss their objectives, and serving work its latency target.
func TestInterferingImagesAreKeptApart(t *testing.T) {
	const seeds, least, gain = 3, 0.8, 0.4
	var inTime, low [2]float64
	for seed := range uint64(seeds) {
		for n, separate := range []bool{false, true} {
			l := newInterferenceLoad(t, seed, separate)
			l.play()
			inTime[n] += l.inTimeShare() / seeds
			low[n] += l.lowShare() / seeds
			counts := l.sched.SeparationCounts()
			t.Logf("seed %d, separation %v: callers in time %.2f, tail latencies below the target %.2f, %+v", seed, separate, l.inTimeShare(), l.lowShare(), counts)
			require.Equal(t, separate, counts.Avoided > 0)
			require.Equal(t, separate, counts.Pairs > 0)
		}
	}
	require.Greater(t, inTime[1], max(least, inTime[0]+gain), "callers in time")
	require.Greater(t, low[1], max(least, low[0]+gain), "tail latencies below the target")
}

// TestHarmlessImagesAreStillPacked guards against a price for the setting where no image
// slows another one down: work then starts exactly where it would without it.
func TestHarmlessImagesAreStillPacked(t *testing.T) {
	without, with := newInterferenceLoad(t, 0, false), newInterferenceLoad(t, 0, true)
	without.harmless, with.harmless = true, true
	without.play()
	with.play()
	require.Equal(t, without.starts, with.starts)
	require.Zero(t, with.sched.SeparationCounts())
}

// storedPair returns the record of a pair that an earlier owner found.
func storedPair(t *testing.T, affected, neighbour string, at time.Time) []byte {
	record := bbrinterference.Record{At: at, Pairs: []bbrinterference.StoredPair{
		{Affected: affected, Neighbour: neighbour, Effect: 0.7, Weight: 100, Squares: 60, Observations: 60, Contrast: 5, FoundAt: at},
	}}
	data, err := json.Marshal(record)
	require.NoError(t, err)
	return data
}

// newSeparatedScene returns a scene in which encode and render interfere, with a run of
// encode on one of the upstreams, whose ID it returns.
func newSeparatedScene(t *testing.T, stored []byte, upstreams ...string) (s *scene, encodeOn string) {
	s = newScene(t, true)
	s.sched.SeparateInterfering(stored, s.now)
	for _, id := range upstreams {
		s.register(id)
		s.list(id)
	}
	return s, s.startImage(testJob, "encode")
}

// startImage starts a work unit of an image and returns the upstream that it starts on;
// empty if it does not start.
func (s *scene) startImage(id, image string) string {
	step := unitStep(1)
	step.Image = image
	s.accept(id, step)
	plan := s.plan()
	s.answerStarts(plan, nil)
	if len(plan.Starts) == 0 {
		return ""
	}
	return plan.Starts[0].Upstream.ID
}

// TestSuccessorKeepsInterferingImagesApart guards against a takeover after which images
// that slow each other down are packed together until that is found out again.
func TestSuccessorKeepsInterferingImagesApart(t *testing.T) {
	s, encodeOn := newSeparatedScene(t, storedPair(t, "encode", "render", testStart), "i-1", "i-2")
	require.NotEqual(t, encodeOn, s.startImage("00000000000000c1", "render"))
	require.Equal(t, SeparationCounts{Avoided: 1, Pairs: 1}, s.sched.SeparationCounts())
	require.Equal(t, encodeOn, s.startImage("00000000000000c2", "encode"), "work of one image is packed")
}

// TestUnreadableInterferenceRecord checks that a damaged record counts as none: the owner
// starts, and packs.
func TestUnreadableInterferenceRecord(t *testing.T) {
	s, encodeOn := newSeparatedScene(t, []byte("{"), "i-1", "i-2")
	require.Equal(t, encodeOn, s.startImage("00000000000000c1", "render"))
	notes, _ := s.sched.Notes()
	require.True(t, slices.ContainsFunc(notes, func(n Note) bool { return n.Text == "Ignoring the stored record of interfering images" }))
}

// TestSeparationNeverDelaysWork checks that work starts beside an interfering image if there
// is no room elsewhere, and that the conditions for data come first.
func TestSeparationNeverDelaysWork(t *testing.T) {
	s, encodeOn := newSeparatedScene(t, storedPair(t, "encode", "render", testStart), "i-1")
	require.Equal(t, encodeOn, s.startImage("00000000000000c1", "render"))
	require.Equal(t, SeparationCounts{Unavoidable: 1, Pairs: 1}, s.sched.SeparationCounts())

	s, encodeOn = newSeparatedScene(t, storedPair(t, "encode", "render", testStart), "i-1", "i-2")
	s.sched.upstreams[encodeOn].Labels = []string{"a", "rack-7"}
	step := unitStep(1)
	step.Image, step.DataRack = "render", "rack-7"
	s.accept("00000000000000c1", step)
	require.Equal(t, encodeOn, s.plan().Starts[0].Upstream.ID)
}

// TestReservedCapacityIsNotAvoided guards against a start that is counted as kept apart by
// choice although the capacity beside the other image was reserved for other work.
func TestReservedCapacityIsNotAvoided(t *testing.T) {
	s, encodeOn := newSeparatedScene(t, storedPair(t, "encode", "render", testStart), "i-1", "i-2")
	s.sched.ReserveCapacity = true
	other := map[string]string{"i-1": "i-2", "i-2": "i-1"}[encodeOn]
	s.accept("00000000000000c0", smallStep(5*time.Second))
	r := s.sched.addRun(s.unit("00000000000000c0", 0), 1, s.sched.upstreams[other], s.now)
	r.phase, r.confirmedAt = phaseRunning, s.now
	s.accept("00000000000000c2", bbrwork.Step{Count: 1, Need: bbrwork.Resources{MilliCPU: 4000, MemoryMB: 100}, Estimate: time.Second})
	s.plan()
	require.NotNil(t, s.sched.upstreams[encodeOn].hold)
	require.Equal(t, other, s.startImage("00000000000000c1", "render"))
	require.Zero(t, s.sched.SeparationCounts().Avoided)
}

// TestPaceChangesExposure guards against best-effort work that is accused of latencies
// while it is paused: its neighbours are exposed to it by its pace.
func TestPaceChangesExposure(t *testing.T) {
	s := newScene(t, true)
	s.sched.SeparateInterfering(nil, s.now)
	s.register("i-1")
	s.list("i-1")
	serving, bestEffort := unitStep(1), unitStep(1)
	serving.LongRunning, serving.LatencyTarget, serving.Image = true, testTarget, "web"
	bestEffort.LongRunning, bestEffort.BestEffort, bestEffort.Image = true, true, "index"
	s.accept(servingJob, serving)
	s.accept(bestEffortJob, bestEffort)
	s.answerStarts(s.plan(), nil)
	r := s.unit(bestEffortJob, 0).runs[0]
	require.Equal(t, 1.0, r.observed.pace)
	s.advance(time.Second)
	s.listTail(2 * testTarget)
	require.Len(t, s.sched.Plan(true, s.now).Paces, 1)
	require.InDelta(t, float64(r.pace)/fullPace, r.observed.pace, 0.001)
	require.Less(t, r.observed.pace, 1.0)
}

// TestInterferenceIsStoredWithOtherChanges checks that a record is due until it is stored,
// and then only once it has changed, and that nothing is observed or stored without the
// setting.
func TestInterferenceIsStoredWithOtherChanges(t *testing.T) {
	s, _ := newSeparatedScene(t, storedPair(t, "encode", "render", testStart), "i-1")
	require.Nil(t, s.sched.Batch(1000, s.now).Interference, "the store has the record")
	s.advance(time.Hour)
	s.sched.Plan(true, s.now)
	batch := s.sched.Batch(1000, s.now)
	require.NotNil(t, batch.Interference, "the pair is forgotten")
	require.Empty(t, batch.Interference.Pairs)
	s.sched.ApplyStored(batch, 0, s.now)
	require.NotNil(t, s.sched.Batch(1000, s.now).Interference, "nothing was written")
	s.sched.ApplyStored(batch, 1, s.now)
	require.Nil(t, s.sched.Batch(1000, s.now.Add(time.Minute)).Interference)

	off := newInterferenceLoad(t, 1, false)
	off.play()
	require.Nil(t, off.sched.Batch(1000, off.now).Interference)
	for _, up := range off.sched.upstreams {
		require.Nil(t, up.site)
	}
}
