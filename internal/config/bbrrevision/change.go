package bbrrevision

import (
	"strconv"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
)

// Change is an operator's change of one field of the configuration. Get returns
// the field's present value as text, and Set sets the new one.
type Change struct {
	// Path is the path of the field, such as "teams.a.quota".
	Path string
	Get  func(c *Config) (string, error)
	Set  func(c *Config) error
}

// BudgetChange returns a change of a service's availability budget.
func BudgetChange(service string, budget int) Change {
	return Change{
		Path: "services." + service + ".budget",
		Get: func(c *Config) (string, error) {
			s, ok := c.Services[service]
			if !ok {
				return "", unknownName("service", service)
			}
			return strconv.Itoa(s.Budget), nil
		},
		Set: func(c *Config) error {
			s := c.Services[service]
			s.Budget = budget
			c.Services[service] = s
			return Join(c.Validate())
		},
	}
}

// QuotaChange returns a change of a team's quota.
func QuotaChange(team string, quota int) Change {
	return Change{
		Path: "teams." + team + ".quota",
		Get: func(c *Config) (string, error) {
			t, ok := c.Teams[team]
			if !ok {
				return "", unknownName("team", team)
			}
			return strconv.Itoa(t.Quota), nil
		},
		Set: func(c *Config) error {
			c.Teams[team] = Team{Quota: quota}
			return Join(c.Validate())
		},
	}
}

// BoundChange returns a change of a queue's bound.
func BoundChange(queue string, bound int) Change {
	return queueChange(queue, "bound",
		func(q Queue) string { return strconv.Itoa(q.Bound) },
		func(q *Queue) { q.Bound = bound })
}

// TimeoutChange returns a change of a queue's timeout.
func TimeoutChange(queue string, timeout time.Duration) Change {
	return queueChange(queue, "timeout",
		func(q Queue) string { return q.Timeout.String() },
		func(q *Queue) { q.Timeout = timeout })
}

// PoolChange returns a change of the pool that serves a queue.
func PoolChange(queue, pool string) Change {
	return queueChange(queue, "pool",
		func(q Queue) string { return q.Pool },
		func(q *Queue) { q.Pool = pool })
}

func queueChange(queue, field string, get func(Queue) string, set func(*Queue)) Change {
	return Change{
		Path: "queues." + queue + "." + field,
		Get: func(c *Config) (string, error) {
			q, ok := c.Queues[queue]
			if !ok {
				return "", unknownName("queue", queue)
			}
			return get(q), nil
		},
		Set: func(c *Config) error {
			q := c.Queues[queue]
			set(&q)
			c.Queues[queue] = q
			return Join(c.Validate())
		},
	}
}

func unknownName(kind, name string) error {
	return bbrcode.Errorf(bbrcode.UnknownName, name, "no %s has this name", kind)
}

// Apply changes the configuration and records the operation. The operator made
// the change when the field had the value seen; if it has another one now, Apply
// returns a conflict.
func (change Change) Apply(c *Config, seen, operation string) error {
	current, err := change.Get(c)
	if err != nil {
		return err
	}
	if current != seen {
		return bbrcode.Errorf(bbrcode.Conflict, change.Path, "was %s when the change was requested and is %s now", seen, current)
	}
	if err := change.Set(c); err != nil {
		return err
	}
	c.Operations.Record(operation)
	return nil
}
