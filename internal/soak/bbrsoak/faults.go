package bbrsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/standin/bbrfleet"
	"github.com/bluebellridge/bluebellridge/internal/standin/bbrrelay"
)

// event is one injected fault or operation. Events overlap.
type event struct {
	name     string
	duration time.Duration
	begin    func()
	// end reverts what begin did; nil if there is nothing to revert.
	end func()
}

// run begins the event and ends it after its duration.
func (e *event) run() {
	e.begin()
	if e.end != nil {
		time.Sleep(e.duration)
		e.end()
	}
}

const (
	minPause, maxPause                 = 100 * time.Millisecond, 1200 * time.Millisecond
	minEventDuration, maxEventDuration = 300 * time.Millisecond, 6 * time.Second
)

func randomDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// injectFaults runs random events for the duration of the soak test, and waits for
// all of them to end.
func (s *Soak) injectFaults(ctx context.Context) {
	start := time.Now()
	injector := &faultInjector{soak: s, random: s.random(1), configCount: 1, end: start.Add(s.Duration)}
	if s.SlowOwners {
		injector.injectSlowOwners(ctx, start)
		s.callers.configCount = injector.configCount
		return
	}
	if s.Backlog {
		injector.injectTakeovers(ctx, start)
		s.callers.configCount = injector.configCount
		return
	}
	var running sync.WaitGroup
	for ctx.Err() == nil && time.Now().Before(injector.end) {
		e := injector.next()
		s.logEvent(start, "%s %s for %v", time.Now().Format(clockFormat), e.name, e.duration.Round(time.Millisecond))
		running.Go(e.run)
		time.Sleep(randomDuration(injector.random, minPause, injector.maxPause()))
	}
	running.Wait()
	s.callers.configCount, s.callers.waveCount = injector.configCount, injector.waveCount
}

// faultInjector creates random events.
type faultInjector struct {
	soak        *Soak
	random      *rand.Rand
	configCount int
	waveCount   int
	// end is when the last events begin.
	end time.Time
	// round has the events that follow, with Restarts.
	round []*event
}

// eventKind returns a random event of a kind. The duration is that of the event unless
// begin lasts on its own.
type eventKind func(duration time.Duration) *event

// next returns the next event.
func (injector *faultInjector) next() *event {
	if !injector.soak.Restarts {
		return injector.draw()
	}
	if len(injector.round) == 0 {
		injector.round = injector.drawRestartRound()
	}
	e := injector.round[0]
	injector.round = injector.round[1:]
	return e
}

// maxPause returns the longest time between the beginnings of two events.
func (injector *faultInjector) maxPause() time.Duration {
	if injector.soak.Restarts {
		return maxRestartPause
	}
	return maxPause
}

func (injector *faultInjector) draw() *event {
	duration := injector.drawDuration()
	if injector.soak.LateCommits {
		kinds := []eventKind{injector.lateCommits, injector.lateCommits, injector.storeFault, injector.storePathFault, injector.kill}
		return newEvent(kinds[injector.random.IntN(len(kinds))], duration)
	}
	kinds := []eventKind{injector.kill, injector.terminate, injector.freeze, injector.sendHangup, injector.storeFault, injector.storeFault, injector.compactStore, injector.storePathFault, injector.upstreamPathFault, injector.upstreamPathFault, injector.crashUpstream, injector.restartUpstream, injector.reduceCapacity, injector.changeConfig, injector.startWave}
	return newEvent(kinds[injector.random.IntN(len(kinds))], duration)
}

func (injector *faultInjector) drawDuration() time.Duration {
	return randomDuration(injector.random, minEventDuration, maxEventDuration)
}

func newEvent(kind eventKind, duration time.Duration) *event {
	e := kind(duration)
	e.duration = duration
	return e
}

func (injector *faultInjector) entry() *entry {
	return injector.soak.entries[injector.random.IntN(len(injector.soak.entries))]
}

// restart ends the process of an entry with a signal, and starts it again.
func (injector *faultInjector) restart(name string, signal syscall.Signal, after time.Duration) *event {
	e := injector.entry()
	return &event{name: name + " " + e.name, begin: func() { e.restart(signal, after) }}
}

func (injector *faultInjector) kill(duration time.Duration) *event {
	return injector.restart("kill", syscall.SIGKILL, duration/2)
}

func (injector *faultInjector) terminate(time.Duration) *event {
	return injector.restart("terminate", syscall.SIGTERM, 0)
}

func (injector *faultInjector) freeze(time.Duration) *event {
	e := injector.entry()
	return &event{name: "freeze " + e.name, begin: func() { e.signal(syscall.SIGSTOP) }, end: func() { e.signal(syscall.SIGCONT) }}
}

func (injector *faultInjector) sendHangup(time.Duration) *event {
	e := injector.entry()
	return &event{name: "SIGHUP to " + e.name, begin: func() { e.signal(syscall.SIGHUP) }}
}

func (injector *faultInjector) storeFault(time.Duration) *event {
	fault := []struct {
		name string
		bbrfleet.CallFaults
	}{
		{"store refuses calls", bbrfleet.CallFaults{Unavailable: true}},
		{"store does not answer", bbrfleet.CallFaults{Hang: true}},
		{"store is slow", bbrfleet.CallFaults{Delay: randomDuration(injector.random, 20*time.Millisecond, 400*time.Millisecond)}},
		{"store loses answers", bbrfleet.CallFaults{AnswerLossRate: injector.random.Float64() / 2}},
	}[injector.random.IntN(4)]
	return &event{name: fault.name, begin: func() { injector.soak.fleet.SetCallFaults(fault.CallFaults) }, end: func() { injector.soak.fleet.SetCallFaults(bbrfleet.CallFaults{}) }}
}

// lateCommits lets the store do a part of the transactions seconds later, without an answer.
func (injector *faultInjector) lateCommits(time.Duration) *event {
	faults := bbrfleet.CallFaults{LateCommitRate: injector.random.Float64() / 2, Delay: randomDuration(injector.random, 0, 200*time.Millisecond)}
	return &event{name: "store does transactions late", begin: func() { injector.soak.fleet.SetCallFaults(faults) }, end: func() { injector.soak.fleet.SetCallFaults(bbrfleet.CallFaults{}) }}
}

func (injector *faultInjector) compactStore(time.Duration) *event {
	return &event{name: "store compacts its history", begin: injector.soak.fleet.Compact}
}

func (injector *faultInjector) storePathFault(time.Duration) *event {
	e := injector.entry()
	return injector.pathFault("path of "+e.name+" to the store", e.storeRelay)
}

func (injector *faultInjector) upstreamPathFault(time.Duration) *event {
	number := injector.random.IntN(len(injector.soak.upstreamRelays))
	return injector.pathFault(fmt.Sprintf("path to upstream %d", number), injector.soak.upstreamRelays[number])
}

// pathFault returns a random fault on the connections of a relay.
func (injector *faultInjector) pathFault(name string, relay *bbrrelay.Relay) *event {
	delay := randomDuration(injector.random, 20*time.Millisecond, 1500*time.Millisecond)
	return []*event{
		{name: name + " is cut", begin: func() { relay.SetPartitioned(true) }, end: func() { relay.SetPartitioned(false) }},
		{name: name + " drops responses", begin: func() { relay.SetDropReplies(true) }, end: func() { relay.SetDropReplies(false) }},
		{name: name + " is delayed by " + delay.String(), begin: func() { relay.SetDelay(delay) }, end: func() { relay.SetDelay(0) }},
		{name: name + " black-holes open connections", begin: func() { relay.Blackhole() }},
		{name: name + " is reset", begin: relay.CloseConnections},
	}[injector.random.IntN(5)]
}

func (injector *faultInjector) crashUpstream(time.Duration) *event {
	number := injector.random.IntN(len(injector.soak.upstreamRelays))
	return &event{name: fmt.Sprintf("crash of upstream %d", number), begin: func() { injector.soak.fleet.Crash(number) }}
}

// restartUpstream restarts an upstream under its ID, several times in a row.
func (injector *faultInjector) restartUpstream(time.Duration) *event {
	number := injector.random.IntN(len(injector.soak.upstreamRelays))
	return &event{name: fmt.Sprintf("upstream %d restarts under its ID", number), begin: func() {
		for range upstreamRestarts {
			injector.soak.fleet.Restart(number, 0)
			time.Sleep(upstreamRestartPause)
		}
	}}
}

const (
	upstreamRestarts     = 4
	upstreamRestartPause = 700 * time.Millisecond
)

// reduceCapacity takes a part of an upstream's capacity away for a while.
func (injector *faultInjector) reduceCapacity(time.Duration) *event {
	number := injector.random.IntN(len(injector.soak.upstreamRelays))
	missing := 10 + injector.random.IntN(85)
	return &event{
		name:  fmt.Sprintf("upstream %d lacks %d%% of its capacity", number, missing),
		begin: func() { injector.soak.fleet.ReduceCapacity(number, missing) },
		end:   func() { injector.soak.fleet.ReduceCapacity(number, 0) },
	}
}

func (injector *faultInjector) changeConfig(time.Duration) *event {
	injector.configCount++
	version := injector.configCount
	return &event{name: fmt.Sprintf("configuration %d", version), begin: func() { injector.soak.fleet.Put("op/config", encodeConfig(version)) }}
}

func (injector *faultInjector) startWave(time.Duration) *event {
	injector.waveCount++
	number := injector.waveCount
	var machines []string
	for i := range injector.soak.UpstreamCount {
		if injector.random.IntN(2) == 0 {
			machines = append(machines, fmt.Sprintf("%q", fmt.Sprintf("m-%d", i+1)))
		}
	}
	text := fmt.Appendf(nil, `{"wave":%d,"machines":[%s],"deadline_s":20,"cap":2}`, number, strings.Join(machines, ","))
	return &event{name: fmt.Sprintf("wave %d over %d machines", number, len(machines)), begin: func() { injector.soak.fleet.Put(fmt.Sprintf("op/wave/%d", number), text) }}
}

// endFaults reverts all faults and lets stopped processes continue.
func (s *Soak) endFaults() {
	s.fleet.SetCallFaults(bbrfleet.CallFaults{})
	for number := range s.upstreamRelays {
		s.fleet.ReduceCapacity(number, 0)
		s.fleet.SetLateOrders(number, 0)
	}
	for _, w := range s.upstreamRelays {
		repair(w)
	}
	for _, e := range s.entries {
		repair(e.storeRelay)
		e.signal(syscall.SIGCONT)
	}
}

func repair(relay *bbrrelay.Relay) {
	relay.SetPartitioned(false)
	relay.SetDropReplies(false)
	relay.SetDelay(0)
}
