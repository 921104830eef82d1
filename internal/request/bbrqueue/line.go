package bbrqueue

import (
	"container/list"
	"sync"
	"sync/atomic"
)

// WaitQueue hands places of type T to waiting requests. The zero value is empty.
type WaitQueue[T any] struct {
	length atomic.Int64
	mu     sync.Mutex
	urgent class[T]
	normal class[T]
}

// class keeps a first-come list for each team and the turn of the teams.
type class[T any] struct {
	teams map[string]*list.List
	// turns holds the names of teams with a waiting request, next first.
	turns list.List
}

// Waiter is a waiting request.
type Waiter[T any] struct {
	// Granted receives the place. It has room for one.
	Granted chan T

	urgent  bool
	team    string
	element *list.Element
}

// Len returns how many requests wait.
func (l *WaitQueue[T]) Len() int { return int(l.length.Load()) }

// Enqueue adds a request.
func (l *WaitQueue[T]) Enqueue(team string, urgent bool) *Waiter[T] {
	ticket := &Waiter[T]{Granted: make(chan T, 1), urgent: urgent, team: team}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.class(urgent).add(ticket)
	l.length.Add(1)
	return ticket
}

// Remove removes a request. It returns false where the request has been given
// a place already, which then waits in Granted.
func (l *WaitQueue[T]) Remove(ticket *Waiter[T]) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ticket.element == nil {
		return false
	}
	l.class(ticket.urgent).remove(ticket)
	l.length.Add(-1)
	return true
}

// Grant gives a place to the next request that allowed admits, and reports
// whether there was one.
func (l *WaitQueue[T]) Grant(place T, allowed func(urgent bool) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ticket := l.urgent.next()
	if ticket == nil && allowed(false) {
		ticket = l.normal.next()
	}
	if ticket == nil {
		return false
	}
	l.class(ticket.urgent).take(ticket)
	l.length.Add(-1)
	ticket.Granted <- place
	return true
}

func (l *WaitQueue[T]) class(urgent bool) *class[T] {
	if urgent {
		return &l.urgent
	}
	return &l.normal
}

func (c *class[T]) add(ticket *Waiter[T]) {
	if c.teams == nil {
		c.teams = make(map[string]*list.List)
	}
	team := c.teams[ticket.team]
	if team == nil {
		team = list.New()
		c.teams[ticket.team] = team
		c.turns.PushBack(ticket.team)
	}
	ticket.element = team.PushBack(ticket)
}

func (c *class[T]) next() *Waiter[T] {
	front := c.turns.Front()
	if front == nil {
		return nil
	}
	return c.teams[front.Value.(string)].Front().Value.(*Waiter[T])
}

// take removes the next request and moves its team to the end of the turns.
func (c *class[T]) take(ticket *Waiter[T]) {
	c.turns.MoveToBack(c.turns.Front())
	c.remove(ticket)
}

func (c *class[T]) remove(ticket *Waiter[T]) {
	team := c.teams[ticket.team]
	team.Remove(ticket.element)
	ticket.element = nil
	if team.Len() > 0 {
		return
	}
	delete(c.teams, ticket.team)
	for turn := c.turns.Front(); turn != nil; turn = turn.Next() {
		if turn.Value.(string) == ticket.team {
			c.turns.Remove(turn)
			return
		}
	}
}
