package bbrmaintenance

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// TestWorkThatFitsEventuallyStarts submits jobs of all shapes, each of which fits on empty
// instances, beside a spare pool that has the capacity for all of them. It checks that
// every work unit starts eventually.
func TestWorkThatFitsEventuallyStarts(t *testing.T) {
	const spares, wait = 60, 40 * time.Second
	rapid.Check(t, func(r *rapid.T) {
		m := newModel(capacity16, map[string]int{recipientPool: rapid.IntRange(1, 8).Draw(r, "upstreams"), offPool: spares})
		// Long waits are not violations here, only endless ones are.
		m.waitsCountFrom = m.now.Add(time.Hour)
		for range rapid.IntRange(1, 5).Draw(r, "jobs") {
			m.accept(recipientPool, drawSteps(r)...)
			m.run(time.Duration(rapid.IntRange(0, 40).Draw(r, "steps")) * testStep)
		}
		m.runUntil(func() bool { return len(m.neverStarted()) == 0 }, wait)
		requireAllStarted(r, m)
	})
}

// drawSteps draws the steps of a job. Each step depends on the one before, unless that
// one is long-running.
func drawSteps(r *rapid.T) []bbrwork.Step {
	var steps []bbrwork.Step
	for number := range rapid.IntRange(1, 2).Draw(r, "length") {
		step := bbrwork.Step{
			Count:    rapid.IntRange(1, 8).Draw(r, "count"),
			Need:     bbrwork.Resources{MilliCPU: 500 * rapid.IntRange(1, 32).Draw(r, "cpu"), MemoryMB: 4096 * rapid.IntRange(1, 16).Draw(r, "memory")},
			Estimate: 100 * time.Millisecond * time.Duration(rapid.IntRange(3, 20).Draw(r, "estimate")),
		}
		switch rapid.IntRange(0, 3).Draw(r, "shape") {
		case 0:
			step.LongRunning = true
		case 1:
			step.LongRunning, step.MaxPerUpstream = true, 1
		case 2:
			step.Gang = true
		}
		if number > 0 && !steps[number-1].LongRunning {
			step.DependsOn = []int{number - 1}
		}
		steps = append(steps, step)
		if step.LongRunning {
			break
		}
	}
	return steps
}
