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
	name  string
	lasts time.Duration
	begin func()
	// end mends what begin did; nil for nothing to mend.
	end func()
}

// run plays the event.
func (e *event) run() {
	e.begin()
	if e.end != nil {
		time.Sleep(e.lasts)
		e.end()
	}
}

const (
	leastPause, mostPause = 100 * time.Millisecond, 1200 * time.Millisecond
	leastEvent, mostEvent = 300 * time.Millisecond, 6 * time.Second
)

func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

// trouble plays events until the time is over, and waits for their ends.
func (s *Soak) trouble(ctx context.Context) {
	t := &troubles{soak: s, random: s.random(1), versions: 1}
	began := time.Now()
	var running sync.WaitGroup
	for ctx.Err() == nil && time.Since(began) < s.Duration {
		e := t.draw()
		s.say(began, "%s for %v", e.name, e.lasts.Round(time.Millisecond))
		running.Go(e.run)
		time.Sleep(between(t.random, leastPause, mostPause))
	}
	running.Wait()
	s.callers.versions, s.callers.waves = t.versions, t.waves
}

// troubles draws events.
type troubles struct {
	soak     *Soak
	random   *rand.Rand
	versions int
	waves    int
}

func (t *troubles) draw() *event {
	lasts := between(t.random, leastEvent, mostEvent)
	kinds := []func(lasts time.Duration) *event{t.kill, t.terminate, t.freeze, t.hangUp, t.store, t.store, t.compact, t.storePath, t.workerPath, t.workerPath, t.crash, t.configure, t.wave}
	e := kinds[t.random.IntN(len(kinds))](lasts)
	e.lasts = lasts
	return e
}

func (t *troubles) entry() *entry { return t.soak.entries[t.random.IntN(len(t.soak.entries))] }

// restarted ends the process of an entry and starts it again.
func (t *troubles) restarted(name string, signal syscall.Signal, after time.Duration) *event {
	e := t.entry()
	return &event{name: name + " " + e.name, begin: func() {
		if !e.restarting.CompareAndSwap(false, true) {
			return
		}
		defer e.restarting.Store(false)
		e.signal(signal)
		if err := e.revive(after); err != nil {
			t.soak.callers.fault("%s does not start again: %v", e.name, err)
		}
	}}
}

func (t *troubles) kill(lasts time.Duration) *event {
	return t.restarted("kill", syscall.SIGKILL, lasts/2)
}

func (t *troubles) terminate(time.Duration) *event {
	return t.restarted("terminate", syscall.SIGTERM, 0)
}

func (t *troubles) freeze(time.Duration) *event {
	e := t.entry()
	return &event{name: "freeze " + e.name, begin: func() { e.signal(syscall.SIGSTOP) }, end: func() { e.signal(syscall.SIGCONT) }}
}

func (t *troubles) hangUp(time.Duration) *event {
	e := t.entry()
	return &event{name: "SIGHUP to " + e.name, begin: func() { e.signal(syscall.SIGHUP) }}
}

func (t *troubles) store(time.Duration) *event {
	weather := []struct {
		name string
		bbrfleet.Weather
	}{
		{"store refuses", bbrfleet.Weather{Refuse: true}},
		{"store is silent", bbrfleet.Weather{Silent: true}},
		{"store is slow", bbrfleet.Weather{Slow: between(t.random, 20*time.Millisecond, 400*time.Millisecond)}},
		{"store loses answers", bbrfleet.Weather{Lose: t.random.Float64() / 2}},
	}[t.random.IntN(4)]
	return &event{name: weather.name, begin: func() { t.soak.fleet.SetWeather(weather.Weather) }, end: func() { t.soak.fleet.SetWeather(bbrfleet.Weather{}) }}
}

func (t *troubles) compact(time.Duration) *event {
	return &event{name: "store forgets its history", begin: t.soak.fleet.Compact}
}

func (t *troubles) storePath(time.Duration) *event {
	e := t.entry()
	return t.path("path of "+e.name+" to the store", e.store)
}

func (t *troubles) workerPath(time.Duration) *event {
	number := t.random.IntN(len(t.soak.workers))
	return t.path(fmt.Sprintf("path to upstream %d", number), t.soak.workers[number])
}

// path brings trouble to the connections of a relay.
func (t *troubles) path(name string, relay *bbrrelay.Relay) *event {
	delay := between(t.random, 20*time.Millisecond, 1500*time.Millisecond)
	return []*event{
		{name: name + " is cut", begin: func() { relay.SetCut(true) }, end: func() { relay.SetCut(false) }},
		{name: name + " drops what comes back", begin: func() { relay.SetOneWay(true) }, end: func() { relay.SetOneWay(false) }},
		{name: name + " is late by " + delay.String(), begin: func() { relay.SetDelay(delay) }, end: func() { relay.SetDelay(0) }},
		{name: name + " goes silent", begin: func() { relay.Forget() }},
		{name: name + " is reset", begin: relay.Reset},
	}[t.random.IntN(5)]
}

func (t *troubles) crash(time.Duration) *event {
	number := t.random.IntN(len(t.soak.workers))
	return &event{name: fmt.Sprintf("crash of upstream %d", number), begin: func() { t.soak.fleet.Crash(number) }}
}

func (t *troubles) configure(time.Duration) *event {
	t.versions++
	version := t.versions
	return &event{name: fmt.Sprintf("configuration %d", version), begin: func() { t.soak.fleet.Put("op/config", config(version)) }}
}

func (t *troubles) wave(time.Duration) *event {
	t.waves++
	number := t.waves
	var machines []string
	for i := range t.soak.UpstreamCount {
		if t.random.IntN(2) == 0 {
			machines = append(machines, fmt.Sprintf("%q", fmt.Sprintf("m-%d", i+1)))
		}
	}
	text := fmt.Appendf(nil, `{"wave":%d,"machines":[%s],"deadline_s":20,"cap":2}`, number, strings.Join(machines, ","))
	return &event{name: fmt.Sprintf("wave %d over %d machines", number, len(machines)), begin: func() { t.soak.fleet.Put(fmt.Sprintf("op/wave/%d", number), text) }}
}

// calm mends everything and lets the processes run.
func (s *Soak) calm() {
	s.fleet.SetWeather(bbrfleet.Weather{})
	for _, w := range s.workers {
		mend(w)
	}
	for _, e := range s.entries {
		mend(e.store)
		e.signal(syscall.SIGCONT)
	}
}

func mend(r *bbrrelay.Relay) {
	r.SetCut(false)
	r.SetOneWay(false)
	r.SetDelay(0)
}
