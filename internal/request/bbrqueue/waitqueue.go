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
	urgent priorityClass[T]
	normal priorityClass[T]
}

// priorityClass keeps a first-come list for each team and the turn of the teams.
type priorityClass[T any] struct {
	teams map[string]*list.List
	// teamOrder holds the names of teams with a waiting request, next first.
	teamOrder list.List
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
func (q *WaitQueue[T]) Len() int { return int(q.length.Load()) }

// Enqueue adds a request.
func (q *WaitQueue[T]) Enqueue(team string, urgent bool) *Waiter[T] {
	waiter := &Waiter[T]{Granted: make(chan T, 1), urgent: urgent, team: team}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.classOf(urgent).add(waiter)
	q.length.Add(1)
	return waiter
}

// Remove removes a request. It returns false where the request has been given
// a place already, which then waits in Granted.
func (q *WaitQueue[T]) Remove(waiter *Waiter[T]) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if waiter.element == nil {
		return false
	}
	q.classOf(waiter.urgent).remove(waiter)
	q.length.Add(-1)
	return true
}

// Grant gives a place to the next request that allowed admits, and reports
// whether there was one.
func (q *WaitQueue[T]) Grant(item T, mayGrant func(urgent bool) bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiter := q.urgent.next()
	if waiter == nil && mayGrant(false) {
		waiter = q.normal.next()
	}
	if waiter == nil {
		return false
	}
	q.classOf(waiter.urgent).dequeue(waiter)
	q.length.Add(-1)
	waiter.Granted <- item
	return true
}

func (q *WaitQueue[T]) classOf(urgent bool) *priorityClass[T] {
	if urgent {
		return &q.urgent
	}
	return &q.normal
}

func (c *priorityClass[T]) add(waiter *Waiter[T]) {
	if c.teams == nil {
		c.teams = make(map[string]*list.List)
	}
	team := c.teams[waiter.team]
	if team == nil {
		team = list.New()
		c.teams[waiter.team] = team
		c.teamOrder.PushBack(waiter.team)
	}
	waiter.element = team.PushBack(waiter)
}

func (c *priorityClass[T]) next() *Waiter[T] {
	front := c.teamOrder.Front()
	if front == nil {
		return nil
	}
	return c.teams[front.Value.(string)].Front().Value.(*Waiter[T])
}

// dequeue removes the next request and moves its team to the end of the turns.
func (c *priorityClass[T]) dequeue(waiter *Waiter[T]) {
	c.teamOrder.MoveToBack(c.teamOrder.Front())
	c.remove(waiter)
}

func (c *priorityClass[T]) remove(waiter *Waiter[T]) {
	team := c.teams[waiter.team]
	team.Remove(waiter.element)
	waiter.element = nil
	if team.Len() > 0 {
		return
	}
	delete(c.teams, waiter.team)
	for element := c.teamOrder.Front(); element != nil; element = element.Next() {
		if element.Value.(string) == waiter.team {
			c.teamOrder.Remove(element)
			return
		}
	}
}
