package bbrrevision

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
)

// Upper limits of values in the configuration.
const (
	maxBound       = 100_000
	maxAnswerBytes = 16 << 20
)

// checker collects all errors of a configuration.
type checker struct {
	errs []*bbrcode.Error
}

func (c *checker) require(ok bool, path, format string, args ...any) {
	if !ok {
		c.errs = append(c.errs, bbrcode.Errorf(bbrcode.InvalidConfig, path, format, args...))
	}
}

// Validate returns all errors of the configuration, in a deterministic order.
func (c *Config) Validate() []*bbrcode.Error {
	var check checker
	check.require(c.Organisation != "", "organisation", "must not be empty")
	_, spare := c.Pools[c.SparePool]
	check.require(c.SparePool == "" || spare, "sparePool", "no pool is named %q", c.SparePool)
	check.require(c.Weights.Move >= 0, "weights.move", "must not be negative")
	check.require(c.Weights.Buffer >= 0 && c.Weights.Buffer <= 1, "weights.buffer", "must be from 0 to 1")
	check.require(c.ActivePerZone >= 0, "activePerZone", "must not be negative")
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		check.require(c.Services[name].Budget >= 0, "services."+name+".budget", "must not be negative")
	}
	for _, name := range slices.Sorted(maps.Keys(c.Pools)) {
		check.require(c.Pools[name].UrgentReserve >= 0, "pools."+name+".urgentReserve", "must not be negative")
	}
	for _, name := range slices.Sorted(maps.Keys(c.Teams)) {
		check.require(c.Teams[name].Quota >= 0, "teams."+name+".quota", "must not be negative")
	}
	for _, name := range slices.Sorted(maps.Keys(c.Queues)) {
		c.checkQueue(&check, name)
	}
	return check.errs
}

func (c *Config) checkQueue(check *checker, name string) {
	queue := c.Queues[name]
	prefix := "queues." + name + "."
	_, service := c.Services[queue.Service]
	_, pool := c.Pools[queue.Pool]
	check.require(service, prefix+"service", "no service is named %q", queue.Service)
	check.require(pool, prefix+"pool", "no pool is named %q", queue.Pool)
	check.require(queue.Bound > 0 && queue.Bound <= maxBound, prefix+"bound", "must be from 1 to %d", maxBound)
	check.require(queue.Timeout > 0, prefix+"timeout", "must be above 0")
	check.require(queue.AnswerBytes > 0 && queue.AnswerBytes <= maxAnswerBytes, prefix+"answerBytes", "must be from 1 to %d", maxAnswerBytes)
	allowed := []string{"", "always", "never"}
	check.require(slices.Contains(allowed, queue.Idempotent), prefix+"idempotent", "must be %q or %q", "always", "never")
}

// Join combines the errors into one, or returns nil if there are none.
func Join(errs []*bbrcode.Error) error {
	if len(errs) == 0 {
		return nil
	}
	lines := make([]string, len(errs))
	for i, err := range errs {
		lines[i] = fmt.Sprintf("%s: %s", err.Place, err.Detail)
	}
	return bbrcode.Errorf(bbrcode.InvalidConfig, errs[0].Place, "%s", strings.Join(lines, "; "))
}
