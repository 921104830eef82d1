package bbrcoordinator

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/config/bbrrevision"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrentry"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmember"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrlist"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrstore"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrroute"
	"github.com/bluebellridge/bluebellridge/internal/standin/bbrplatform"
)

const (
	testFence = 6 * time.Second
	testSlots = 3
	// testTimeout is the longest time that a request may take.
	testTimeout = 12 * time.Second
)

var testPools = []string{"press", "portal"}

// process is an entry daemon's decisions without its I/O.
type process struct {
	state         *bbrentry.State
	fenceExpiry   FenceExpiry
	requestExpiry RequestExpiry
	platformCut   bool
	// group says which side of a cut the process is on; it reaches only the
	// processes of its own group.
	group int
	// receivesNoViews processes get no views from others, only confirmations.
	receivesNoViews bool
	// paused processes do nothing at all.
	paused bool
	alive  bool
}

// request is a request on its way: it has a slot, then a connection, then the
// fence's word, and then it is written.
type request struct {
	process *process
	pool    *bbrroute.Pool
	target  *bbrroute.Target
	stage   string
	// rebootsAtConnect is how often the instance had been rebooted when the connection
	// was made; a reboot ends the connection.
	rebootsAtConnect int
	// deadline ends the request, at the instance too.
	deadline time.Time
	// fenceCheckedAt is when the fence was asked.
	fenceCheckedAt time.Time
}

// message is an answer that has not arrived yet.
type message func(now time.Time)

// round is a duty holder's collection of acknowledgements.
type round struct {
	process  *process
	snapshot *bbrentry.Snapshot
	acks     bbrview.Acks
	// unreached is what the holder's probes found.
	unreached map[string]bool
}

// zone is one availability zone with everything that can happen to it.
type zone struct {
	now       time.Time
	memory    *bbrplatform.Memory
	fleet     bbrplatform.Fleet
	reboots   map[string]int
	processes []*process
	requests  []*request
	messages  []message
	rounds    []*round
	unique    int
	writes    int
	fault     bbrplatform.Fault
	failure   string
}

func newZone() *zone {
	z := &zone{now: time.Unix(1_000_000, 0), reboots: make(map[string]int)}
	z.memory = &bbrplatform.Memory{KeyValue: &bbrplatform.KeyValue{}, Now: func() time.Time { return z.now }, Fault: func() bbrplatform.Fault { return z.fault }}
	z.fleet.RebootTime = 2 * time.Second
	z.fleet.Restart = func(instance bbrlist.Instance) { z.onReboot(instance.ID) }
	for i := range 3 {
		z.fleet.Put(z.now, bbrlist.Instance{
			ID: fmt.Sprintf("i-%d", i), Zone: "a", Rack: fmt.Sprintf("r-%d", i), Pool: testPools[i%2], Slots: testSlots,
			Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.1.%d:80", i+1)),
		})
	}
	return z
}

func (z *zone) document() bbrstore.Document[bbrview.View] {
	return bbrmember.ViewDocument(z.memory.Store(), "a")
}

// storedView is the view that the platform holds.
func (z *zone) storedView() bbrview.View {
	fault := z.fault
	z.fault = bbrplatform.NoFault
	view, _, _ := z.document().Load(context.Background())
	z.fault = fault
	return view
}

func (z *zone) uniqueID(prefix string) string {
	z.unique++
	return fmt.Sprintf("%s-%d", prefix, z.unique)
}

func (z *zone) start(address int) *process {
	peer := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", address+1))
	p := &process{alive: true, fenceExpiry: FenceExpiry{GracePeriod: 2 * testFence}}
	p.state = bbrentry.New(bbrentry.Identity{Name: peer.String(), Zone: "a", Incarnation: z.uniqueID("incarnation"), Peer: peer}, testFence, z.now)
	config := bbrrevision.Config{Pools: map[string]bbrrevision.Pool{"press": {}, "portal": {}}}
	p.state.OfferRevision(&bbrrevision.Revision{Number: 1, Config: config}, z.now)
	z.processes = append(z.processes, p)
	return p
}

// onReboot is the physical reboot of an instance.
func (z *zone) onReboot(id string) {
	z.reboots[id]++
	for _, f := range z.requests {
		if f.target.ID == id && f.stage == "written" && f.process.alive && f.rebootsAtConnect == z.reboots[id]-1 {
			z.failure = "a reboot of " + id + " cut off a request of " + f.process.state.Identity.Name
		}
	}
}

// runningCount counts the requests at work at an instance.
func (z *zone) runningCount(id string) int {
	count := 0
	for _, f := range z.requests {
		connected := f.target.ID == id && f.rebootsAtConnect == z.reboots[id]
		if connected && f.stage == "written" && z.now.Before(f.deadline) {
			count++
		}
	}
	return count
}

// write lets a request reach its instance, unless its connection has ended.
func (z *zone) write(f *request) {
	f.stage = "written"
	z.writes++
	if f.rebootsAtConnect != z.reboots[f.target.ID] {
		return
	}
	if z.now.Sub(f.fenceCheckedAt) > testFence {
		// The process was paused for longer than a fence lasts between its
		// last check and the write, on a connection that a reboot has not
		// ended yet. Nothing short of the instance's help excludes this;
		// docs/promises.md lists it.
		return
	}
	if count := z.runningCount(f.target.ID); count > testSlots {
		z.failure = fmt.Sprintf("%s wrote to %s, which runs %d requests then", f.process.state.Identity.Name, f.target.ID, count)
	}
	instance := z.storedView().Instances[f.target.ID]
	if instance.State == bbrview.Drained || instance.State == bbrview.Rebooting {
		z.failure = fmt.Sprintf("%s wrote to %s, which is %s", f.process.state.Identity.Name, f.target.ID, instance.State)
	}
	if instance.Pool != f.pool.Name {
		z.failure = fmt.Sprintf("%s wrote work of pool %s to %s of pool %s", f.process.state.Identity.Name, f.pool.Name, f.target.ID, instance.Pool)
	}
}

// advance lets a request go one step further.
func (z *zone) advance(f *request) {
	switch f.stage {
	case "taken":
		f.stage = "connected"
		f.rebootsAtConnect = z.reboots[f.target.ID]
	case "connected":
		f.stage = "allowed"
		f.fenceCheckedAt = z.now
		if !f.process.state.MaySend(z.now) {
			z.finish(f)
		}
	case "allowed":
		z.write(f)
	case "written":
		if z.completes(f) {
			z.finish(f)
		}
	}
}

// completes lets only some of the requests end before their deadline.
func (z *zone) completes(f *request) bool {
	z.unique++
	return z.unique%5 == 0 || !z.now.Before(f.deadline)
}

func (z *zone) finish(f *request) {
	f.target.Slot.Release()
	for i, other := range z.requests {
		if other == f {
			z.requests = append(z.requests[:i:i], z.requests[i+1:]...)
			return
		}
	}
}

func (z *zone) crash(p *process) {
	p.alive = false
	for i, other := range z.processes {
		if other == p {
			z.processes = append(z.processes[:i:i], z.processes[i+1:]...)
		}
	}
	kept := z.requests[:0:0]
	for _, f := range z.requests {
		if f.process != p {
			kept = append(kept, f)
		}
	}
	z.requests = kept
}

func (z *zone) processAt(peer netip.AddrPort) *process {
	for _, p := range z.processes {
		if p.state.Identity.Peer == peer {
			return p
		}
	}
	return nil
}

func (z *zone) deliverLater(p *process, m message) {
	z.messages = append(z.messages, func(now time.Time) {
		if p.alive {
			m(now)
		}
	})
}

// readPlatform asks now and is answered later.
func (z *zone) readPlatform(p *process) {
	if p.platformCut {
		return
	}
	requestedAt := z.now
	view, version, err := z.document().Load(context.Background())
	if err != nil || version == 0 {
		return
	}
	z.deliverLater(p, func(now time.Time) {
		p.state.OfferView(view, version, now)
		if own := view.Entries[p.state.Identity.Peer]; own.Incarnation == p.state.Identity.Incarnation && !own.Suspected() {
			p.state.ConfirmedByPlatform(requestedAt)
		}
	})
}

// queryPeer asks another process for confirmation and for its view.
func (z *zone) queryPeer(p, q *process) {
	if p == q || p.group != q.group {
		return
	}
	requestedAt := z.now
	listed, suspected := q.state.Registered()
	snapshot := q.state.Snapshot()
	confirmed := listed && !suspected && snapshot.View.MayConfirm(q.state.Identity.Peer, p.state.Identity.Peer, p.state.Identity.Incarnation)
	z.deliverLater(p, func(now time.Time) {
		if confirmed {
			p.state.ConfirmedByPeer(q.state.Identity.Peer, requestedAt)
		}
	})
	if p.receivesNoViews {
		return
	}
	z.deliverLater(p, func(now time.Time) {
		p.state.OfferView(snapshot.View, snapshot.Version, now)
	})
}

func (z *zone) register(p *process) {
	if p.platformCut || !p.state.MayRegister() {
		return
	}
	identity := p.state.Identity
	view, version, err := z.document().Update(context.Background(), "", func(v *bbrview.View) error {
		v.Zone = "a"
		v.Register(identity.Peer, bbrview.Entry{Name: identity.Name, Incarnation: identity.Incarnation})
		return nil
	})
	if err == nil {
		p.state.OfferView(view, version, z.now)
	}
}

func (z *zone) beginRound(p *process) {
	listed, suspected := p.state.Registered()
	if !listed || suspected {
		return
	}
	snapshot := p.state.Snapshot()
	z.rounds = append(z.rounds, &round{process: p, snapshot: snapshot, acks: bbrview.Acks{Version: snapshot.Version, Entries: make(map[netip.AddrPort]bbrview.Ack)}})
}

func (z *zone) acknowledge(r *round) {
	for peer := range r.snapshot.View.Entries {
		q := z.processAt(peer)
		_, acknowledged := r.acks.Entries[peer]
		if q == nil || q.paused || acknowledged || q.group != r.process.group {
			continue
		}
		r.acks.Entries[peer] = q.state.Acknowledge()
		return
	}
}

func (z *zone) endRound(r *round, suspect bool) {
	p := r.process
	if !p.alive || p.platformCut {
		return
	}
	o := Observation{Self: p.state.Identity.Peer, Acks: r.acks, Listed: true, Instances: z.fleet.List(z.now, "a"), NewSuspicions: make(map[netip.AddrPort]string)}
	o.Unreachable = r.unreached
	o.ExpiredDepartures = p.requestExpiry.Expired(&r.snapshot.View, testTimeout, z.now)
	o.FencesExpired = p.fenceExpiry.Expired(&r.snapshot.View, o.Self, r.acks, z.now)
	for peer, entry := range r.snapshot.View.Entries {
		if _, answered := r.acks.Entries[peer]; suspect && !answered && !entry.Suspected() {
			o.NewSuspicions[peer] = z.uniqueID("mark")
		}
	}
	next, changed := NextView(r.snapshot.View, o, z.now)
	if changed {
		version, err := z.document().Save(context.Background(), next, r.snapshot.Version, "")
		if err != nil {
			return
		}
		p.state.OfferView(next, version, z.now)
	}
	for id, instance := range p.state.Snapshot().View.Instances {
		if instance.State == bbrview.Rebooting {
			z.fleet.Reboot(z.now, id, instance.Operation)
		}
	}
}

// coordinate does all of a round at once.
func (z *zone) coordinate(p *process, suspect bool) {
	before := len(z.rounds)
	z.beginRound(p)
	if len(z.rounds) == before {
		return
	}
	r := z.rounds[before]
	z.rounds = z.rounds[:before]
	for range r.snapshot.View.Entries {
		z.acknowledge(r)
	}
	z.endRound(r, suspect)
}

// updateView lets an operator or a leaving entry change the view.
func (z *zone) updateView(apply func(v *bbrview.View) error) {
	_, _, _ = z.document().Update(context.Background(), "", apply)
}

func (z *zone) leave(p *process) {
	for _, f := range z.requests {
		if f.process == p {
			return
		}
	}
	if p.platformCut {
		return
	}
	identity := p.state.Identity
	_, _, err := z.document().Update(context.Background(), "", func(v *bbrview.View) error {
		v.Unregister(identity.Peer, identity.Incarnation)
		return nil
	})
	if err == nil {
		z.crash(p)
	}
}

func (z *zone) withdraw(id string, plan bbrview.Plan, target string) {
	operation := z.uniqueID("operation")
	_, _, _ = z.document().Update(context.Background(), operation, func(v *bbrview.View) error {
		return v.Withdraw(bbrview.Withdrawal{Instance: id, Plan: plan, Target: target, Operation: operation}, z.now)
	})
}

func (z *zone) check(t *rapid.T) { require.Empty(t, z.failure) }

func pick[T any](t *rapid.T, name string, list []T) T {
	if len(list) == 0 {
		t.Skip("none")
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(t, name)]
}

func chance(t *rapid.T, name string, oneIn int) bool {
	return rapid.IntRange(1, oneIn).Draw(t, name) == 1
}

// traffic lets every process take requests and every request go on, each at
// its own pace.
func (z *zone) traffic(t *rapid.T) {
	for _, p := range z.processes {
		if p.paused || chance(t, "idle", 4) {
			continue
		}
		pool := p.state.Table().Pools[pick(t, "pool", testPools)]
		if target := pool.Acquire(bbrroute.Criteria{TieBreaker: rapid.Uint64Max(8).Draw(t, "random"), Urgent: true}, z.now); target != nil {
			z.requests = append(z.requests, &request{process: p, pool: pool, target: target, stage: "taken", deadline: z.now.Add(testTimeout)})
		}
	}
	for _, f := range append([]*request(nil), z.requests...) {
		if !f.process.paused && f.stage != "written" && !z.now.Before(f.deadline) {
			z.finish(f)
			continue
		}
		if !f.process.paused && chance(t, "step", 2) {
			z.advance(f)
		}
	}
}

// exchangeMessages lets the processes read the platform and ask each other; some answers
// arrive at once, some later, some twice.
func (z *zone) exchangeMessages(t *rapid.T) {
	for _, p := range z.processes {
		if p.paused || chance(t, "slow", 4) {
			continue
		}
		z.register(p)
		z.readPlatform(p)
		for _, q := range z.processes {
			if !q.paused {
				z.queryPeer(p, q)
			}
		}
	}
	var kept []message
	for _, m := range z.messages {
		delivery := rapid.IntRange(0, 9).Draw(t, "message")
		if delivery > 0 {
			m(z.now)
		}
		if delivery < 2 {
			kept = append(kept, m)
		}
	}
	z.messages = kept
}

// runSecond is a second in the zone's life, with one or two duty holders at work.
func (z *zone) runSecond(t *rapid.T) {
	z.exchangeMessages(t)
	z.traffic(t)
	for i, p := range z.processes {
		if p.paused || (i > 0 && !chance(t, "second holder", 8)) {
			continue
		}
		z.coordinate(p, chance(t, "suspect", 3))
	}
	for _, r := range append([]*round(nil), z.rounds...) {
		if !r.process.paused && chance(t, "late acknowledgement", 2) {
			z.acknowledge(r)
		}
	}
	z.traffic(t)
	z.now = z.now.Add(time.Duration(rapid.IntRange(500, 1500).Draw(t, "millis")) * time.Millisecond)
}

// newActiveZone is what the directed tests start from: every entry is active and
// every instance serves.
func newActiveZone(t *rapid.T, entries int) *zone {
	z := newZone()
	for i := range entries {
		z.start(i)
	}
	for range 4 {
		for _, p := range z.processes {
			z.register(p)
			z.readPlatform(p)
		}
		for _, m := range z.messages {
			m(z.now)
		}
		z.messages = nil
		z.coordinate(z.processes[0], false)
		z.now = z.now.Add(time.Second)
	}
	for _, entry := range z.storedView().Entries {
		require.True(t, entry.Active)
	}
	return z
}

// runWithMoves lets the zone live for a while, with instances withdrawn and resumed.
func (z *zone) runWithMoves(t *rapid.T, seconds int) {
	for range seconds {
		if chance(t, "withdraw", 3) {
			id := fmt.Sprintf("i-%d", rapid.IntRange(0, 2).Draw(t, "instance"))
			z.withdraw(id, bbrview.Move, pick(t, "target", testPools))
		}
		z.runSecond(t)
		z.check(t)
	}
}

// TestDisconnectedEntriesStopSending cuts and pauses entries, a few seconds apart, and
// lets the others remove them.
func TestDisconnectedEntriesStopSending(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := newActiveZone(t, rapid.IntRange(2, 5).Draw(t, "entries"))
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			p := pick(t, "process", z.processes)
			p.platformCut = !chance(t, "keeps the platform", 3)
			p.group = rapid.IntRange(0, 1).Draw(t, "group")
			p.receivesNoViews = chance(t, "deaf", 2)
			z.runWithMoves(t, rapid.IntRange(0, 14).Draw(t, "seconds"))
		}
		z.runWithMoves(t, rapid.IntRange(15, 45).Draw(t, "seconds alone"))
		for _, p := range z.processes {
			p.platformCut = false
			p.group = 0
			p.receivesNoViews = false
		}
		z.runWithMoves(t, 3)
	})
}

// TestNewEntriesWaitForTheirShare starts entries while the others are busy,
// slow and cut off.
func TestNewEntriesWaitForTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := newActiveZone(t, rapid.IntRange(1, 3).Draw(t, "entries"))
		z.runWithMoves(t, rapid.IntRange(1, 4).Draw(t, "seconds before"))
		for range rapid.IntRange(1, 3).Draw(t, "changes") {
			if chance(t, "crash", 2) {
				z.crash(pick(t, "process", z.processes))
			}
			address := rapid.IntRange(0, 5).Draw(t, "address")
			if z.processAt(netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", address+1))) == nil {
				z.register(z.start(address))
			}
			if chance(t, "cut", 3) && len(z.processes) > 0 {
				pick(t, "process", z.processes).platformCut = true
			}
			z.runWithMoves(t, rapid.IntRange(1, 8).Draw(t, "seconds"))
		}
	})
}

// TestZoneSafety runs a zone through crashes, replacements, pauses, cuts, late
// and doubled messages, outages and lost answers, with several duty holders at
// once. No request may reach an instance that is drained, rebooting or in
// another pool; no reboot may cut a request off; no instance may have more
// requests than slots.
func TestZoneSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := newZone()
		for i := range rapid.IntRange(1, 4).Draw(t, "entries") {
			z.register(z.start(i))
		}
		process := func(t *rapid.T) *process { return pick(t, "process", z.processes) }
		instance := func(t *rapid.T) string { return fmt.Sprintf("i-%d", rapid.IntRange(0, 2).Draw(t, "instance")) }
		runSeconds := func(t *rapid.T) {
			for range rapid.IntRange(1, 8).Draw(t, "seconds") {
				z.runSecond(t)
				z.check(t)
			}
		}
		withdraw := func(t *rapid.T) {
			plan := pick(t, "plan", []bbrview.Plan{bbrview.Hold, bbrview.Reboot, bbrview.Move, bbrview.Move})
			z.withdraw(instance(t), plan, pick(t, "target", testPools))
		}
		t.Repeat(map[string]func(*rapid.T){
			"":              z.check,
			"life":          runSeconds,
			"lifeGoesOn":    runSeconds,
			"lifeContinues": runSeconds,
			"withdraw":      withdraw,
			"withdrawAgain": withdraw,
			"beginRound":    func(t *rapid.T) { z.beginRound(process(t)) },
			"endRound": func(t *rapid.T) {
				z.endRound(pick(t, "round", z.rounds), rapid.Bool().Draw(t, "suspect"))
			},
			"lose": func(t *rapid.T) {
				r := pick(t, "round", z.rounds)
				r.unreached = map[string]bool{instance(t): true}
			},
			"resume": func(t *rapid.T) {
				id := instance(t)
				z.updateView(func(v *bbrview.View) error { return v.Resume(id, z.uniqueID("operation"), 0, z.now) })
			},
			"leave": func(t *rapid.T) { z.leave(process(t)) },
			"crash": func(t *rapid.T) { z.crash(process(t)) },
			"start": func(t *rapid.T) {
				address := rapid.IntRange(0, 5).Draw(t, "address")
				if len(z.processes) >= 5 || z.processAt(netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", address+1))) != nil {
					t.Skip("taken")
				}
				z.start(address)
			},
			"pause": func(t *rapid.T) { process(t).paused = true },
			"cut": func(t *rapid.T) {
				p := process(t)
				p.platformCut = rapid.Bool().Draw(t, "platform")
				p.group = rapid.IntRange(0, 1).Draw(t, "group")
			},
			"cutAll": func(t *rapid.T) {
				for _, p := range z.processes {
					p.platformCut = rapid.Bool().Draw(t, "platform")
					p.group = rapid.IntRange(0, 1).Draw(t, "group")
				}
			},
			"mend": func(*rapid.T) {
				z.fault = bbrplatform.NoFault
				for _, p := range z.processes {
					p.platformCut = false
					p.group = 0
					p.paused = false
				}
			},
			"outage": func(t *rapid.T) {
				z.fault = pick(t, "fault", []bbrplatform.Fault{bbrplatform.CallRefused, bbrplatform.AnswerLost, bbrplatform.CallLost})
			},
		})
	})
}
