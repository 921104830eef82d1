package bbrrevision

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbroperation"
)

// Key is the key of the configuration in the platform's store.
const Key = "config"

// Config is the shared configuration of one organisation.
type Config struct {
	Organisation string `json:"organisation" yaml:"organisation"`
	// SparePool is the pool that lends instances first; empty for none.
	SparePool string             `json:"sparePool" yaml:"sparePool"`
	Weights   Weights            `json:"weights" yaml:"weights"`
	Services  map[string]Service `json:"services" yaml:"services"`
	Queues    map[string]Queue   `json:"queues" yaml:"queues"`
	Pools     map[string]Pool    `json:"pools" yaml:"pools"`
	Teams     map[string]Team    `json:"teams" yaml:"teams"`
	// ActivePerZone limits the instances of a zone that draw power at once; 0
	// means no limit.
	ActivePerZone int `json:"activePerZone" yaml:"activePerZone"`
	// Operations has the IDs of the latest applied operations, oldest first.
	Operations bbroperation.Log `json:"operations" yaml:"-"`
}

// Weights are the organisation's preferences. They express costs relative to one
// instance's capacity missing for a second.
type Weights struct {
	// Move is the cost of one move in instance-seconds of missing capacity.
	Move time.Duration `json:"moveNs" yaml:"move"`
	// Buffer is the cost of an idle instance relative to a missing one, from 0 to
	// 1.
	Buffer float64 `json:"buffer" yaml:"buffer"`
}

// Service is a group of queues with one availability budget.
type Service struct {
	// Budget is the maximum number of instances of the service's pools that may be
	// out of service at once, over all zones, planned and unplanned together.
	Budget int `json:"budget" yaml:"budget"`
}

// Queue is a stream of callers' requests that one pool serves.
type Queue struct {
	Service string `json:"service" yaml:"service"`
	Pool    string `json:"pool" yaml:"pool"`
	// Bound is the maximum number of requests that wait at one entry.
	Bound int `json:"bound" yaml:"bound"`
	// Timeout is the maximum time that a request may take, and the default for a
	// request without a deadline.
	Timeout time.Duration `json:"timeoutNs" yaml:"timeout"`
	// Idempotent overrides whether the HTTP method counts as idempotent: "always",
	// "never", or empty for no override.
	Idempotent string `json:"idempotent,omitempty" yaml:"idempotent"`
	// AnswerBytes is the maximum length of a response that is checked completely
	// before its first byte is sent to the caller.
	AnswerBytes int64 `json:"answerBytes" yaml:"answerBytes"`
	// RequireEcho rejects responses that do not echo the request's ID.
	RequireEcho bool `json:"requireEcho,omitempty" yaml:"requireEcho"`
}

// Pool is a set of instances that serve the same queues.
type Pool struct {
	// UrgentReserve is the number of an entry's slots in the pool that are reserved
	// for urgent requests.
	UrgentReserve int `json:"urgentReserve" yaml:"urgentReserve"`
}

// Team is a group of callers with a quota.
type Team struct {
	// Quota is the maximum number of requests of the team that an entry handles at
	// once; 0 means no limit.
	Quota int `json:"quota" yaml:"quota"`
}

// Clone returns a copy that shares no map or slice with c.
func (c Config) Clone() Config {
	clone := c
	clone.Services = maps.Clone(c.Services)
	clone.Queues = maps.Clone(c.Queues)
	clone.Pools = maps.Clone(c.Pools)
	clone.Teams = maps.Clone(c.Teams)
	clone.Operations = slices.Clone(c.Operations)
	return clone
}

// Applied reports whether the configuration records the operation.
func Applied(c *Config, operation string) bool { return c.Operations.Has(operation) }

// ServicesOf returns the services with a queue in the pool, sorted.
func (c *Config) ServicesOf(pool string) []string {
	found := make(map[string]bool)
	for _, queue := range c.Queues {
		if queue.Pool == pool {
			found[queue.Service] = true
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// LongestTimeout returns the longest timeout of all queues.
func (c *Config) LongestTimeout() time.Duration {
	longest := time.Duration(0)
	for _, queue := range c.Queues {
		longest = max(longest, queue.Timeout)
	}
	return longest
}
