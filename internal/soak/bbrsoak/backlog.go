package bbrsoak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/standin/bbrfleet"
)

const (
	// linkBytesPerSecond is the rate of the link of an entry, 2 Mbit/s.
	linkBytesPerSecond = 250_000
	// While upstreams lack missingPercent of their capacity, no job can start. Callers
	// then submit backlogJobs jobs of about backlogJobBytes before the faults begin, and
	// fewer from then on.
	missingPercent      = 99
	backlogJobs         = 400
	backlogJobBytes     = 1500
	maxBacklogPause     = 50 * time.Millisecond
	backlogBuildTimeout = 30 * time.Second
	// Two faults begin minTakeoverPause to maxTakeoverPause after each other.
	minTakeoverPause, maxTakeoverPause = 300 * time.Millisecond, 3 * time.Second
	// An owner that ends starts again after minDown to maxOwnerDown. One that loses power
	// leaves its connections open for minDark to maxDark before.
	maxOwnerDown     = 6 * time.Second
	minDark, maxDark = 2 * time.Second, 5 * time.Second
	// A paused owner keeps its session.
	minOwnerPause, maxOwnerPause = 300 * time.Millisecond, 2 * time.Second
	// Large lists of a slow store begin after minListDelay to maxListDelay.
	minListDelay, maxListDelay           = 300 * time.Millisecond, 1500 * time.Millisecond
	minListBytes, maxListBytes           = 200_000, 600_000
	minSlowStoreDelay, maxSlowStoreDelay = 3 * time.Second, 8 * time.Second
)

// reduceAllCapacity takes a percentage of the capacity of all upstreams away.
func (s *Soak) reduceAllCapacity(percent int) {
	for number := range s.upstreamRelays {
		s.fleet.ReduceCapacity(number, percent)
	}
}

// lacksBacklog reports whether callers are to submit jobs without long pauses.
func (c *callers) lacksBacklog() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.acceptedCount < backlogJobs
}

// injectTakeovers lets owners of shards with a backlog end, lose power and pause, in
// series that overlap, for the duration of the soak test.
func (injector *faultInjector) injectTakeovers(ctx context.Context, start time.Time) {
	s := injector.soak
	if !s.eventually(backlogBuildTimeout, func() bool { return !s.callers.lacksBacklog() }) {
		s.callers.reportFault("callers could not submit %d jobs in %v", backlogJobs, backlogBuildTimeout)
	}
	kinds := []eventKind{injector.killOwner, injector.killOwner, injector.darkenOwner, injector.darkenOwner, injector.pauseOnce, injector.killAll, injector.slowLists, injector.upstreamPathFault}
	var running sync.WaitGroup
	for end := time.Now().Add(s.Duration); ctx.Err() == nil && time.Now().Before(end); {
		e := newEvent(kinds[injector.random.IntN(len(kinds))], randomDuration(injector.random, minSlowStoreDelay, maxSlowStoreDelay))
		s.logEvent(start, "%s %s", time.Now().Format(clockFormat), e.name)
		running.Go(e.run)
		time.Sleep(randomDuration(injector.random, minTakeoverPause, maxTakeoverPause))
	}
	running.Wait()
}

// owner returns a random entry that owns shards; any entry if there is none.
func (injector *faultInjector) owner() *entry {
	if owners := injector.soak.owners(); len(owners) > 0 {
		return owners[injector.random.IntN(len(owners))]
	}
	return injector.entry()
}

// killOwner kills an owner of shards.
func (injector *faultInjector) killOwner(time.Duration) *event {
	e, down := injector.owner(), randomDuration(injector.random, minDown, maxOwnerDown)
	return &event{name: fmt.Sprintf("owner %s is killed, and down for %v", e.name, down.Round(time.Millisecond)), begin: func() { e.restart(syscall.SIGKILL, down) }}
}

// darkenOwner lets an owner of shards fall silent and end later, as on a loss of power.
func (injector *faultInjector) darkenOwner(time.Duration) *event {
	e, dark := injector.owner(), randomDuration(injector.random, minDark, maxDark)
	return &event{name: fmt.Sprintf("owner %s is silent for %v and ends", e.name, dark.Round(time.Millisecond)), begin: func() {
		e.signal(syscall.SIGSTOP)
		time.Sleep(dark)
		e.restart(syscall.SIGKILL, minDown)
	}}
}

// pauseOnce pauses an owner of shards, which keeps its session.
func (injector *faultInjector) pauseOnce(time.Duration) *event {
	e, pause := injector.owner(), randomDuration(injector.random, minOwnerPause, maxOwnerPause)
	return &event{name: fmt.Sprintf("owner %s pauses for %v", e.name, pause.Round(time.Millisecond)), begin: func() {
		e.signal(syscall.SIGSTOP)
		time.Sleep(pause)
		e.signal(syscall.SIGCONT)
	}}
}

// killAll kills all entries at once.
func (injector *faultInjector) killAll(time.Duration) *event {
	down := randomDuration(injector.random, minDown, maxDown)
	return &event{name: fmt.Sprintf("all entries are killed, and down for %v", down.Round(time.Millisecond)), begin: func() {
		var running sync.WaitGroup
		for _, e := range injector.soak.entries {
			running.Go(func() { e.restart(syscall.SIGKILL, down) })
		}
		running.Wait()
	}}
}

// slowLists makes the store slow with large lists, but not with other calls.
func (injector *faultInjector) slowLists(time.Duration) *event {
	delay := randomDuration(injector.random, minListDelay, maxListDelay)
	rate := minListBytes + injector.random.IntN(maxListBytes-minListBytes)
	return &event{
		name: fmt.Sprintf("large lists begin after %v, at %d bytes a second", delay.Round(time.Millisecond), rate),
		begin: func() {
			injector.soak.fleet.SetCallFaults(bbrfleet.CallFaults{ListDelay: delay, ListBytesPerSecond: rate})
		},
		end: func() { injector.soak.fleet.SetCallFaults(bbrfleet.CallFaults{}) },
	}
}

// newBacklogJob returns a new small job that occupies about backlogJobBytes in the store.
func (c *caller) newBacklogJob() *submittedJob {
	job := c.newSmallJob()
	job.storedBytes = backlogJobBytes/2 + c.random.IntN(backlogJobBytes)
	return job
}
