package bbrpermit

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrrevision"
)

// Key is the platform's key under which the registry is stored.
const Key = "permits"

// Registry is the document of all permits and reported losses.
type Registry struct {
	// ConfigRevision is the newest configuration revision under which the registry
	// was written. No permit is issued under an older one.
	ConfigRevision uint64 `json:"configRevision"`
	// Permits are the permits of planned withdrawals, by instance.
	Permits map[string]Permit `json:"permits"`
	// Zones are the reports of the zones' coordinators, by zone.
	Zones map[string]ZoneReport `json:"zones"`
}

// Permit allows one instance to be out of service.
type Permit struct {
	Instance  string    `json:"instance"`
	Zone      string    `json:"zone"`
	Pool      string    `json:"pool"`
	Operation string    `json:"operation"`
	Since     time.Time `json:"since"`
}

// ZoneReport is the last report of a zone's coordinator about the zone's instances.
type ZoneReport struct {
	// InstanceCounts is the number of instances of each pool.
	InstanceCounts map[string]int `json:"members"`
	// Unavailable maps each instance that is out of service, for any reason, to its
	// pool. Those without a permit are unplanned losses.
	Unavailable map[string]string `json:"out"`
}

// Applied reports whether the operation holds a permit. Once the permit has been
// released, the operation has to acquire it again.
func Applied(registry *Registry, operation string) bool {
	for _, permit := range registry.Permits {
		if permit.Operation == operation {
			return true
		}
	}
	return false
}

// Rules are the inputs to a decision on a permit besides the registry.
type Rules struct {
	Revision *bbrrevision.Revision
	// UncoordinatedZones are the zones that have no coordinator at present. Their
	// losses cannot be known, so that all of their instances count as lost.
	UncoordinatedZones []string
}

// UnavailableCount returns the number of instances of the service that are or may be
// out of service, not counting the instance named except.
func (registry *Registry) UnavailableCount(rules Rules, service, except string) int {
	count := 0
	for zone, report := range registry.Zones {
		if slices.Contains(rules.UncoordinatedZones, zone) {
			count += instanceCount(rules, report, service)
			continue
		}
		for instance, pool := range report.Unavailable {
			if instance != except && serves(rules, pool, service) {
				count++
			}
		}
	}
	for instance, permit := range registry.Permits {
		_, reported := registry.Zones[permit.Zone].Unavailable[instance]
		uncoordinated := slices.Contains(rules.UncoordinatedZones, permit.Zone)
		if instance != except && !reported && !uncoordinated && serves(rules, permit.Pool, service) {
			count++
		}
	}
	return count
}

// instanceCount returns the number of reported instances that serve the service.
func instanceCount(rules Rules, report ZoneReport, service string) int {
	count := 0
	for pool, instances := range report.InstanceCounts {
		if serves(rules, pool, service) {
			count += instances
		}
	}
	return count
}

// serves reports whether the pool serves the service.
func serves(rules Rules, pool, service string) bool {
	return slices.Contains(rules.Revision.Config.ServicesOf(pool), service)
}

// Acquire issues the permit. It fails if that would exceed the budget of a service, if
// another operation holds a permit for the instance, or if the registry was written
// under a newer configuration than the caller's.
func (registry *Registry) Acquire(rules Rules, permit Permit) error {
	if rules.Revision.Number < registry.ConfigRevision {
		return bbrcode.Errorf(bbrcode.Conflict, Key, "configuration revision %d is older than the permit registry's %d", rules.Revision.Number, registry.ConfigRevision)
	}
	if held, ok := registry.Permits[permit.Instance]; ok {
		return checkHeld(held, permit)
	}
	for _, service := range rules.Revision.Config.ServicesOf(permit.Pool) {
		budget := rules.Revision.Config.Services[service].Budget
		unavailable := registry.UnavailableCount(rules, service, permit.Instance)
		if unavailable+1 > budget {
			return bbrcode.Errorf(bbrcode.BudgetExhausted, permit.Instance,
				"service %s allows %d instances out of service and already has %d: %s", service, budget, unavailable, registry.describeUnavailable(rules, service))
		}
	}
	if registry.Permits == nil {
		registry.Permits = make(map[string]Permit)
	}
	registry.ConfigRevision = rules.Revision.Number
	registry.Permits[permit.Instance] = permit
	return nil
}

// checkHeld accepts the request of the operation that holds the permit and refuses any
// other.
func checkHeld(held, requested Permit) error {
	if held.Operation == requested.Operation {
		return nil
	}
	return bbrcode.Errorf(bbrcode.WrongState, requested.Instance, "operation %s has held the permit since %s",
		held.Operation, held.Since.Format(time.RFC3339))
}

// describeUnavailable lists the instances and zones that use the service's budget.
func (registry *Registry) describeUnavailable(rules Rules, service string) string {
	var descriptions []string
	for _, instance := range slices.Sorted(maps.Keys(registry.Permits)) {
		if serves(rules, registry.Permits[instance].Pool, service) {
			descriptions = append(descriptions, instance+" (planned)")
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(registry.Zones)) {
		if slices.Contains(rules.UncoordinatedZones, zone) {
			descriptions = append(descriptions, "zone "+zone+" (no coordinator)")
			continue
		}
		for _, instance := range slices.Sorted(maps.Keys(registry.Zones[zone].Unavailable)) {
			_, planned := registry.Permits[instance]
			if !planned && serves(rules, registry.Zones[zone].Unavailable[instance], service) {
				descriptions = append(descriptions, instance+" (lost)")
			}
		}
	}
	return strings.Join(descriptions, ", ")
}

// Release removes the instance's permit if the operation holds it, and reports
// whether it did.
func (registry *Registry) Release(instance, operation string) bool {
	if registry.Permits[instance].Operation != operation {
		return false
	}
	delete(registry.Permits, instance)
	return true
}

// SetReport stores the zone's report and reports whether the registry changed.
func (registry *Registry) SetReport(zone string, report ZoneReport) bool {
	if registry.HasReport(zone, report) {
		return false
	}
	if registry.Zones == nil {
		registry.Zones = make(map[string]ZoneReport)
	}
	registry.Zones[zone] = report
	return true
}

// HasReport reports whether the stored report of the zone equals report.
func (registry *Registry) HasReport(zone string, report ZoneReport) bool {
	stored, ok := registry.Zones[zone]
	return ok && maps.Equal(stored.InstanceCounts, report.InstanceCounts) && maps.Equal(stored.Unavailable, report.Unavailable)
}

// RaiseRevision makes every later permit require the revision or a newer one, and
// reports whether the registry changed.
func (registry *Registry) RaiseRevision(revision uint64) bool {
	if registry.ConfigRevision >= revision {
		return false
	}
	registry.ConfigRevision = revision
	return true
}
