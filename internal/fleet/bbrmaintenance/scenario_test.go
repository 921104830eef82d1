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
	// faultPeriod is the time during which jobs arrive and faults occur.
	faultPeriod = 8 * time.Second
	// recoveryTime is the time after the last fault from which work must start in time
	// again.
	recoveryTime = 5 * time.Second
	// waveTimeLimit is the time limit of the wave.
	waveTimeLimit = 10 * time.Second
)

// scenario draws the jobs and faults of a run of the model.
type scenario struct {
	*rapid.T
	model *model
	pools []string
	// wide makes it draw also wide work units, which fit on an empty instance and hardly
	// beside other work.
	wide bool
	jobs []*bbrwork.Job
}

// plannedJob is a job that arrives later.
type plannedJob struct {
	pool  string
	at    time.Duration
	steps []bbrwork.Step
}

func (s *scenario) drawInt(from, to int, label string) int {
	return rapid.IntRange(from, to).Draw(s.T, label)
}

// drawNeed draws the resources that a work unit needs.
func (s *scenario) drawNeed(wide bool) bbrwork.Resources {
	if wide {
		return bbrwork.Resources{MilliCPU: s.drawInt(1, 15, "wide cores") * 1000, MemoryMB: s.drawInt(30, 60, "wide GB") * 1000}
	}
	return bbrwork.Resources{MilliCPU: s.drawInt(1, 4, "half cores") * 500, MemoryMB: s.drawInt(1, 4, "GB") * 1000}
}

// drawStep draws a step and the largest number of instances that it fills.
func (s *scenario) drawStep() (step bbrwork.Step, instances int) {
	wide := s.wide && rapid.Bool().Draw(s.T, "wide")
	step = bbrwork.Step{Need: s.drawNeed(wide), Count: s.drawInt(1, 4, "units"), Estimate: time.Duration(s.drawInt(1, 30, "estimate")) * 100 * time.Millisecond}
	if s.drawInt(0, 5, "long-running") == 0 {
		step.LongRunning, step.Estimate = true, 0
	}
	if wide {
		return step, step.Count
	}
	return step, 1
}

// drawJob draws a job and the largest number of instances that it fills.
func (s *scenario) drawJob() (job plannedJob, instances int) {
	job.pool = rapid.SampledFrom(s.pools).Draw(s.T, "pool")
	job.at = s.drawTime("job at")
	first, instances := s.drawStep()
	job.steps = []bbrwork.Step{first}
	if !first.LongRunning && rapid.Bool().Draw(s.T, "two steps") {
		second, more := s.drawStep()
		second.DependsOn = []int{0}
		job.steps = append(job.steps, second)
		instances += more
	}
	return job, instances
}

// setUp draws pools with long-running work and the jobs to arrive, and returns the jobs.
// One pool has extra instances for twice as much work.
func (s *scenario) setUp() []plannedJob {
	sizes, extra := make(map[string]int), 0
	longRunning := make(map[string]bbrwork.Step)
	for _, pool := range s.pools {
		sizes[pool] = s.drawInt(3, 12, "size")
		if count := sizes[pool] - s.drawInt(0, 3, "without long-running work"); count > 0 {
			longRunning[pool] = longRunningStep(count, s.drawInt(1, 9, "long-running cores")*1000, s.drawInt(1, 50, "long-running GB")*1000)
		}
		extra += sizes[pool] + reserveInstances
	}
	var jobs []plannedJob
	for range s.drawInt(1, 6, "jobs") {
		job, instances := s.drawJob()
		jobs = append(jobs, job)
		extra += 2 * instances
	}
	sizes[rapid.SampledFrom([]string{offPool, s.pools[0]}).Draw(s.T, "pool with extra instances")] += extra
	s.model = newModel(capacity16, sizes)
	for _, pool := range s.pools {
		if step, ok := longRunning[pool]; ok {
			s.model.accept(pool, step)
		}
	}
	return jobs
}

// event is a fault or the arrival of a job at a time after the start.
type event struct {
	at time.Duration
	do func()
}

// drawTime draws a time within faultPeriod.
func (s *scenario) drawTime(label string) time.Duration {
	return time.Duration(s.drawInt(0, int(faultPeriod/modelStep)-1, label)) * modelStep
}

// drawFaults draws replacements of owners, instances that are unreachable for a while,
// moves by operators, and a wave.
func (s *scenario) drawFaults() []event {
	m := s.model
	var events []event
	for range s.drawInt(0, 4, "replacements") {
		pool := rapid.SampledFrom(s.pools).Draw(s.T, "whose owner")
		events = append(events, event{s.drawTime("replacement at"), func() { m.replaceOwner(pool) }})
	}
	for range s.drawInt(0, 4, "unreachable instances") {
		instance, length := rapid.SampledFrom(m.ids).Draw(s.T, "unreachable"), time.Duration(s.drawInt(1, 60, "unreachable for"))*100*time.Millisecond
		events = append(events, event{s.drawTime("unreachable at"), func() { m.instances[instance].unreachableUntil = m.now.Add(length) }})
	}
	for range s.drawInt(0, 3, "moves") {
		instance, pool := rapid.SampledFrom(m.ids).Draw(s.T, "moved"), rapid.SampledFrom(s.pools).Draw(s.T, "moved to")
		events = append(events, event{s.drawTime("move at"), func() { m.directives = bbrmachine.Directives{instance: {Pool: pool}} }})
	}
	wave := bbrmachine.Wave{Number: 1, Instances: slices.Clone(m.ids[:s.drawInt(0, 6, "wave")]), TimeLimit: waveTimeLimit, MaxAway: 2}
	return append(events, event{s.drawTime("wave at"), func() { m.planner.AddWave(wave, nil, m.now) }})
}

// drawLoss draws whether a start or its answer is lost.
func (s *scenario) drawLoss() (start, answer bool) {
	outcome := s.drawInt(0, 9, "outcome")
	return outcome == 0, outcome == 1
}

// run lets jobs arrive while faults occur, then ends the faults and lets the jobs
// complete.
func (s *scenario) run() {
	jobs := s.setUp()
	m := s.model
	events := s.drawFaults()
	for _, job := range jobs {
		events = append(events, event{job.at, func() { s.jobs = append(s.jobs, m.accept(job.pool, job.steps...)) }})
	}
	start := m.now
	m.losesMessages, m.waitsCountFrom = s.drawLoss, start.Add(time.Hour)
	for m.now.Sub(start) < faultPeriod {
		events = slices.DeleteFunc(events, func(e event) bool {
			due := e.at <= m.now.Sub(start)
			if due {
				e.do()
			}
			return due
		})
		m.step()
	}
	m.losesMessages, m.directives = nil, nil
	for _, instance := range m.instances {
		instance.unreachableUntil = time.Time{}
	}
	m.runUntil(s.waveDone, 2*waveTimeLimit)
	m.waitsCountFrom = m.now.Add(recoveryTime)
	m.run(recoveryTime + maxLongRunningStartWait)
	m.runUntil(s.allCompleted, 20*time.Second)
}

func (s *scenario) waveDone() bool { return s.model.planner.Progress()[0].Completed }

func (s *scenario) allCompleted() bool {
	return !slices.ContainsFunc(s.jobs, func(job *bbrwork.Job) bool { return !job.LongRunning() && s.model.state(job) != bbrwork.Completed })
}

// runScenarios checks drawn scenarios for violations, and that jobs and waves complete.
func runScenarios(t *testing.T, wide bool) {
	rapid.Check(t, func(t *rapid.T) {
		s := &scenario{T: t, pools: []string{donorPool, recipientPool, "third"}[:rapid.IntRange(1, 3).Draw(t, "pools")], wide: wide}
		s.run()
		require.Empty(t, s.model.violations)
		require.True(t, s.allCompleted(), "a job did not complete")
		require.True(t, s.waveDone(), "the wave was not completed")
	})
}

// TestNarrowWorkStartsAfterFaultsEnd replaces owners, loses starts and their answers, and
// makes instances unreachable, moves and maintains them. It checks that no work unit runs
// twice, that no instance exceeds its capacity, and that after the faults all work starts
// in time and completes.
func TestNarrowWorkStartsAfterFaultsEnd(t *testing.T) { runScenarios(t, false) }

// TestWideWorkStartsAfterFaultsEnd does the same with wide work units, which fit on an
// empty instance and hardly beside other work.
func TestWideWorkStartsAfterFaultsEnd(t *testing.T) { runScenarios(t, true) }
