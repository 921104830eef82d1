package bbrrevision

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbroperation"
)

// Key is where the platform keeps the configuration.
const Key = "config"

// Config is the shared configuration of one organisation.
type Config struct {
	Organisation string `json:"organisation" yaml:"organisation"`
	// SparePool lends instances first.
	SparePool string             `json:"sparePool" yaml:"sparePool"`
	Weights   Weights            `json:"weights" yaml:"weights"`
	Services  map[string]Service `json:"services" yaml:"services"`
	Queues    map[string]Queue   `json:"queues" yaml:"queues"`
	Pools     map[string]Pool    `json:"pools" yaml:"pools"`
	Teams     map[string]Team    `json:"teams" yaml:"teams"`
	// ActivePerZone caps the instances that draw power in a zone; 0 means no
	// cap.
	ActivePerZone int `json:"activePerZone" yaml:"activePerZone"`
	// Operations are the newest applied operation IDs, oldest first.
	Operations bbroperation.Log `json:"operations" yaml:"-"`
}

// Weights are what the organisation minds most. They weigh a move against a second
// of an instance's worth of missing capacity.
type Weights struct {
	// Move is the cost of one move, in instance-seconds of deficit.
	Move time.Duration `json:"moveNs" yaml:"move"`
	// Buffer is the cost of an idle instance relative to a missing one, 0 to 1.
	Buffer float64 `json:"buffer" yaml:"buffer"`
}

// Service is a group of queues with one availability budget.
type Service struct {
	// Budget is how many instances of the service's pools may be out of
	// service at once, over all zones, planned and unplanned together.
	Budget int `json:"budget" yaml:"budget"`
}

// Queue is a stream of callers' requests that one pool serves.
type Queue struct {
	Service string `json:"service" yaml:"service"`
	Pool    string `json:"pool" yaml:"pool"`
	// Bound is how many requests may wait at one entry.
	Bound int `json:"bound" yaml:"bound"`
	// Timeout is the longest time that a request may take, and the deadline
	// of one that names none.
	Timeout time.Duration `json:"timeoutNs" yaml:"timeout"`
	// Idempotent overrides what the method says: "always" or "never".
	Idempotent string `json:"idempotent,omitempty" yaml:"idempotent"`
	// AnswerBytes is up to which length an answer is checked whole before its
	// first byte goes to the caller.
	AnswerBytes int64 `json:"answerBytes" yaml:"answerBytes"`
	// RequireEcho refuses answers that do not echo the request's ID.
	RequireEcho bool `json:"requireEcho,omitempty" yaml:"requireEcho"`
}

// Pool is a set of instances that serve the same queues.
type Pool struct {
	// UrgentReserve is how many of an entry's slots in the pool only urgent
	// requests may take.
	UrgentReserve int `json:"urgentReserve" yaml:"urgentReserve"`
}

// Team is a group of callers with a quota.
type Team struct {
	// Quota is how many requests of the team an entry handles at once; 0
	// means no limit.
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

// ServicesOf returns the services that have a queue in the pool, sorted.
func (c *Config) ServicesOf(pool string) []string {
	found := make(map[string]bool)
	for _, queue := range c.Queues {
		if queue.Pool == pool {
			found[queue.Service] = true
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// LongestTimeout returns the longest time that a request of any queue may take.
func (c *Config) LongestTimeout() time.Duration {
	longest := time.Duration(0)
	for _, queue := range c.Queues {
		longest = max(longest, queue.Timeout)
	}
	return longest
}
