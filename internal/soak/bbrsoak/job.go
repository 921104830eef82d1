package bbrsoak

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/standin/bbrfleet"
)

const (
	// longRunningDuration is longer than every soak test.
	longRunningDuration = 24 * time.Hour
	longRunningUnits    = 3
	// longRunningUnitsPer100 is the maximum number of long-running work units for 100
	// upstreams. It leaves upstreams that can be free of long-running work.
	longRunningUnitsPer100 = 80
	// One in jobsPerLargeJob jobs is large. Before one in jobsPerLongRunningJob jobs, a
	// caller replaces its long-running job.
	jobsPerLargeJob       = 40
	jobsPerLongRunningJob = 80
	// One in jobsPerCrashingJob jobs crashes its upstreams.
	jobsPerCrashingJob = 200
	// While upstreams restart and are cut off, one in jobsPerLongJob jobs takes
	// minLongDuration to maxLongDuration, beyond the longest lease of a run.
	jobsPerLongJob                   = 2
	minLongDuration, maxLongDuration = 8 * time.Second, 12 * time.Second
	// smallMilliCPU is what a work unit of a small job needs, in thousandths of a core.
	smallMilliCPU = 100
	// A large work unit needs between minLargePercent and maxLargePercent of an
	// upstream's memory or processor time.
	minLargePercent, maxLargePercent = 60, 95
)

// submittedJob is a job as its caller knows it.
type submittedJob struct {
	id, pool string
	duration time.Duration
	// steps run one after the other.
	steps       []step
	longRunning bool
	// crashing is set if the job's work unit crashes each upstream on which it starts.
	crashing bool
	accepted bool
	// acceptedAt is when the caller received the acceptance.
	acceptedAt time.Time
	// storedBytes is the least size of the job's spec; 0 for any.
	storedBytes int
	// outcomeUnknown is set if an attempt to submit the job had no definite answer, so
	// that the job may be stored.
	outcomeUnknown bool
	// unknown is set if the caller was told, when it cancelled the job, that there is none.
	unknown bool
	// cancelStored is set if it was told that the cancellation is stored.
	cancelStored bool
	// cancelled is set if the caller requested cancellation.
	cancelled bool
	state     string
	// stalled is set if a work unit of the job could run and did not.
	stalled bool
	// key is the key of the caller's organisation.
	key string
}

// step is a step of a submitted job.
type step struct {
	Count          int   `json:"count"`
	MilliCPU       int   `json:"cpu"`
	MemoryMB       int   `json:"mem_mb"`
	EstimateMs     int64 `json:"estimate_ms"`
	LongRunning    bool  `json:"long_running,omitempty"`
	MaxUnavailable int   `json:"may_miss,omitempty"`
	DependsOn      []int `json:"after,omitempty"`
	// Image names what the work units run; it stands for their kind of job.
	Image string `json:"image,omitempty"`
}

// newJob returns a new job without steps.
func (c *caller) newJob() *submittedJob {
	duration := randomDuration(c.random, 20*time.Millisecond, 800*time.Millisecond).Round(time.Millisecond)
	return &submittedJob{id: fmt.Sprintf("%016x", c.random.Uint64()), pool: pools[c.random.IntN(len(pools))], duration: duration, key: c.key}
}

// newLongRunningJob returns a new long-running job.
func (c *caller) newLongRunningJob() *submittedJob {
	job := c.newJob()
	job.duration, job.longRunning = longRunningDuration, true
	job.addStep(step{Count: longRunningUnits, MilliCPU: 100 + c.random.IntN(500), MemoryMB: 1000 + c.random.IntN(5000), LongRunning: true, MaxUnavailable: 1, Image: "longRunning"})
	return job
}

// newLargeJob returns a new job whose work units need most of an upstream.
func (c *caller) newLargeJob() *submittedJob {
	random := c.random
	job := c.newJob()
	large := step{Count: 1 + random.IntN(2), MilliCPU: 500, MemoryMB: 100, Image: "large"}
	if share := minLargePercent + random.IntN(maxLargePercent-minLargePercent); random.IntN(4) > 0 {
		large.MemoryMB = bbrfleet.CapacityMB * share / 100
	} else {
		large.MilliCPU = bbrfleet.CapacityMilliCPU * share / 100
	}
	job.addStep(large)
	return job
}

// newCrashingJob returns a job of one work unit that crashes its upstreams.
func (c *caller) newCrashingJob() *submittedJob {
	job := c.newJob()
	job.crashing = true
	job.addStep(step{Count: 1, MilliCPU: smallMilliCPU, MemoryMB: 100, Image: "small"})
	return job
}

// newLongJob returns a new job whose work units take long, but end. They are large enough
// for their pools to keep most upstreams.
func (c *caller) newLongJob() *submittedJob {
	job := c.newJob()
	job.duration = randomDuration(c.random, minLongDuration, maxLongDuration).Round(time.Millisecond)
	job.addStep(step{Count: 2 + c.random.IntN(3), MilliCPU: 1000 + c.random.IntN(1000), MemoryMB: 1000, Image: "long"})
	return job
}

// newSmallJob returns a new job of small work units.
func (c *caller) newSmallJob() *submittedJob {
	random := c.random
	job := c.newJob()
	for range 1 + random.IntN(2) {
		job.addStep(step{Count: 1 + random.IntN(3), MilliCPU: smallMilliCPU, MemoryMB: 100, Image: "small"})
	}
	return job
}

// addStep appends a step that depends on the last one.
func (j *submittedJob) addStep(s step) {
	s.EstimateMs = min(j.duration, time.Second).Milliseconds()
	if len(j.steps) > 0 {
		s.DependsOn = []int{len(j.steps) - 1}
	}
	j.steps = append(j.steps, s)
}

func (j *submittedJob) body() []byte {
	spec := j.duration.String()
	if j.crashing {
		spec = bbrfleet.CrashSpec
	}
	spec += strings.Repeat(" ", max(0, j.storedBytes-len(spec)))
	body, err := json.Marshal(struct {
		Spec  string `json:"spec"`
		Steps []step `json:"steps"`
	}{spec, j.steps})
	if err != nil {
		panic(err) // It has no values that cannot be encoded.
	}
	return body
}

// needs returns what the work units of each step need.
func (j *submittedJob) needs() []bbrfleet.Amount {
	var needs []bbrfleet.Amount
	for _, s := range j.steps {
		needs = append(needs, bbrfleet.Amount{MilliCPU: s.MilliCPU, MemoryMB: s.MemoryMB})
	}
	return needs
}

// cpuTime returns how long the job occupies one core.
func (j *submittedJob) cpuTime() time.Duration {
	var total time.Duration
	for _, s := range j.steps {
		total += time.Duration(s.Count*s.MilliCPU) * j.duration / milliCPUPerCore
	}
	return total
}

// anyUnit reports whether the condition holds for a work unit of the job.
func (j *submittedJob) anyUnit(condition func(task string) bool) bool {
	for number, s := range j.steps {
		for index := range s.Count {
			if condition(j.unitName(number, index)) {
				return true
			}
		}
	}
	return false
}

// unitName returns the name of a work unit.
func (j *submittedJob) unitName(step, index int) string {
	return fmt.Sprintf("%s.0.%d.%d", j.id, step, index)
}

// nextStep returns the first step that is not done and its work units that are not done.
func (j *submittedJob) nextStep(done func(task string) bool) (next step, tasks []string) {
	for number, s := range j.steps {
		for index := range s.Count {
			if task := j.unitName(number, index); !done(task) {
				tasks = append(tasks, task)
			}
		}
		if len(tasks) > 0 {
			return s, tasks
		}
	}
	return step{}, nil
}
