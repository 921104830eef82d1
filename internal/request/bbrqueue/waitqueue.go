package bbrqueue

import (
	"container/list"
	"sync"
	"sync/atomic"
)

// WaitQueue grants items of type T, such as slots, to waiting requests. It is safe
// for concurrent use. The zero value is empty.
type WaitQueue[T any] struct {
	length atomic.Int64
	mu     sync.Mutex
	urgent priorityClass[T]
	normal priorityClass[T]
}

// priorityClass is the queue of one priority: a list of waiters for each team, and
// the order in which the teams are served.
type priorityClass[T any] struct {
	// teams contains the waiters of each team, first come first. A team without
	// waiters has no list.
	teams map[string]*list.List
	// teamOrder contains the names of the teams that have a waiter, the next one
	// to be served first.
	teamOrder list.List
}

// Waiter is a waiting request.
type Waiter[T any] struct {
	// Granted receives the item. Its buffer of one element ensures that a grant
	// does not block.
	Granted chan T

	urgent bool
	team   string
	// element is the waiter's place in the list of its team. It is nil once the
	// waiter has left the queue.
	element *list.Element
}

// Len returns the number of waiting requests.
func (q *WaitQueue[T]) Len() int { return int(q.length.Load()) }

// Enqueue adds a request of the team at the end of the team's list.
func (q *WaitQueue[T]) Enqueue(team string, urgent bool) *Waiter[T] {
	waiter := &Waiter[T]{Granted: make(chan T, 1), urgent: urgent, team: team}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.classOf(urgent).add(waiter)
	q.length.Add(1)
	return waiter
}

// Remove removes a request that no longer waits. It returns false if the request
// has already been granted an item, which the caller then must receive from
// Granted.
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

// Grant gives the item to the next request, and reports whether there was one.
// Requests that are not urgent are considered only if mayGrant(false) is true.
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

// classOf returns the queue of a priority.
func (q *WaitQueue[T]) classOf(urgent bool) *priorityClass[T] {
	if urgent {
		return &q.urgent
	}
	return &q.normal
}

// add appends a waiter to the list of its team. A team that had no waiter is
// served after all others.
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

// next returns the next waiter to be served, or nil.
func (c *priorityClass[T]) next() *Waiter[T] {
	front := c.teamOrder.Front()
	if front == nil {
		return nil
	}
	return c.teams[front.Value.(string)].Front().Value.(*Waiter[T])
}

// dequeue removes the waiter that next has returned, and moves its team to the
// end of the order.
func (c *priorityClass[T]) dequeue(waiter *Waiter[T]) {
	c.teamOrder.MoveToBack(c.teamOrder.Front())
	c.remove(waiter)
}

// remove removes a waiter, and its team if that has no other waiter. It takes
// constant time while the team has other waiters, and otherwise time linear in the
// number of waiting teams.
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
