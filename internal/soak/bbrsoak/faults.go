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

// event is one piece of trouble. Events overlap.
type event struct {
	name     string
	duration time.Duration
	begin    func()
	// end mends what begin did; nil for nothing to mend.
	end func()
}

// run plays the event.
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

// injectFaults plays events until the time is over, and waits for their ends.
func (s *Soak) injectFaults(ctx context.Context) {
	injector := &faultInjector{soak: s, random: s.random(1), configCount: 1}
	start := time.Now()
	var running sync.WaitGroup
	for ctx.Err() == nil && time.Since(start) < s.Duration {
		e := injector.draw()
		s.logEvent(start, "%s for %v", e.name, e.duration.Round(time.Millisecond))
		running.Go(e.run)
		time.Sleep(randomDuration(injector.random, minPause, maxPause))
	}
	running.Wait()
	s.callers.configCount, s.callers.waveCount = injector.configCount, injector.waveCount
}

// faultInjector draws events.
type faultInjector struct {
	soak        *Soak
	random      *rand.Rand
	configCount int
	waveCount   int
}

func (t *faultInjector) draw() *event {
	duration := randomDuration(t.random, minEventDuration, maxEventDuration)
	kinds := []func(duration time.Duration) *event{t.kill, t.terminate, t.freeze, t.sendHangup, t.storeFault, t.storeFault, t.compactStore, t.storePathFault, t.upstreamPathFault, t.upstreamPathFault, t.crashUpstream, t.changeConfig, t.startWave}
	e := kinds[t.random.IntN(len(kinds))](duration)
	e.duration = duration
	return e
}

func (t *faultInjector) entry() *entry { return t.soak.entries[t.random.IntN(len(t.soak.entries))] }

// restart ends the process of an entry and starts it again.
func (t *faultInjector) restart(name string, signal syscall.Signal, after time.Duration) *event {
	e := t.entry()
	return &event{name: name + " " + e.name, begin: func() {
		if !e.restarting.CompareAndSwap(false, true) {
			return
		}
		defer e.restarting.Store(false)
		e.signal(signal)
		if err := e.startAfterExit(after); err != nil {
			t.soak.callers.reportFault("%s does not start again: %v", e.name, err)
		}
	}}
}

func (t *faultInjector) kill(duration time.Duration) *event {
	return t.restart("kill", syscall.SIGKILL, duration/2)
}

func (t *faultInjector) terminate(time.Duration) *event {
	return t.restart("terminate", syscall.SIGTERM, 0)
}

func (t *faultInjector) freeze(time.Duration) *event {
	e := t.entry()
	return &event{name: "freeze " + e.name, begin: func() { e.signal(syscall.SIGSTOP) }, end: func() { e.signal(syscall.SIGCONT) }}
}

func (t *faultInjector) sendHangup(time.Duration) *event {
	e := t.entry()
	return &event{name: "SIGHUP to " + e.name, begin: func() { e.signal(syscall.SIGHUP) }}
}

func (t *faultInjector) storeFault(time.Duration) *event {
	fault := []struct {
		name string
		bbrfleet.CallFaults
	}{
		{"store refuses", bbrfleet.CallFaults{Unavailable: true}},
		{"store is silent", bbrfleet.CallFaults{Hang: true}},
		{"store is slow", bbrfleet.CallFaults{Delay: randomDuration(t.random, 20*time.Millisecond, 400*time.Millisecond)}},
		{"store loses answers", bbrfleet.CallFaults{AnswerLossRate: t.random.Float64() / 2}},
	}[t.random.IntN(4)]
	return &event{name: fault.name, begin: func() { t.soak.fleet.SetCallFaults(fault.CallFaults) }, end: func() { t.soak.fleet.SetCallFaults(bbrfleet.CallFaults{}) }}
}

func (t *faultInjector) compactStore(time.Duration) *event {
	return &event{name: "store forgets its history", begin: t.soak.fleet.Compact}
}

func (t *faultInjector) storePathFault(time.Duration) *event {
	e := t.entry()
	return t.pathFault("path of "+e.name+" to the store", e.storeRelay)
}

func (t *faultInjector) upstreamPathFault(time.Duration) *event {
	number := t.random.IntN(len(t.soak.upstreamRelays))
	return t.pathFault(fmt.Sprintf("path to upstream %d", number), t.soak.upstreamRelays[number])
}

// pathFault brings trouble to the connections of a relay.
func (t *faultInjector) pathFault(name string, relay *bbrrelay.Relay) *event {
	delay := randomDuration(t.random, 20*time.Millisecond, 1500*time.Millisecond)
	return []*event{
		{name: name + " is cut", begin: func() { relay.SetPartitioned(true) }, end: func() { relay.SetPartitioned(false) }},
		{name: name + " drops what comes back", begin: func() { relay.SetDropReplies(true) }, end: func() { relay.SetDropReplies(false) }},
		{name: name + " is late by " + delay.String(), begin: func() { relay.SetDelay(delay) }, end: func() { relay.SetDelay(0) }},
		{name: name + " goes silent", begin: func() { relay.Blackhole() }},
		{name: name + " is reset", begin: relay.CloseConnections},
	}[t.random.IntN(5)]
}

func (t *faultInjector) crashUpstream(time.Duration) *event {
	number := t.random.IntN(len(t.soak.upstreamRelays))
	return &event{name: fmt.Sprintf("crash of upstream %d", number), begin: func() { t.soak.fleet.Crash(number) }}
}

func (t *faultInjector) changeConfig(time.Duration) *event {
	t.configCount++
	version := t.configCount
	return &event{name: fmt.Sprintf("configuration %d", version), begin: func() { t.soak.fleet.Put("op/config", encodeConfig(version)) }}
}

func (t *faultInjector) startWave(time.Duration) *event {
	t.waveCount++
	number := t.waveCount
	var machines []string
	for i := range t.soak.UpstreamCount {
		if t.random.IntN(2) == 0 {
			machines = append(machines, fmt.Sprintf("%q", fmt.Sprintf("m-%d", i+1)))
		}
	}
	text := fmt.Appendf(nil, `{"wave":%d,"machines":[%s],"deadline_s":20,"cap":2}`, number, strings.Join(machines, ","))
	return &event{name: fmt.Sprintf("wave %d over %d machines", number, len(machines)), begin: func() { t.soak.fleet.Put(fmt.Sprintf("op/wave/%d", number), text) }}
}

// endFaults mends everything and lets the processes run.
func (s *Soak) endFaults() {
	s.fleet.SetCallFaults(bbrfleet.CallFaults{})
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
