package bbrledger

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// advice is what the advice service said of a step.
type advice struct {
	// tickets are by upstream; an upstream without one may not run the step.
	tickets map[string]ticket
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
	// maxAdvised is how many upstreams one call may name.
	maxAdvised = 100
	// advisePause is the least time between two calls for a step.
	advisePause = 300 * time.Millisecond
	// ticketMargin is taken off a ticket's life.
	ticketMargin = 100 * time.Millisecond
)

// AskOrder asks the advice service about a step.
type AskOrder struct {
	Step      string
	Upstreams []string
	Valid     time.Duration
}

// advised returns the step's ticket for an upstream. An empty text with ok
// means that the queue needs none.
func (l *Ledger) advised(s *step, up *upstream, now time.Time) (text string, ok bool) {
	if s.job.queue == nil || s.job.queue.Advice == nil {
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

// ask returns a call to the advice service where the step has no usable ticket.
func (l *Ledger) ask(s *step, usable []*upstream, now time.Time) (AskOrder, bool) {
	if s.job.queue == nil || s.job.queue.Advice == nil || len(usable) == 0 {
		return AskOrder{}, false
	}
	name := s.units[0].name().StepName()
	known := l.advice[name]
	if known == nil {
		known = &advice{}
		l.advice[name] = known
	}
	if known.asking || now.Before(known.again) {
		return AskOrder{}, false
	}
	for _, up := range usable {
		if _, ok := l.advised(s, up, now); ok {
			return AskOrder{}, false
		}
	}
	order := AskOrder{Step: name, Valid: s.job.queue.Advice.Valid}
	for _, up := range usable[:min(len(usable), maxAdvised)] {
		order.Upstreams = append(order.Upstreams, up.ID)
	}
	known.asking = true
	return order, true
}

// Advised applies the advice service's answer to a call sent at sent. Tickets
// are by upstream.
func (l *Ledger) Advised(order AskOrder, tickets map[string]string, valid time.Duration, err error, sent, now time.Time) {
	known := l.advice[order.Step]
	if known == nil {
		return
	}
	known.asking = false
	known.again = now.Add(advisePause)
	if err != nil {
		l.note(now, "Advice not given", "step", order.Step, "reason", err.Error())
		return
	}
	if valid == 0 {
		valid = order.Valid
	}
	known.tickets = make(map[string]ticket, len(tickets))
	for id, text := range tickets {
		if up := l.upstreams[id]; up != nil {
			known.tickets[id] = ticket{text: text, born: up.Born, until: sent.Add(valid - ticketMargin)}
		}
	}
}

// dropAdvice forgets the tickets of a job.
func (l *Ledger) dropAdvice(in *bbrwork.Job) {
	for occurrence := range in.Occurrences() {
		for number := range in.Steps {
			delete(l.advice, bbrwork.Unit{Job: in.ID, Occurrence: occurrence, Step: number}.StepName())
		}
	}
}
