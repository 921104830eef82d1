package bbrscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// stepAdvice is what the advice service has answered about a step. Whether an
// upstream may run a step never changes, but tickets expire.
type stepAdvice struct {
	// tickets is keyed by upstream ID.
	tickets map[string]ticket
	// refused has the incarnations that may not run the step.
	refused  map[bbrwork.Incarnation]bool
	inFlight bool
	// retryAt is the earliest time of the next request.
	retryAt time.Time
}

// ticket permits one incarnation of an upstream to run a step.
type ticket struct {
	text string
	// startMillis is the StartMillis of the incarnation.
	startMillis int64
	validUntil  time.Time
}

const (
	// upstreamsPerRequest bounds the upstreams in one request. The service takes
	// time for each of them.
	upstreamsPerRequest = 30
	// maxAdviceInFlight bounds the requests in flight. The service handles one
	// request at a time, so further requests would only wait there.
	maxAdviceInFlight = 4
	// adviceRetryDelay is the minimum time from a failed request for a step to the
	// next.
	adviceRetryDelay = 300 * time.Millisecond
	// ticketMargin is subtracted from the lifetime of a ticket.
	ticketMargin = 100 * time.Millisecond
)

// AdviceRequest is a request to the advice service for the upstreams that may run a
// step.
type AdviceRequest struct {
	Step         string
	Incarnations []bbrwork.Incarnation
	TicketTTL    time.Duration
}

// Upstreams returns the IDs of the upstreams that the request is about.
func (a AdviceRequest) Upstreams() []string {
	ids := make([]string, len(a.Incarnations))
	for i, incarnation := range a.Incarnations {
		ids[i] = incarnation.ID
	}
	return ids
}

// needsAdvice reports whether the job's steps may run only on upstreams that the
// advice service permits.
func (j *job) needsAdvice() bool { return j.policy != nil && j.policy.RequiresAdvice }

// ticketFor returns the step's ticket for an upstream. The text is empty with ok
// set if the queue needs no tickets.
func (sched *Scheduler) ticketFor(s *step, up *upstream, now time.Time) (text string, ok bool) {
	if !s.job.needsAdvice() {
		return "", true
	}
	known := sched.advice[s.units[0].name().StepName()]
	if known == nil {
		return "", false
	}
	got, ok := known.tickets[up.ID]
	if !ok || got.startMillis != up.StartMillis || now.After(got.validUntil) {
		return "", false
	}
	return got.text, true
}

// hasTicket reports whether the step has a valid ticket for an upstream or needs
// none.
func (sched *Scheduler) hasTicket(s *step, up *upstream, now time.Time) bool {
	_, ok := sched.ticketFor(s, up, now)
	return ok
}

// adviceRefused reports whether the advice service has refused to let the step run
// on an upstream.
func (sched *Scheduler) adviceRefused(s *step, up *upstream) bool {
	if !s.job.needsAdvice() {
		return false
	}
	known := sched.advice[s.units[0].name().StepName()]
	return known != nil && known.refused[up.Incarnation]
}

// adviceRequest returns a request to the advice service if the step has no valid
// ticket for an upstream that suits it.
func (p *planner) adviceRequest(s *step) (AdviceRequest, bool) {
	sched := p.sched
	if !s.job.needsAdvice() || sched.adviceInFlight >= maxAdviceInFlight {
		return AdviceRequest{}, false
	}
	name := s.units[0].name().StepName()
	known := sched.advice[name]
	if known == nil {
		known = &stepAdvice{tickets: make(map[string]ticket), refused: make(map[bbrwork.Incarnation]bool)}
		sched.advice[name] = known
	}
	if known.inFlight || p.now.Before(known.retryAt) {
		return AdviceRequest{}, false
	}
	incarnations := p.adviceCandidates(s, known)
	if len(incarnations) == 0 {
		return AdviceRequest{}, false
	}
	known.inFlight = true
	sched.adviceInFlight++
	return AdviceRequest{Step: name, Incarnations: incarnations, TicketTTL: s.job.policy.TicketTTL}, true
}

// adviceCandidates returns the upstreams that could take a unit of the step and for
// which the advice service has not decided, those with the most free CPU first. It
// returns none if an upstream with a ticket suits the step already, unless the step is
// a gang. One that is far from its data may not suit it now. Upstreams that are reserved for
// suspects of the step go before all others.
func (p *planner) adviceCandidates(s *step, known *stepAdvice) []bbrwork.Incarnation {
	if reserved := p.trialsWithoutTicket(s, known); len(reserved) > 0 {
		return reserved
	}
	var undecided []*upstream
	for _, up := range p.upstreamsToAsk(s) {
		if !s.spec.Allocation().Fits(up.free()) || !up.HasLabel(s.spec.Label) || s.atUpstreamLimit(up) {
			continue
		}
		switch {
		case p.sched.hasTicket(s, up, p.now):
			if !s.spec.Gang && p.suits(s, up) {
				return nil
			}
		case !known.refused[up.Incarnation]:
			undecided = append(undecided, up)
		}
	}
	slices.SortStableFunc(undecided, func(a, b *upstream) int { return cmp.Compare(b.free().MilliCPU, a.free().MilliCPU) })
	incarnations := make([]bbrwork.Incarnation, 0, upstreamsPerRequest)
	for _, up := range undecided[:min(len(undecided), upstreamsPerRequest)] {
		incarnations = append(incarnations, up.Incarnation)
	}
	return incarnations
}

// trialsWithoutTicket returns the upstreams that are reserved for work units of the step, which
// start on no other one, and for which the step has no valid ticket.
func (p *planner) trialsWithoutTicket(s *step, known *stepAdvice) []bbrwork.Incarnation {
	var incarnations []bbrwork.Incarnation
	for _, u := range s.units {
		up := p.sched.trialUpstream(u)
		if up != nil && u.idle() && !known.refused[up.Incarnation] && !p.sched.hasTicket(s, up, p.now) && len(incarnations) < upstreamsPerRequest {
			incarnations = append(incarnations, up.Incarnation)
		}
	}
	return incarnations
}

// ApplyAdvice applies the advice service's answer to a request that was sent at the
// time sent. The tickets are keyed by upstream ID, and valid for ttl from then on; 0
// stands for the request's TicketTTL.
func (sched *Scheduler) ApplyAdvice(request AdviceRequest, tickets map[string]string, ttl time.Duration, err error, sent, now time.Time) {
	sched.adviceInFlight--
	known := sched.advice[request.Step]
	if known == nil {
		return
	}
	known.inFlight = false
	if err != nil {
		known.retryAt = now.Add(adviceRetryDelay)
		sched.note(now, "Advice request failed", "step", request.Step, "reason", err.Error())
		return
	}
	if ttl == 0 {
		ttl = request.TicketTTL
	}
	for _, incarnation := range request.Incarnations {
		text, granted := tickets[incarnation.ID]
		if !granted {
			known.refused[incarnation] = true
			continue
		}
		known.tickets[incarnation.ID] = ticket{text: text, startMillis: incarnation.StartMillis, validUntil: sent.Add(ttl - ticketMargin)}
	}
	sched.note(now, "Advice received", "step", request.Step, "asked", len(request.Incarnations), "good", len(tickets), "took", now.Sub(sent).Round(time.Millisecond))
}
