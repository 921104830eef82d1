package bbrfleet

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// CapacityMilliCPU and CapacityMB are the CPU, in thousandths of a core, and memory
// of each upstream while its capacity is not reduced.
const (
	CapacityMilliCPU = 4000
	CapacityMB       = 16000
)

// capacityNotice is how long after a reduction owners may still start work by the
// capacity before it.
const capacityNotice = 4500 * time.Millisecond

// Amount is an amount of capacity.
type Amount struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU, MemoryMB int
}

// reducedCapacity returns the capacity of which a percentage is missing.
func reducedCapacity(missingPercent int) Amount {
	left := 100 - missingPercent
	return Amount{MilliCPU: CapacityMilliCPU * left / 100, MemoryMB: CapacityMB * left / 100}
}

// headroom returns the amount as it is registered and listed.
func (a Amount) headroom() map[string]int {
	return map[string]int{"cpu": a.MilliCPU, "mem_mb": a.MemoryMB, "gpu": 0}
}

// ReduceCapacity takes a percentage of an upstream's capacity away, also if more is in
// use; 0 restores it.
func (f *Fleet) ReduceCapacity(number, missingPercent int) {
	w := f.workers[number%len(f.workers)]
	w.mu.Lock()
	defer w.mu.Unlock()
	w.missingPercent, w.reducedAt = missingPercent, time.Now()
}

// DeclareJob declares what each work unit of the job's steps needs. Starts of declared
// jobs are checked against the capacity of their upstream.
func (f *Fleet) DeclareJob(job string, steps []Amount) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.needs[job] = steps
}

// need returns what a work unit needs; nothing if its job is not declared. The caller
// holds mu.
func (f *Fleet) need(task string) Amount {
	parts := strings.Split(task, ".")
	if len(parts) != unitNameParts {
		return Amount{}
	}
	number, err := strconv.Atoi(parts[2])
	if steps := f.needs[parts[0]]; err == nil && number < len(steps) {
		return steps[number]
	}
	return Amount{}
}

// checkCapacity checks that the worker can take a work unit beside what runs there. The
// caller holds the worker's mu.
func (f *Fleet) checkCapacity(task string, w *worker, now time.Time) {
	if now.Sub(w.reducedAt) < capacityNotice {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	used := f.need(task)
	for running := range w.running {
		need := f.need(running)
		used.MilliCPU += need.MilliCPU
		used.MemoryMB += need.MemoryMB
	}
	if limit := reducedCapacity(w.missingPercent); used.MilliCPU > limit.MilliCPU || used.MemoryMB > limit.MemoryMB {
		f.violations = append(f.violations, fmt.Sprintf("%s started on %s beyond its capacity: %+v of %+v", task, w.name, used, limit))
	}
}
