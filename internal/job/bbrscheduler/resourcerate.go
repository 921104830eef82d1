package bbrscheduler

import (
	"math"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// resourceRate is the use of resources by finite work.
type resourceRate struct{ milliCPU, memoryMB float64 }

// limitOf returns the rate that a cap allows. A resource that is 0 in the cap is not limited.
func limitOf(limit bbrwork.Resources) resourceRate {
	rate := resourceRate{milliCPU: math.Inf(1), memoryMB: math.Inf(1)}
	if limit.MilliCPU > 0 {
		rate.milliCPU = float64(limit.MilliCPU)
	}
	if limit.MemoryMB > 0 {
		rate.memoryMB = float64(limit.MemoryMB)
	}
	return rate
}

// add adds the other rate times the factor.
func (rate *resourceRate) add(other resourceRate, factor float64) {
	rate.milliCPU += other.milliCPU * factor
	rate.memoryMB += other.memoryMB * factor
}

func (rate resourceRate) times(factor float64) resourceRate {
	return resourceRate{milliCPU: rate.milliCPU * factor, memoryMB: rate.memoryMB * factor}
}

// within returns the rate, reduced in all resources alike if it exceeds the limit in one.
func (rate resourceRate) within(limit resourceRate) resourceRate {
	part := 1.0
	if rate.milliCPU > limit.milliCPU {
		part = min(part, max(0, limit.milliCPU)/rate.milliCPU)
	}
	if rate.memoryMB > limit.memoryMB {
		part = min(part, max(0, limit.memoryMB)/rate.memoryMB)
	}
	return rate.times(part)
}

// milliCPUFor returns the processor capacity of the upstreams that the rate needs, by processor
// time or by memory, whichever needs more of them.
func (sched *Scheduler) milliCPUFor(rate resourceRate) float64 {
	return max(rate.milliCPU, sched.milliCPUPerMB()*rate.memoryMB)
}

// milliCPUPerMB returns the processor capacity of the registered upstreams for each megabyte
// of their memory; 0 if they have no memory.
func (sched *Scheduler) milliCPUPerMB() float64 {
	var capacity bbrwork.Resources
	for _, up := range sched.upstreams {
		if up.registered {
			capacity = capacity.Plus(up.Capacity)
		}
	}
	if capacity.MemoryMB == 0 {
		return 0
	}
	return float64(capacity.MilliCPU) / float64(capacity.MemoryMB)
}
