package bbrfairshare

import (
	"math"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	// averageTime is the time constant of the average of what an organisation used. It is
	// about the length of a job, so that single jobs are evened out and a burst is
	// forgotten soon after its end.
	averageTime = 2 * time.Second
	// presentPart is the part of the counted use that is what runs now; the rest is the
	// average. An organisation that used little can so start a whole job at once.
	presentPart = 0.2
)

// Use is the use by which an organisation is measured against its share. The zero value
// is that of an organisation that has used nothing.
type Use struct {
	// Running is what runs, starts or may run.
	Running bbrwork.Resources
	// milliCPU and memoryMB are the average of Running as of at, in which older use
	// counts exponentially less.
	milliCPU, memoryMB float64
	at                 time.Time
	// fresh is what began since the last call of BeginPlan. It counts in full, so that one
	// plan divides the capacity exactly.
	fresh bbrwork.Resources
}

// BeginPlan begins a plan.
func (u *Use) BeginPlan() { u.fresh = bbrwork.Resources{} }

// Add counts a start from now on.
func (u *Use) Add(amount bbrwork.Resources, now time.Time) {
	u.advance(now)
	u.Running, u.fresh = u.Running.Plus(amount), u.fresh.Plus(amount)
}

// Remove counts an end from now on.
func (u *Use) Remove(amount bbrwork.Resources, now time.Time) {
	u.advance(now)
	u.Running = u.Running.Minus(amount)
}

// Counted returns the use that counts now: a part of what runs and of the average of what
// ran. What began in this plan counts in full, as far as no more runs than counts: it may
// have taken the place of work that is still in the average.
func (u *Use) Counted(now time.Time) bbrwork.Resources {
	u.advance(now)
	count := func(running, fresh int, average float64) int {
		blend := presentPart*float64(running) + (1-presentPart)*average
		return int(min(blend+(1-presentPart)*float64(fresh), max(blend, float64(running))))
	}
	return bbrwork.Resources{MilliCPU: count(u.Running.MilliCPU, u.fresh.MilliCPU, u.milliCPU), MemoryMB: count(u.Running.MemoryMB, u.fresh.MemoryMB, u.memoryMB)}
}

func (u *Use) advance(now time.Time) {
	passed := now.Sub(u.at)
	if passed <= 0 {
		return
	}
	u.at = now
	kept := math.Exp(-passed.Seconds() / averageTime.Seconds())
	u.milliCPU = kept*u.milliCPU + (1-kept)*float64(u.Running.MilliCPU)
	u.memoryMB = kept*u.memoryMB + (1-kept)*float64(u.Running.MemoryMB)
}
