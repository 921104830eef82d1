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

// process is an entry daemon with its decisions, but without I/O.
type process struct {
	state         *bbrentry.State
	fenceExpiry   FenceExpiry
	requestExpiry RequestExpiry
	platformCut   bool
	// group is the side of a network partition that the process is on; it reaches
	// only the processes of its own group.
	group int
	// receivesNoViews is true if peers send the process only confirmations.
	receivesNoViews bool
	// paused is true while the process does nothing at all.
	paused bool
	alive  bool
}

// request is a request in flight. It reserves a slot, then connects, then checks the
// fence, and is then written.
type request struct {
	process *process
	pool    *bbrroute.Pool
	target  *bbrroute.Target
	stage   string
	// rebootsAtConnect is how often the instance had been rebooted when the
	// connection was made; a reboot ends the connection.
	rebootsAtConnect int
	// deadline ends the request, also at the instance.
	deadline time.Time
	// fenceCheckedAt is when the fence was checked.
	fenceCheckedAt time.Time
}

// message is a response that has not arrived yet.
type message func(now time.Time)

// round is a coordinator's collection of acknowledgements.
type round struct {
	process  *process
	snapshot *bbrentry.Snapshot
	acks     bbrview.Acks
	// unreachable are the instances that the coordinator's probes did not reach.
	unreachable map[string]bool
}

// zone simulates an availability zone with its processes, instances and faults.
type zone struct {
	now       time.Time
	memory    *bbrplatform.MemoryStore
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
	z.memory = &bbrplatform.MemoryStore{KeyValue: &bbrplatform.KeyValue{}, Now: func() time.Time { return z.now }, NextFault: func() bbrplatform.Fault { return z.fault }}
	z.fleet.RebootTime = 2 * time.Second
	z.fleet.OnReboot = func(instance bbrlist.Instance) { z.onReboot(instance.ID) }
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

// storedView returns the view that the platform stores.
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

// onReboot is called when an instance physically reboots. It must not cut off a
// request.
func (z *zone) onReboot(id string) {
	z.reboots[id]++
	for _, req := range z.requests {
		if req.target.ID == id && req.stage == "written" && req.process.alive && req.rebootsAtConnect == z.reboots[id]-1 {
			z.failure = "a reboot of " + id + " cut off a request of " + req.process.state.Identity.Name
		}
	}
}

// runningCount returns the number of requests that run on an instance.
func (z *zone) runningCount(id string) int {
	count := 0
	for _, req := range z.requests {
		connected := req.target.ID == id && req.rebootsAtConnect == z.reboots[id]
		if connected && req.stage == "written" && z.now.Before(req.deadline) {
			count++
		}
	}
	return count
}

// write delivers a request to its instance, unless its connection has ended, and
// checks that the instance may receive it.
func (z *zone) write(req *request) {
	req.stage = "written"
	z.writes++
	if req.rebootsAtConnect != z.reboots[req.target.ID] {
		return
	}
	if z.now.Sub(req.fenceCheckedAt) > testFence {
		// The process was paused for longer than a fence lasts between its
		// last check and the write, on a connection that a reboot has not
		// ended yet. This cannot be excluded without the instance's help;
		// docs/promises.md lists it.
		return
	}
	if count := z.runningCount(req.target.ID); count > testSlots {
		z.failure = fmt.Sprintf("%s wrote to %s, which then runs %d requests", req.process.state.Identity.Name, req.target.ID, count)
	}
	instance := z.storedView().Instances[req.target.ID]
	if instance.State == bbrview.Drained || instance.State == bbrview.Rebooting {
		z.failure = fmt.Sprintf("%s wrote to %s, which is %s", req.process.state.Identity.Name, req.target.ID, instance.State)
	}
	if instance.Pool != req.pool.Name {
		z.failure = fmt.Sprintf("%s wrote work of pool %s to %s of pool %s", req.process.state.Identity.Name, req.pool.Name, req.target.ID, instance.Pool)
	}
}

// advance moves a request to its next stage.
func (z *zone) advance(req *request) {
	switch req.stage {
	case "slotReserved":
		req.stage = "connected"
		req.rebootsAtConnect = z.reboots[req.target.ID]
	case "connected":
		req.stage = "allowed"
		req.fenceCheckedAt = z.now
		if !req.process.state.MaySend(z.now) {
			z.finish(req)
		}
	case "allowed":
		z.write(req)
	case "written":
		if z.completes(req) {
			z.finish(req)
		}
	}
}

// completes reports whether the request ends now. Only one in five calls lets it
// end before its deadline.
func (z *zone) completes(req *request) bool {
	z.unique++
	return z.unique%5 == 0 || !z.now.Before(req.deadline)
}

func (z *zone) finish(req *request) {
	req.target.Slot.Release()
	for i, other := range z.requests {
		if other == req {
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
	for _, req := range z.requests {
		if req.process != p {
			kept = append(kept, req)
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

// deliverLater queues a message to the process, which is dropped if it has crashed by
// then.
func (z *zone) deliverLater(p *process, m message) {
	z.messages = append(z.messages, func(now time.Time) {
		if p.alive {
			m(now)
		}
	})
}

// readPlatform reads the view now and delivers it later.
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

// queryPeer requests a confirmation and the view from another process.
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

// acknowledge adds the acknowledgement of one more reachable entry to the round.
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
	o.Unreachable = r.unreachable
	o.ExpiredDepartures = p.requestExpiry.Expired(&r.snapshot.View, testTimeout, z.now)
	o.FencesExpired = p.fenceExpiry.Expired(&r.snapshot.View, o.Self, r.acks, z.now)
	for peer, entry := range r.snapshot.View.Entries {
		if _, answered := r.acks.Entries[peer]; suspect && !answered && !entry.Suspected() {
			o.NewSuspicions[peer] = z.uniqueID("suspicion")
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

// coordinate runs a whole round at once.
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

// updateView changes the stored view as an operator does.
func (z *zone) updateView(apply func(v *bbrview.View) error) {
	_, _, _ = z.document().Update(context.Background(), "", apply)
}

func (z *zone) leave(p *process) {
	for _, req := range z.requests {
		if req.process == p {
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
		t.Skip("nothing to draw from")
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(t, name)]
}

// chance draws true about once in oneIn draws.
func chance(t *rapid.T, name string, oneIn int) bool {
	return rapid.IntRange(1, oneIn).Draw(t, name) == 1
}

// traffic lets processes accept requests and advances requests, each at a random
// pace.
func (z *zone) traffic(t *rapid.T) {
	for _, p := range z.processes {
		if p.paused || chance(t, "idle", 4) {
			continue
		}
		pool := p.state.Table().Pools[pick(t, "pool", testPools)]
		if target := pool.Acquire(bbrroute.Criteria{TieBreaker: rapid.Uint64Max(8).Draw(t, "random"), Urgent: true}, z.now); target != nil {
			z.requests = append(z.requests, &request{process: p, pool: pool, target: target, stage: "slotReserved", deadline: z.now.Add(testTimeout)})
		}
	}
	for _, req := range append([]*request(nil), z.requests...) {
		if !req.process.paused && req.stage != "written" && !z.now.Before(req.deadline) {
			z.finish(req)
			continue
		}
		if !req.process.paused && chance(t, "step", 2) {
			z.advance(req)
		}
	}
}

// exchangeMessages lets the processes read the platform and query each other. Some
// responses arrive at once, some later, some twice.
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

// runSecond simulates about a second. The first process coordinates the zone, and at
// times others do too.
func (z *zone) runSecond(t *rapid.T) {
	z.exchangeMessages(t)
	z.traffic(t)
	for i, p := range z.processes {
		if p.paused || (i > 0 && !chance(t, "second coordinator", 8)) {
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

// newActiveZone returns a zone in which every entry is active and every instance
// serves.
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

// runWithMoves simulates the seconds and at random withdraws instances to move them
// to other pools.
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

// TestDisconnectedEntriesStopSending disconnects entries from the platform and from
// each other, a few seconds apart, and lets the others remove them. An entry that
// went on sending could write to an instance that has meanwhile been drained.
func TestDisconnectedEntriesStopSending(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := newActiveZone(t, rapid.IntRange(2, 5).Draw(t, "entries"))
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			p := pick(t, "process", z.processes)
			p.platformCut = !chance(t, "keeps platform", 3)
			p.group = rapid.IntRange(0, 1).Draw(t, "group")
			p.receivesNoViews = chance(t, "receives no views", 2)
			z.runWithMoves(t, rapid.IntRange(0, 14).Draw(t, "seconds"))
		}
		z.runWithMoves(t, rapid.IntRange(15, 45).Draw(t, "seconds of partition"))
		for _, p := range z.processes {
			p.platformCut = false
			p.group = 0
			p.receivesNoViews = false
		}
		z.runWithMoves(t, 3)
	})
}

// TestNewEntriesWaitForTheirShare starts entries while the others are busy, slow or
// disconnected. An entry that used its share of slots before the others gave it up
// could overload an instance.
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
			if chance(t, "disconnect", 3) && len(z.processes) > 0 {
				pick(t, "process", z.processes).platformCut = true
			}
			z.runWithMoves(t, rapid.IntRange(1, 8).Draw(t, "seconds"))
		}
	})
}

// TestZoneSafety runs a zone through crashes, replacements, pauses, partitions, late
// and duplicated messages, outages and lost responses, with several coordinators at
// once. No request may reach an instance that is drained, rebooting or in another
// pool; no reboot may cut off a request; no instance may have more requests than
// slots.
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
			"":                z.check,
			"runSeconds":      runSeconds,
			"runSecondsAgain": runSeconds,
			"runSecondsMore":  runSeconds,
			"withdraw":        withdraw,
			"withdrawAgain":   withdraw,
			"beginRound":      func(t *rapid.T) { z.beginRound(process(t)) },
			"endRound": func(t *rapid.T) {
				z.endRound(pick(t, "round", z.rounds), rapid.Bool().Draw(t, "suspect"))
			},
			"unreachable": func(t *rapid.T) {
				r := pick(t, "round", z.rounds)
				r.unreachable = map[string]bool{instance(t): true}
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
					t.Skip("enough processes, or the address is in use")
				}
				z.start(address)
			},
			"pause": func(t *rapid.T) { process(t).paused = true },
			"disconnect": func(t *rapid.T) {
				p := process(t)
				p.platformCut = rapid.Bool().Draw(t, "platform")
				p.group = rapid.IntRange(0, 1).Draw(t, "group")
			},
			"disconnectAll": func(t *rapid.T) {
				for _, p := range z.processes {
					p.platformCut = rapid.Bool().Draw(t, "platform")
					p.group = rapid.IntRange(0, 1).Draw(t, "group")
				}
			},
			"repair": func(*rapid.T) {
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
