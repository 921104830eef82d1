package bbrmaintenance

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	// badWeather is how long work comes and things go wrong.
	badWeather = 8 * time.Second
	// contact is how long after the last disturbance the promise holds again.
	contact = 5 * time.Second
	// waveWithin is the time of a wave.
	waveWithin = 10 * time.Second
)

// weather draws what happens in a model.
type weather struct {
	*rapid.T
	model *model
	pools []string
	// wide draws also work that fits on an empty instance and hardly beside
	// other work.
	wide bool
	jobs []*bbrwork.Job
}

// plannedJob is a job to come.
type plannedJob struct {
	pool  string
	at    time.Duration
	steps []bbrwork.Step
}

func (w *weather) number(from, to int, label string) int {
	return rapid.IntRange(from, to).Draw(w.T, label)
}

// need draws what a work unit takes.
func (w *weather) need(wide bool) bbrwork.Resources {
	if wide {
		return bbrwork.Resources{MilliCPU: w.number(1, 15, "wide cores") * 1000, MemoryMB: w.number(30, 60, "wide GB") * 1000}
	}
	return bbrwork.Resources{MilliCPU: w.number(1, 4, "half cores") * 500, MemoryMB: w.number(1, 4, "GB") * 1000}
}

// step draws a step, and how many instances it fills at most.
func (w *weather) step() (step bbrwork.Step, instances int) {
	wide := w.wide && rapid.Bool().Draw(w.T, "wide")
	step = bbrwork.Step{Need: w.need(wide), Count: w.number(1, 4, "units"), Estimate: time.Duration(w.number(1, 30, "estimate")) * 100 * time.Millisecond}
	if w.number(0, 5, "lasting") == 0 {
		step.LongRunning, step.Estimate = true, 0
	}
	if wide {
		return step, step.Count
	}
	return step, 1
}

func (w *weather) planJob() (job plannedJob, instances int) {
	job.pool = rapid.SampledFrom(w.pools).Draw(w.T, "pool")
	job.at = w.at("job at")
	first, instances := w.step()
	job.steps = []bbrwork.Step{first}
	if !first.LongRunning && rapid.Bool().Draw(w.T, "two steps") {
		second, more := w.step()
		second.DependsOn = []int{0}
		job.steps = append(job.steps, second)
		instances += more
	}
	return job, instances
}

// begin draws pools with lasting work, the jobs to come, and room elsewhere for
// twice as much.
func (w *weather) begin() []plannedJob {
	sizes, elsewhere := make(map[string]int), 0
	lasting := make(map[string]bbrwork.Step)
	for _, pool := range w.pools {
		sizes[pool] = w.number(3, 12, "size")
		if count := sizes[pool] - w.number(0, 3, "without lasting work"); count > 0 {
			lasting[pool] = lastingStep(count, w.number(1, 9, "lasting cores")*1000, w.number(1, 50, "lasting GB")*1000)
		}
		elsewhere += sizes[pool] + reserveInstances
	}
	var jobs []plannedJob
	for range w.number(1, 6, "jobs") {
		job, instances := w.planJob()
		jobs = append(jobs, job)
		elsewhere += 2 * instances
	}
	sizes[rapid.SampledFrom([]string{off, w.pools[0]}).Draw(w.T, "room elsewhere")] += elsewhere
	w.model = newModel(room16, sizes)
	for _, pool := range w.pools {
		if step, ok := lasting[pool]; ok {
			w.model.accept(pool, step)
		}
	}
	return jobs
}

// event is something to come.
type event struct {
	at time.Duration
	do func()
}

func (w *weather) at(label string) time.Duration {
	return time.Duration(w.number(0, int(badWeather/modelStep)-1, label)) * modelStep
}

// disturbances draws takeovers, instances that are not reached for a while, moves
// that operators ask for, and a wave.
func (w *weather) disturbances() []event {
	m := w.model
	var events []event
	for range w.number(0, 4, "takeovers") {
		pool := rapid.SampledFrom(w.pools).Draw(w.T, "whose owner")
		events = append(events, event{w.at("takeover at"), func() { m.takeOver(pool) }})
	}
	for range w.number(0, 4, "silences") {
		instance, length := rapid.SampledFrom(m.ids).Draw(w.T, "silent"), time.Duration(w.number(1, 60, "silent for"))*100*time.Millisecond
		events = append(events, event{w.at("silent at"), func() { m.instances[instance].silent = m.now.Add(length) }})
	}
	for range w.number(0, 3, "moves") {
		instance, pool := rapid.SampledFrom(m.ids).Draw(w.T, "moved"), rapid.SampledFrom(w.pools).Draw(w.T, "moved to")
		events = append(events, event{w.at("move at"), func() { m.directives = bbrmachine.Directives{instance: {Pool: pool}} }})
	}
	wave := bbrmachine.Wave{Number: 1, Instances: slices.Clone(m.ids[:w.number(0, 6, "wave")]), TimeLimit: waveWithin, MaxAway: 2}
	return append(events, event{w.at("wave at"), func() { m.planner.AddWave(wave, nil, m.now) }})
}

func (w *weather) loses() (start, answer bool) {
	fate := w.number(0, 9, "fate")
	return fate == 0, fate == 1
}

// play lets jobs come in bad weather, and then calm weather end them.
func (w *weather) play() {
	jobs := w.begin()
	m := w.model
	events := w.disturbances()
	for _, job := range jobs {
		events = append(events, event{job.at, func() { w.jobs = append(w.jobs, m.accept(job.pool, job.steps...)) }})
	}
	began := m.now
	m.loses, m.calmFrom = w.loses, began.Add(time.Hour)
	for m.now.Sub(began) < badWeather {
		events = slices.DeleteFunc(events, func(e event) bool {
			due := e.at <= m.now.Sub(began)
			if due {
				e.do()
			}
			return due
		})
		m.step()
	}
	m.loses, m.directives = nil, nil
	for _, instance := range m.instances {
		instance.silent = time.Time{}
	}
	m.runUntil(w.waveDone, 2*waveWithin)
	m.calmFrom = m.now.Add(contact)
	m.run(contact + lastingBound)
	m.runUntil(w.allEnded, 20*time.Second)
}

func (w *weather) waveDone() bool { return w.model.planner.Progress()[0].Completed }

func (w *weather) allEnded() bool {
	return !slices.ContainsFunc(w.jobs, func(job *bbrwork.Job) bool { return !job.LongRunning() && w.model.state(job) != bbrwork.Completed })
}

func playWeather(t *testing.T, wide bool) {
	rapid.Check(t, func(t *rapid.T) {
		w := &weather{T: t, pools: []string{calm, pressed, "quiet"}[:rapid.IntRange(1, 3).Draw(t, "pools")], wide: wide}
		w.play()
		require.Empty(t, w.model.faults)
		require.True(t, w.allEnded(), "a job never ended")
		require.True(t, w.waveDone(), "a wave never ended")
	})
}

// TestNarrowWorkStartsInCalmWeather lets owners be replaced, starts and answers be
// lost, instances fall silent, move and have their maintenance. Nothing runs twice or beyond
// an instance's room, and in calm weather all work starts in time and ends.
func TestNarrowWorkStartsInCalmWeather(t *testing.T) { playWeather(t, false) }

// TestWideWorkStartsInCalmWeather does the same with work units that fit on an
// empty instance and hardly beside other work.
func TestWideWorkStartsInCalmWeather(t *testing.T) { playWeather(t, true) }
