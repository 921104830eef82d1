package bbrscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// advice is what the advice service said of a step. Which upstreams may run a
// step never changes; tickets run out.
type advice struct {
	// tickets are by upstream.
	tickets map[string]ticket
	// refused has the lives that may not run the step.
	refused map[bbrwork.Life]bool
	asking  bool
	// again is when the service may be asked once more.
	again time.Time
}

type ticket struct {
	text  string
	born  int64
	until time.Time
}

const (
	// askedAtOnce is how many upstreams a call names. The service takes its time
	// for each.
	askedAtOnce = 30
	// maxAsking bounds the calls on their way: the service takes one after the
	// other, so those of later steps would only wait.
	maxAsking = 4
	// advisePause is the least time between two calls for a step.
	advisePause = 300 * time.Millisecond
	// ticketMargin is taken off a ticket's life.
	ticketMargin = 100 * time.Millisecond
)

// AdviceRequest asks the advice service about a step.
type AdviceRequest struct {
	Step         string
	Incarnations []bbrwork.Life
	Validity     time.Duration
}

// Upstreams returns the IDs of the upstreams that the call is about.
func (a AdviceRequest) Upstreams() []string {
	ids := make([]string, len(a.Incarnations))
	for i, life := range a.Incarnations {
		ids[i] = life.ID
	}
	return ids
}

// needsAdvice tells whether the job's steps may run only on upstreams that the
// advice service names.
func (j *job) needsAdvice() bool { return j.terms != nil && j.terms.Advised }

// advised returns the step's ticket for an upstream. An empty text with ok
// means that the queue needs none.
func (l *Scheduler) advised(s *step, up *upstream, now time.Time) (text string, ok bool) {
	if !s.job.needsAdvice() {
		return "", true
	}
	known := l.advice[s.units[0].name().StepName()]
	if known == nil {
		return "", false
	}
	got, ok := known.tickets[up.ID]
	if !ok || got.born != up.Born || now.After(got.until) {
		return "", false
	}
	return got.text, true
}

// hasTicket tells whether the step may run on an upstream as far as the advice
// service is concerned.
func (l *Scheduler) hasTicket(s *step, up *upstream, now time.Time) bool {
	_, ok := l.advised(s, up, now)
	return ok
}

// adviceRefused tells whether the advice service has said that the step may not
// run on an upstream.
func (l *Scheduler) adviceRefused(s *step, up *upstream) bool {
	if !s.job.needsAdvice() {
		return false
	}
	known := l.advice[s.units[0].name().StepName()]
	return known != nil && known.refused[up.Life]
}

// ask returns a call to the advice service where the step has no usable ticket
// for an upstream with room.
func (l *Scheduler) ask(s *step, usable []*upstream, now time.Time) (AdviceRequest, bool) {
	if !s.job.needsAdvice() || l.asking >= maxAsking {
		return AdviceRequest{}, false
	}
	name := s.units[0].name().StepName()
	known := l.advice[name]
	if known == nil {
		known = &advice{tickets: make(map[string]ticket), refused: make(map[bbrwork.Life]bool)}
		l.advice[name] = known
	}
	if known.asking || now.Before(known.again) {
		return AdviceRequest{}, false
	}
	lives := l.worthAsking(s, known, usable, now)
	if len(lives) == 0 {
		return AdviceRequest{}, false
	}
	known.asking = true
	l.asking++
	return AdviceRequest{Step: name, Incarnations: lives, Validity: s.job.terms.Valid}, true
}

// worthAsking returns the upstreams with a place for the step of which it is not
// known whether they may run it, those with most room first; none where one that
// may has a place.
func (l *Scheduler) worthAsking(s *step, known *advice, usable []*upstream, now time.Time) []bbrwork.Life {
	var open []*upstream
	for _, up := range usable {
		if !s.shape.Taken().Fits(up.free()) || !up.HasLabel(s.shape.Label) || s.full(up) {
			continue
		}
		if _, ok := l.advised(s, up, now); ok && !s.shape.Gang {
			return nil
		} else if !ok && !known.refused[up.Life] {
			open = append(open, up)
		}
	}
	slices.SortStableFunc(open, func(a, b *upstream) int { return cmp.Compare(b.free().MilliCPU, a.free().MilliCPU) })
	lives := make([]bbrwork.Life, 0, askedAtOnce)
	for _, up := range open[:min(len(open), askedAtOnce)] {
		lives = append(lives, up.Life)
	}
	return lives
}

// ApplyAdvice applies the advice service's answer to a call sent at sent. Tickets
// are by upstream.
func (l *Scheduler) ApplyAdvice(order AdviceRequest, tickets map[string]string, valid time.Duration, err error, sent, now time.Time) {
	l.asking--
	known := l.advice[order.Step]
	if known == nil {
		return
	}
	known.asking = false
	if err != nil {
		known.again = now.Add(advisePause)
		l.note(now, "Advice not given", "step", order.Step, "reason", err.Error())
		return
	}
	if valid == 0 {
		valid = order.Validity
	}
	for _, life := range order.Incarnations {
		text, good := tickets[life.ID]
		if !good {
			known.refused[life] = true
			continue
		}
		known.tickets[life.ID] = ticket{text: text, born: life.Born, until: sent.Add(valid - ticketMargin)}
	}
	l.note(now, "Advice given", "step", order.Step, "asked", len(order.Incarnations), "good", len(tickets), "took", now.Sub(sent).Round(time.Millisecond))
}

// dropAdvice forgets the tickets of a job.
func (l *Scheduler) dropAdvice(in *bbrwork.Job) {
	for occurrence := range in.Occurrences() {
		for number := range in.Steps {
			delete(l.advice, bbrwork.Unit{Job: in.ID, Occurrence: occurrence, Step: number}.StepName())
		}
	}
}
