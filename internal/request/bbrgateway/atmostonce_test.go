package bbrgateway

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrrevision"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrentry"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
	"github.com/bluebellridge/bluebellridge/internal/request/bbranswer"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrconnection"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrjob"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrretry"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrslot"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrticket"
	"github.com/bluebellridge/bluebellridge/internal/standin/bbrplatform"
)

// entry is a gateway that can crash. alive is false after a crash.
type entry struct {
	gateway *Gateway
	alive   bool
}

// harness runs three gateways and injects faults between callers, entries, the
// platform and upstreams.
type harness struct {
	t       *rapid.T
	memory  *bbrplatform.MemoryStore
	entries []*entry
	// runs counts the runs by request ID, and keyRuns by idempotency key.
	runs, keyRuns map[string]int
	// nesting counts the requests that are being submitted inside another one.
	nesting int
	// claiming is the key that is being claimed, or empty.
	claiming string
}

func peerAddress(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", i+1))
}

func newHarness(t *rapid.T) *harness {
	h := &harness{t: t, runs: make(map[string]int), keyRuns: make(map[string]int)}
	h.memory = &bbrplatform.MemoryStore{KeyValue: &bbrplatform.KeyValue{}, Now: time.Now, NextFault: h.storeFault}
	for i := range 3 {
		h.entries = append(h.entries, nil)
		h.start(i)
	}
	return h
}

// chance draws whether an event with a probability of 1/oneIn happens.
func (h *harness) chance(name string, oneIn int) bool {
	return rapid.IntRange(1, oneIn).Draw(h.t, name) == 1
}

// storeFault draws the fault of a platform call. During a claim, another request
// may claim the same key first.
func (h *harness) storeFault() bbrplatform.Fault {
	if h.claiming != "" && h.nesting < 2 && h.chance("claimed meanwhile", 4) {
		h.nesting++
		h.submit(h.job(http.MethodPost, h.claiming))
		h.nesting--
	}
	if !h.chance("store fault", 4) {
		return bbrplatform.NoFault
	}
	return rapid.SampledFrom([]bbrplatform.Fault{bbrplatform.CallRefused, bbrplatform.AnswerLost, bbrplatform.CallLost}).Draw(h.t, "fault")
}

// start replaces entry i by a new process at the same address.
func (h *harness) start(i int) {
	now := time.Now()
	incarnation := uuid.NewString()
	state := bbrentry.New(bbrentry.Identity{Name: fmt.Sprint(i), Zone: "a", Incarnation: incarnation, Peer: peerAddress(i)}, time.Hour, now)
	view := bbrview.View{Zone: "a", Entries: map[netip.AddrPort]bbrview.Entry{peerAddress(i): {Incarnation: incarnation, Active: true}}}
	view.Instances = map[string]bbrview.Instance{
		"i-1": {ID: "i-1", Rack: "r-1", Pool: "press", State: bbrview.Serving, Slots: 8},
		"i-2": {ID: "i-2", Rack: "r-2", Pool: "press", State: bbrview.Serving, Slots: 8},
	}
	config := bbrrevision.Config{
		Pools:  map[string]bbrrevision.Pool{"press": {}},
		Queues: map[string]bbrrevision.Queue{"proofs": {Pool: "press", Timeout: time.Minute, AnswerBytes: 1 << 20}},
	}
	state.OfferRevision(&bbrrevision.Revision{Number: 1, Config: config}, now)
	state.OfferView(view, 1, now.Add(time.Nanosecond))
	state.ConfirmConfig(time.Now().Add(time.Second))
	e := &entry{alive: true}
	e.gateway = &Gateway{
		State: state, Metrics: bbrmetric.New(), MaxInProgress: 100,
		Tickets: &bbrticket.Table{MaxKeys: 2, MaxAnswerBytes: 200, UnusedTTL: time.Hour},
		Exchange: func(_ context.Context, x bbrconnection.Exchange) (*bbrconnection.Reply, error) {
			return h.exchange(e, x)
		},
		CloseIdle: func(netip.AddrPort) {},
		FindPeer: func(string, bool) (netip.AddrPort, bool) {
			return peerAddress((i + 1) % len(h.entries)), h.chance("peer has free slots", 2)
		},
		ReportRefusal: func(netip.AddrPort, string) {},
		Forward: func(ctx context.Context, peer netip.AddrPort, job *bbrjob.Job, _ time.Time, mayWait bool) *bbranswer.Answer {
			return h.forward(ctx, peer, job, "", mayWait, bbrcode.PeerUnreachable)
		},
		ForwardToHolder: func(ctx context.Context, holder bbrticket.Holder, job *bbrjob.Job, _ time.Time) *bbranswer.Answer {
			return h.forward(ctx, holder.Peer, job, holder.Incarnation, true, bbrcode.HolderUnreachable)
		},
	}
	claimant := &Claimant{Store: h.memory.Store(), Tickets: e.gateway.Tickets, Holder: e.gateway.selfHolder()}
	e.gateway.Claim = func(ctx context.Context, queue, key string) (bbrticket.Holder, error) {
		h.claiming = key
		defer func() { h.claiming = "" }()
		return claimant.Claim(ctx, queue, key)
	}
	h.entries[i] = e
}

// forward sends a request to another entry. It may fail before the request
// arrives, or lose the answer.
func (h *harness) forward(ctx context.Context, peer netip.AddrPort, job *bbrjob.Job, holderIncarnation string, mayWait bool, unreachable bbrcode.Code) *bbranswer.Answer {
	if h.chance("unreached", 5) {
		return bbranswer.Refuse(unreachable, peer.String(), "")
	}
	for i := range h.entries {
		if peerAddress(i) != peer {
			continue
		}
		e := h.entries[i]
		answer := e.gateway.ServeForwarded(ctx, job, holderIncarnation, mayWait, time.Now())
		if !e.alive || h.chance("answer lost", 5) {
			return bbranswer.Refuse(bbrcode.PeerLost, peer.String(), "")
		}
		return answer
	}
	return bbranswer.Refuse(unreachable, peer.String(), "")
}

func (h *harness) recordRun(job *bbrjob.Job) {
	h.runs[job.ID]++
	if job.IdempotencyKey != "" {
		h.keyRuns[job.IdempotencyKey]++
	}
}

// exchange simulates an upstream and the connection to it, with a drawn outcome.
func (h *harness) exchange(e *entry, x bbrconnection.Exchange) (*bbrconnection.Reply, error) {
	cause := errors.New("injected failure")
	outcome := rapid.IntRange(0, 9).Draw(h.t, "upstream outcome")
	if outcome == 0 {
		return nil, &bbrconnection.AttemptError{Failure: bbrretry.ConnectFailed, Cause: cause}
	}
	h.interfere(e, x.Job)
	if outcome == 1 {
		return nil, &bbrconnection.AttemptError{Failure: bbrretry.ConnectionBroken, Cause: cause}
	}
	h.recordRun(x.Job)
	if outcome <= 5 {
		failures := []bbrretry.Failure{bbrretry.ConnectionBroken, bbrretry.TimedOut, bbrretry.Truncated, bbrretry.Mismatched}
		return nil, &bbrconnection.AttemptError{Failure: failures[outcome-2], Cause: cause}
	}
	status := http.StatusOK
	if outcome == 6 {
		status = http.StatusInternalServerError
	}
	return &bbrconnection.Reply{Status: status, Header: make(http.Header), Body: x.Job.Body}, nil
}

// interfere may repeat the request at some entry while it is in progress, as a
// caller does after a time-out, and may crash the entry that serves it.
func (h *harness) interfere(e *entry, job *bbrjob.Job) {
	if h.nesting >= 2 {
		return
	}
	h.nesting++
	defer func() { h.nesting-- }()
	if job.IdempotencyKey != "" && h.chance("repeated meanwhile", 3) {
		h.submit(h.job(job.Method, job.IdempotencyKey))
	}
	if h.chance("crash meanwhile", 8) {
		h.crash(e)
	}
}

// crash replaces the entry by a new process, if it has not crashed before.
func (h *harness) crash(e *entry) {
	for i := range h.entries {
		if h.entries[i] == e {
			e.alive = false
			h.start(i)
		}
	}
}

// job returns a new request whose content is determined by its key.
func (h *harness) job(method, key string) *bbrjob.Job {
	return &bbrjob.Job{ID: uuid.NewString(), Queue: "proofs", Method: method, RequestURI: "/proofs/" + key, Body: []byte("body of " + key), IdempotencyKey: key}
}

// occupySlots acquires all free slots of an entry, so that requests are forwarded
// or refused. The returned function releases them.
func (h *harness) occupySlots(e *entry) (release func()) {
	var occupied []*bbrslot.Slot
	for _, target := range e.gateway.State.Table().Pools["press"].Targets {
		for target.Slot.Acquire() {
			occupied = append(occupied, target.Slot)
		}
	}
	return func() {
		for _, slot := range occupied {
			slot.Release()
		}
	}
}

// submit sends a request to an entry and compares the reported outcome with the
// recorded runs.
func (h *harness) submit(job *bbrjob.Job) {
	e := rapid.SampledFrom(h.entries).Draw(h.t, "entry")
	if h.chance("busy", 3) {
		defer h.occupySlots(e)()
	}
	answer := e.gateway.Serve(context.Background(), job, time.Now())
	idempotent := job.Method == http.MethodGet
	if !idempotent {
		require.LessOrEqual(h.t, h.runs[job.ID], 1, "the request should run at most once")
	}
	if !idempotent && job.IdempotencyKey != "" {
		require.LessOrEqual(h.t, h.keyRuns[job.IdempotencyKey], 1, "requests with the key should run at most once")
	}
	if !e.alive {
		return
	}
	switch answer.Outcome() {
	case bbrcode.OutcomeNotRun:
		require.Zero(h.t, h.runs[job.ID], "the answer %d %s says that the request did not run", answer.Code, answer.Code)
	case bbrcode.OutcomeRan:
		ran := h.runs[job.ID] + h.keyRuns[job.IdempotencyKey]
		require.Positive(h.t, ran, "the answer %d %s says that the request ran", answer.Code, answer.Code)
		if answer.Status > 0 {
			require.Equal(h.t, string(job.Body), string(answer.Body), "the answer should be to this request")
		}
	}
}

// TestAtMostOnceAndTrueOutcome sends requests with and without keys through
// entries that crash, to upstreams with every kind of failure. Claims are stored
// in a platform that loses responses, and callers repeat requests at any entry
// at any time. No non-idempotent request may run twice, and the outcome in an
// answer must be true.
func TestAtMostOnceAndTrueOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		keys := []string{"k-1", "k-2", "k-3"}
		keyed := func(t *rapid.T) {
			h.t = t
			h.submit(h.job(http.MethodPost, rapid.SampledFrom(keys).Draw(t, "key")))
		}
		t.Repeat(map[string]func(*rapid.T){
			"keyed":      keyed,
			"keyedAgain": keyed,
			"unkeyed":    func(t *rapid.T) { h.t = t; h.submit(h.job(http.MethodPost, "")) },
			"idempotent": func(t *rapid.T) { h.t = t; h.submit(h.job(http.MethodGet, "")) },
			"ticket": func(t *rapid.T) {
				h.t = t
				if key, err := rapid.SampledFrom(h.entries).Draw(t, "entry").gateway.IssueTicket(time.Now()); err == nil {
					keys = append(keys, key)
				}
			},
			"crash": func(t *rapid.T) { h.t = t; h.crash(rapid.SampledFrom(h.entries).Draw(t, "entry")) },
			"otherContent": func(t *rapid.T) {
				h.t = t
				job := h.job(http.MethodPost, rapid.SampledFrom(keys).Draw(t, "key"))
				job.Body = []byte("another body")
				answer := rapid.SampledFrom(h.entries).Draw(t, "entry").gateway.Serve(context.Background(), job, time.Now())
				require.LessOrEqual(t, h.keyRuns[job.IdempotencyKey], 1, "requests with the key should run at most once")
				if answer.Outcome() == bbrcode.OutcomeNotRun {
					require.Zero(t, h.runs[job.ID])
				}
				if answer.Status > 0 {
					require.Equal(t, string(job.Body), string(answer.Body), "the answer should be to this request")
				}
			},
		})
	})
}
