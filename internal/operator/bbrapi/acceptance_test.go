package bbrapi

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
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrstore"
	"github.com/bluebellridge/bluebellridge/internal/standin/bbrplatform"
)

// cluster simulates the entries of a zone, which receive configurations late, from
// the platform and from each other.
type cluster struct {
	now       time.Time
	memory    *bbrplatform.MemoryStore
	fault     bbrplatform.Fault
	processes map[netip.AddrPort]*bbrentry.State
	// messages are responses in transit; calling one delivers it.
	messages []func()
	lastID   int
	// accepted is the newest revision that was reported to an operator as accepted.
	accepted   uint64
	acceptance bbrrevision.Acceptance
}

func newCluster() *cluster {
	r := &cluster{now: time.Unix(1_000_000, 0), processes: make(map[netip.AddrPort]*bbrentry.State)}
	r.memory = &bbrplatform.MemoryStore{KeyValue: &bbrplatform.KeyValue{}, Now: func() time.Time { return r.now }, NextFault: func() bbrplatform.Fault { return r.fault }}
	return r
}

func (r *cluster) configs() bbrstore.Document[bbrrevision.Config] {
	return (&Executor{Store: r.memory.Store()}).configDocument()
}

func (r *cluster) views() bbrstore.Document[bbrview.View] {
	return bbrmember.ViewDocument(r.memory.Store(), "a")
}

func (r *cluster) id() string {
	r.lastID++
	return fmt.Sprint("id-", r.lastID)
}

func (r *cluster) start(peer netip.AddrPort) {
	// The process started shortly before the first event.
	s := bbrentry.New(bbrentry.Identity{Zone: "a", Incarnation: r.id(), Peer: peer}, time.Hour, r.now.Add(-time.Millisecond))
	r.processes[peer] = s
}

func (r *cluster) register(s *bbrentry.State) {
	if !s.MayRegister() {
		return
	}
	identity := s.Identity
	s.BeginRegistration()
	view, version, err := r.views().Update(context.Background(), "", func(v *bbrview.View) error {
		v.Register(identity.Peer, bbrview.Entry{Incarnation: identity.Incarnation})
		return nil
	})
	if err == nil {
		s.OfferView(view, version, r.now)
	}
}

// readConfig reads the configuration from the platform now; the response is
// delivered later.
func (r *cluster) readConfig(s *bbrentry.State) {
	sentAt := r.now
	config, number, err := r.configs().Load(context.Background())
	if err != nil || number == 0 {
		return
	}
	r.messages = append(r.messages, func() {
		s.OfferRevision(&bbrrevision.Revision{Number: number, Config: config}, r.now)
		s.ConfirmConfig(sentAt)
	})
}

// readFromPeer reads the configuration and the view of another process now; the
// response is delivered later.
func (r *cluster) readFromPeer(s, from *bbrentry.State) {
	sentAt := r.now
	incarnation, ready := from.Identity.Incarnation, from.Ready()
	revision := from.Revision()
	snapshot := from.Snapshot()
	r.messages = append(r.messages, func() {
		s.OfferRevision(revision, r.now)
		s.OfferView(snapshot.View, snapshot.Version, r.now)
		if s.TrustsConfigOf(from.Identity.Peer, incarnation, ready) && s.Revision().Number >= revision.Number {
			s.ConfirmConfig(sentAt)
		}
	})
}

func (r *cluster) readView(s *bbrentry.State) {
	if view, version, err := r.views().Load(context.Background()); err == nil {
		r.messages = append(r.messages, func() { s.OfferView(view, version, r.now) })
	}
}

func (r *cluster) activate() {
	_, _, _ = r.views().Update(context.Background(), "", func(v *bbrview.View) error {
		for peer, entry := range v.Entries {
			entry.Active = true
			v.Entries[peer] = entry
		}
		return nil
	})
}

func (r *cluster) change() {
	_, number, err := r.configs().Update(context.Background(), r.id(), func(c *bbrrevision.Config) error {
		c.ActivePerZone++
		return nil
	})
	if err == nil {
		r.acceptance = bbrrevision.Acceptance{Revision: number}
	}
}

// accept accepts the change if every listed entry has confirmed it. Otherwise some
// of the missing entries answer a query.
func (r *cluster) accept(t *rapid.T) {
	view, _, err := r.views().Load(context.Background())
	if err != nil || r.acceptance.Revision == 0 {
		return
	}
	missing := r.acceptance.Missing(incarnationsByPeer(view.Entries))
	if len(missing) == 0 {
		r.accepted = max(r.accepted, r.acceptance.Revision)
		return
	}
	for _, peer := range missing {
		if s := r.processes[peer]; s != nil && rapid.Bool().Draw(t, "answers") {
			r.acceptance.Confirm(peer, s.Identity.Incarnation, s.Revision().Number)
		}
	}
}

// TestAcceptedConfigIsInForce changes the configuration while entries start, restart
// and receive it late. Once a change is accepted, every registered entry that is
// ready must have applied it or a newer one, and no entry may return to an older one.
func TestAcceptedConfigIsInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newCluster()
		address := func(t *rapid.T) netip.AddrPort {
			return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", rapid.IntRange(1, 4).Draw(t, "address")))
		}
		process := func(t *rapid.T) *bbrentry.State {
			s := r.processes[address(t)]
			if s == nil {
				t.Skip("not running")
			}
			return s
		}
		highest := make(map[string]uint64)
		// exchange is the regular traffic of one process with the platform and a peer.
		exchange := func(t *rapid.T) {
			s := process(t)
			r.register(s)
			r.readView(s)
			r.readConfig(s)
			r.readFromPeer(s, process(t))
			r.now = r.now.Add(time.Millisecond)
		}
		deliver := func(t *rapid.T) {
			if len(r.messages) == 0 {
				t.Skip("none")
			}
			i := rapid.IntRange(0, len(r.messages)-1).Draw(t, "message")
			r.messages[i]()
			r.messages = append(r.messages[:i:i], r.messages[i+1:]...)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for _, s := range r.processes {
					listed, _ := s.Registered()
					if listed && s.Ready() {
						require.GreaterOrEqual(t, s.Revision().Number, r.accepted, "revision of %s", s.Identity.Peer)
					}
					require.GreaterOrEqual(t, s.Revision().Number, highest[s.Identity.Incarnation], "an entry returned to an older revision")
					highest[s.Identity.Incarnation] = s.Revision().Number
				}
			},
			"exchange":      exchange,
			"exchangeAgain": exchange,
			"deliver":       deliver,
			"deliverMore":   deliver,
			"deliverAgain":  deliver,
			"start":         func(t *rapid.T) { r.start(address(t)) },
			"startMore":     func(t *rapid.T) { r.start(address(t)) },
			"readConfig":    func(t *rapid.T) { r.readConfig(process(t)) },
			"readMore":      func(t *rapid.T) { r.readConfig(process(t)) },
			"loseMessages":  func(*rapid.T) { r.messages = nil },
			"register":      func(t *rapid.T) { r.register(process(t)) },
			"activate":      func(*rapid.T) { r.activate() },
			"change":        func(*rapid.T) { r.change() },
			"accept":        r.accept,
			"acceptMore":    r.accept,
			"acceptAgain":   r.accept,
			"outage": func(t *rapid.T) {
				r.fault = rapid.SampledFrom([]bbrplatform.Fault{bbrplatform.NoFault, bbrplatform.CallRefused, bbrplatform.AnswerLost}).Draw(t, "fault")
			},
			"noFault": func(*rapid.T) { r.fault = bbrplatform.NoFault },
		})
	})
}

// TestNewEntriesApplyAcceptedConfig checks the same with two healthy entries and one
// that restarts repeatedly, so that each of its steps meets every stage of a change.
func TestNewEntriesApplyAcceptedConfig(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newCluster()
		peer := func(i int) netip.AddrPort { return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", i)) }
		newcomer := peer(3)
		deliverAll := func() {
			for _, m := range r.messages {
				m()
			}
			r.messages = nil
		}
		settle := func() {
			waiting := r.messages
			r.messages = nil
			for _, s := range r.processes {
				if s.Identity.Peer == newcomer {
					continue
				}
				r.now = r.now.Add(time.Millisecond)
				r.register(s)
				r.readView(s)
				r.readConfig(s)
			}
			deliverAll()
			r.messages = waiting
			for range 3 {
				view, _, _ := r.views().Load(context.Background())
				for peer := range incarnationsByPeer(view.Entries) {
					if s := r.processes[peer]; s != nil && peer != newcomer {
						r.acceptance.Confirm(peer, s.Identity.Incarnation, s.Revision().Number)
					}
				}
				r.accept(t)
			}
		}
		r.start(peer(1))
		r.start(peer(2))
		r.change()
		settle()
		r.activate()
		r.start(newcomer)
		steps := []func(){
			func() { r.start(newcomer) },
			func() { r.register(r.processes[newcomer]) },
			func() { r.register(r.processes[newcomer]) },
			func() { r.readConfig(r.processes[newcomer]) },
			func() { r.readConfig(r.processes[newcomer]) },
			func() { r.readFromPeer(r.processes[newcomer], r.processes[peer(1)]) },
			deliverAll,
			r.change,
			settle,
			settle,
			func() { r.accept(t) },
		}
		for range rapid.IntRange(4, 25).Draw(t, "steps") {
			rapid.SampledFrom(steps).Draw(t, "step")()
			r.now = r.now.Add(time.Millisecond)
			for _, s := range r.processes {
				listed, _ := s.Registered()
				if listed && s.Ready() {
					require.GreaterOrEqual(t, s.Revision().Number, r.accepted, "revision of %s", s.Identity.Peer)
				}
			}
		}
	})
}
