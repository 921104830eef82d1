package bbrsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
)

const (
	// A phase of a slow owner is long enough for the grace period of long-running work
	// and for the calm after the fault that accompanies it.
	minPhase, maxPhase = 14 * time.Second, 20 * time.Second
	// The accompanying fault begins minFaultDelay to maxFaultDelay after its phase has begun.
	minFaultDelay, maxFaultDelay = time.Second, 3 * time.Second
	// An upstream that answers nobody does so for minSilence to maxSilence. Several are
	// cut off for cutDuration, in which the leases of their runs end.
	minSilence, maxSilence = 8 * time.Second, 12 * time.Second
	cutDuration            = 6 * time.Second
	// One upstream, and one more for each upstreamsPerCut upstreams, crashes or is cut off.
	upstreamsPerCut = 6
	// The owner is ended up to maxOwnerDelay after the fault of upstreams began, and starts
	// again after minDown to maxDown.
	maxOwnerDelay    = 3 * time.Second
	minDown, maxDown = 300 * time.Millisecond, 3 * time.Second
	// The paths to upstreams are delayed by at most maxPathDelay every second
	// pathDelayPeriod.
	maxPathDelay     = 1500 * time.Millisecond
	pathDelayPeriod  = 700 * time.Millisecond
	pathDelayPeriods = 6
	// clockFormat is the time as the entries' logs have it.
	clockFormat = "15:04:05.000"
)

// pausePattern is how long a slow owner is paused, and how long it continues in between.
type pausePattern struct {
	name             string
	minStop, maxStop time.Duration
	minRun, maxRun   time.Duration
}

// pausePatterns are the kinds of slow owners. All of them can renew their session, whose
// lease of 3 s is renewed every 600 ms.
var pausePatterns = []pausePattern{
	{"paused", 100 * time.Millisecond, 800 * time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond},
	{"throttled", 60 * time.Millisecond, 180 * time.Millisecond, 2 * time.Millisecond, 6 * time.Millisecond},
	{"paused for long", 500 * time.Millisecond, 2200 * time.Millisecond, 50 * time.Millisecond, 600 * time.Millisecond},
}

// injectMonitoredFaults injects the faults and, with SlowOwners, checks during them that
// long-running work runs again in time.
func (s *Soak) injectMonitoredFaults(ctx context.Context) {
	if s.SlowOwners {
		s.disturbances = &disturbances{}
		monitor := newStallMonitor(s)
		monitor.disturbances = s.disturbances
		ctx, stop := context.WithCancel(ctx)
		var monitoring sync.WaitGroup
		monitoring.Go(func() { monitor.run(ctx) })
		defer monitoring.Wait()
		defer stop()
	}
	s.injectFaults(ctx)
}

// injectSlowOwners runs phases of a slow owner, most of them with another fault, for the
// duration of the soak test.
func (injector *faultInjector) injectSlowOwners(ctx context.Context, start time.Time) {
	for ctx.Err() == nil && time.Since(start) < injector.soak.Duration {
		p := injector.drawSlowPhase(min(maxPhase, injector.soak.Duration-time.Since(start)))
		injector.soak.logEvent(start, "%s %s for %v, %s", time.Now().Format(clockFormat), p.series.describe(), p.duration.Round(time.Millisecond), p.fault.name)
		p.run()
	}
}

// slowPhase is a phase of a slow owner with a fault that accompanies it.
type slowPhase struct {
	series     *pauseSeries
	duration   time.Duration
	faultDelay time.Duration
	fault      *event
}

func (injector *faultInjector) drawSlowPhase(limit time.Duration) *slowPhase {
	random := injector.random
	p := &slowPhase{duration: min(limit, randomDuration(random, minPhase, maxPhase)), faultDelay: randomDuration(random, minFaultDelay, maxFaultDelay)}
	p.series = injector.drawPauseSeries()
	p.fault = injector.accompanyingFault(p.series)
	return p
}

func (injector *faultInjector) drawPauseSeries() *pauseSeries {
	random := injector.random
	return &pauseSeries{
		soak: injector.soak, random: rand.New(rand.NewPCG(random.Uint64(), 0)),
		pausePattern: pausePatterns[random.IntN(len(pausePatterns))], follows: random.IntN(2) == 0,
	}
}

// accompanyingFault returns a fault of upstreams or none, during which the slow owner may
// be ended.
func (injector *faultInjector) accompanyingFault(series *pauseSeries) *event {
	none := func() *event { return &event{name: "upstreams without a fault", begin: func() {}} }
	kinds := []func() *event{
		none, none, injector.silenceUpstream, injector.cutUpstreams, injector.crashUpstreams, injector.delayUpstreamPaths,
	}
	upstreams, owner := kinds[injector.random.IntN(len(kinds))](), injector.endOwner(series)
	delay := randomDuration(injector.random, 0, maxOwnerDelay)
	return &event{name: upstreams.name + ", " + owner.name, begin: func() {
		var running sync.WaitGroup
		running.Go(func() { injector.soak.disturb(upstreams) })
		time.Sleep(delay)
		injector.soak.disturb(owner)
		running.Wait()
	}}
}

func (p *slowPhase) run() {
	ctx, cancel := context.WithTimeout(context.Background(), p.duration)
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { p.series.run(ctx) })
	time.Sleep(p.faultDelay)
	p.fault.run()
	running.Wait()
}

// pauseSeries pauses an owner of shards again and again. The owner stays in office.
type pauseSeries struct {
	soak   *Soak
	random *rand.Rand
	pausePattern
	// follows means that the present owner is paused, whoever it is; otherwise it is the
	// first one all the time.
	follows bool

	mu    sync.Mutex
	owner *entry
}

func (series *pauseSeries) describe() string {
	if series.follows {
		return "each owner is " + series.pausePattern.name
	}
	return "one owner is " + series.pausePattern.name
}

// run pauses the owner until ctx ends.
func (series *pauseSeries) run(ctx context.Context) {
	for ctx.Err() == nil {
		e := series.current()
		e.signal(syscall.SIGSTOP)
		time.Sleep(randomDuration(series.random, series.minStop, series.maxStop))
		e.signal(syscall.SIGCONT)
		time.Sleep(randomDuration(series.random, series.minRun, series.maxRun))
	}
}

// current returns the owner that is slow.
func (series *pauseSeries) current() *entry {
	series.mu.Lock()
	defer series.mu.Unlock()
	owners := series.soak.owners()
	if len(owners) > 0 && (series.owner == nil || series.follows && !slices.Contains(owners, series.owner)) {
		series.owner = owners[series.random.IntN(len(owners))]
		fmt.Fprintf(series.soak.Out, "%s slow owner: %s\n", time.Now().Format(clockFormat), series.owner.name)
	}
	if series.owner == nil {
		return series.soak.entries[0]
	}
	return series.owner
}

// owners returns the entries that own shards, in the order of their names.
func (s *Soak) owners() []*entry {
	holds := make(map[string]bool)
	for _, item := range s.fleet.List(bbrclaim.ClaimKey("")) {
		var claim struct {
			Entry string `json:"entry"`
		}
		if item.Key != bbrclaim.ClaimKey(bbrclaim.LeadershipName) && json.Unmarshal(item.Value, &claim) == nil {
			holds[claim.Entry] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(s.entries), func(e *entry) bool { return !holds[e.name] })
}

// disturb carries out a fault that excuses work from running.
func (s *Soak) disturb(fault *event) {
	s.disturbances.begin()
	fault.run()
	s.disturbances.end(time.Now())
}

// endOwner returns an event that kills or terminates the slow owner, so that another entry
// takes over, or does nothing.
func (injector *faultInjector) endOwner(series *pauseSeries) *event {
	down := randomDuration(injector.random, minDown, maxDown)
	end := func(signal syscall.Signal) func() { return func() { series.current().restart(signal, down) } }
	return []*event{
		{name: "it stays", begin: func() {}},
		{name: "it is killed", begin: end(syscall.SIGKILL)},
		{name: "it is terminated", begin: end(syscall.SIGTERM)},
	}[injector.random.IntN(3)]
}

// silenceUpstream lets one upstream answer nobody.
func (injector *faultInjector) silenceUpstream() *event {
	number := injector.random.IntN(len(injector.soak.upstreamRelays))
	relay := injector.soak.upstreamRelays[number]
	return &event{
		name: fmt.Sprintf("upstream %d does not answer", number), duration: randomDuration(injector.random, minSilence, maxSilence),
		begin: func() { relay.SetDropReplies(true) }, end: func() { relay.SetDropReplies(false) },
	}
}

// drawUpstreams returns the numbers of some upstreams.
func (injector *faultInjector) drawUpstreams() []int {
	return injector.random.Perm(len(injector.soak.upstreamRelays))[:1+len(injector.soak.upstreamRelays)/upstreamsPerCut]
}

// cutUpstreams cuts several upstreams off.
func (injector *faultInjector) cutUpstreams() *event {
	numbers := injector.drawUpstreams()
	set := func(cut bool) func() {
		return func() {
			for _, number := range numbers {
				injector.soak.upstreamRelays[number].SetPartitioned(cut)
			}
		}
	}
	return &event{name: fmt.Sprintf("upstreams %v are cut off", numbers), duration: cutDuration, begin: set(true), end: set(false)}
}

// crashUpstreams crashes several upstreams.
func (injector *faultInjector) crashUpstreams() *event {
	numbers := injector.drawUpstreams()
	return &event{name: fmt.Sprintf("upstreams %v crash", numbers), begin: func() {
		for _, number := range numbers {
			injector.soak.fleet.Crash(number)
		}
	}}
}

// delayUpstreamPaths delays the paths to all upstreams, by turns.
func (injector *faultInjector) delayUpstreamPaths() *event {
	delay := randomDuration(injector.random, maxPathDelay/10, maxPathDelay)
	return &event{name: "paths to upstreams are delayed by turns by " + delay.Round(time.Millisecond).String(), begin: func() {
		for turn := range 2 * pathDelayPeriods {
			for _, relay := range injector.soak.upstreamRelays {
				relay.SetDelay(delay * time.Duration((turn+1)%2))
			}
			time.Sleep(pathDelayPeriod)
		}
	}}
}
