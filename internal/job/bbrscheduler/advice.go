package bbrscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// stepAdvice is what the advice service said of a step. Which upstreams may run a
// step never changes; tickets run out.
type stepAdvice struct {
	// tickets are by upstream.
	tickets map[string]ticket
	// refused has the lives that may not run the step.
	refused  map[bbrwork.Incarnation]bool
	inFlight bool
	// retryAt is when the service may be asked once more.
	retryAt time.Time
}

type ticket struct {
	text       string
	startTime  int64
	validUntil time.Time
}

const (
	// upstreamsPerRequest is how many upstreams a call names. The service takes its time
	// for each.
	upstreamsPerRequest = 30
	// maxAdviceInFlight bounds the calls on their way: the service takes one after the
	// other, so those of later steps would only wait.
	maxAdviceInFlight = 4
	// adviceRetryDelay is the least time between two calls for a step.
	adviceRetryDelay = 300 * time.Millisecond
	// ticketMargin is taken off a ticket's life.
	ticketMargin = 100 * time.Millisecond
)

// AdviceRequest asks the advice service about a step.
type AdviceRequest struct {
	Step         string
	Incarnations []bbrwork.Incarnation
	TicketTTL    time.Duration
}

// Upstreams returns the IDs of the upstreams that the call is about.
func (a AdviceRequest) Upstreams() []string {
	ids := make([]string, len(a.Incarnations))
	for i, incarnation := range a.Incarnations {
		ids[i] = incarnation.ID
	}
	return ids
}

// needsAdvice tells whether the job's steps may run only on upstreams that the
// advice service names.
func (j *job) needsAdvice() bool { return j.policy != nil && j.policy.RequiresAdvice }

// ticketFor returns the step's ticket for an upstream. An empty text with ok
// means that the queue needs none.
func (sched *Scheduler) ticketFor(s *step, up *upstream, now time.Time) (text string, ok bool) {
	if !s.job.needsAdvice() {
		return "", true
	}
	known := sched.advice[s.units[0].name().StepName()]
	if known == nil {
		return "", false
	}
	got, ok := known.tickets[up.ID]
	if !ok || got.startTime != up.StartMillis || now.After(got.validUntil) {
		return "", false
	}
	return got.text, true
}

// hasTicket tells whether the step may run on an upstream as far as the advice
// service is concerned.
func (sched *Scheduler) hasTicket(s *step, up *upstream, now time.Time) bool {
	_, ok := sched.ticketFor(s, up, now)
	return ok
}

// adviceRefused tells whether the advice service has said that the step may not
// run on an upstream.
func (sched *Scheduler) adviceRefused(s *step, up *upstream) bool {
	if !s.job.needsAdvice() {
		return false
	}
	known := sched.advice[s.units[0].name().StepName()]
	return known != nil && known.refused[up.Incarnation]
}

// adviceRequest returns a call to the advice service where the step has no usable ticket
// for an upstream with room.
func (sched *Scheduler) adviceRequest(s *step, usable []*upstream, now time.Time) (AdviceRequest, bool) {
	if !s.job.needsAdvice() || sched.adviceInFlight >= maxAdviceInFlight {
		return AdviceRequest{}, false
	}
	name := s.units[0].name().StepName()
	known := sched.advice[name]
	if known == nil {
		known = &stepAdvice{tickets: make(map[string]ticket), refused: make(map[bbrwork.Incarnation]bool)}
		sched.advice[name] = known
	}
	if known.inFlight || now.Before(known.retryAt) {
		return AdviceRequest{}, false
	}
	incarnations := sched.adviceCandidates(s, known, usable, now)
	if len(incarnations) == 0 {
		return AdviceRequest{}, false
	}
	known.inFlight = true
	sched.adviceInFlight++
	return AdviceRequest{Step: name, Incarnations: incarnations, TicketTTL: s.job.policy.TicketTTL}, true
}

// adviceCandidates returns the upstreams with a place for the step of which it is not
// known whether they may run it, those with most room first; none where one that
// may has a place.
func (sched *Scheduler) adviceCandidates(s *step, known *stepAdvice, usable []*upstream, now time.Time) []bbrwork.Incarnation {
	var undecided []*upstream
	for _, up := range usable {
		if !s.shape.Allocation().Fits(up.free()) || !up.HasLabel(s.shape.Label) || s.atUpstreamLimit(up) {
			continue
		}
		if _, ok := sched.ticketFor(s, up, now); ok && !s.shape.Gang {
			return nil
		} else if !ok && !known.refused[up.Incarnation] {
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

// ApplyAdvice applies the advice service's answer to a call sent at sent. Tickets
// are by upstream.
func (sched *Scheduler) ApplyAdvice(request AdviceRequest, tickets map[string]string, ttl time.Duration, err error, sent, now time.Time) {
	sched.adviceInFlight--
	known := sched.advice[request.Step]
	if known == nil {
		return
	}
	known.inFlight = false
	if err != nil {
		known.retryAt = now.Add(adviceRetryDelay)
		sched.note(now, "Advice not given", "step", request.Step, "reason", err.Error())
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
		known.tickets[incarnation.ID] = ticket{text: text, startTime: incarnation.StartMillis, validUntil: sent.Add(ttl - ticketMargin)}
	}
	sched.note(now, "Advice given", "step", request.Step, "asked", len(request.Incarnations), "good", len(tickets), "took", now.Sub(sent).Round(time.Millisecond))
}

// dropAdvice forgets the tickets of a job.
func (sched *Scheduler) dropAdvice(in *bbrwork.Job) {
	for occurrence := range in.Occurrences() {
		for number := range in.Steps {
			delete(sched.advice, bbrwork.Unit{Job: in.ID, Occurrence: occurrence, Step: number}.StepName())
		}
	}
}
