package bbrpermit

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrrevision"
)

// Key is where the platform keeps the ledger.
const Key = "permits"

// Registry is the document of all permits and losses.
type Registry struct {
	// ConfigRevision is the newest configuration that the ledger was written
	// under. A permit is never given under an older one.
	ConfigRevision uint64 `json:"configRevision"`
	// Permits are the planned withdrawals by instance.
	Permits map[string]Permit `json:"permits"`
	// Zones are the reports of the zones' maintenance duties.
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

// ZoneReport is what a zone's maintenance duty last wrote about its instances.
type ZoneReport struct {
	// InstanceCounts counts the instances of each pool.
	InstanceCounts map[string]int `json:"members"`
	// Unavailable maps each instance that is out of service, for whatever reason, to
	// its pool. Those without a permit are unplanned losses.
	Unavailable map[string]string `json:"out"`
}

// Applied reports whether the operation holds a permit. Once the permit has
// been given back, the operation has to acquire it anew.
func Applied(registry *Registry, operation string) bool {
	for _, permit := range registry.Permits {
		if permit.Operation == operation {
			return true
		}
	}
	return false
}

// Rules are what a permit is judged by.
type Rules struct {
	Revision *bbrrevision.Revision
	// UncoordinatedZones lists the zones whose maintenance duty nobody holds. Their losses
	// cannot be known, so all of their instances count as lost.
	UncoordinatedZones []string
}

// UnavailableCount returns how many instances of the service are or may be out of
// service, without counting the instance named except.
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

func instanceCount(rules Rules, report ZoneReport, service string) int {
	count := 0
	for pool, members := range report.InstanceCounts {
		if serves(rules, pool, service) {
			count += members
		}
	}
	return count
}

func serves(rules Rules, pool, service string) bool {
	return slices.Contains(rules.Revision.Config.ServicesOf(pool), service)
}

// Acquire gives a permit, unless a budget has no room or the ledger was
// written under a newer configuration than the caller's.
func (registry *Registry) Acquire(rules Rules, permit Permit) error {
	if rules.Revision.Number < registry.ConfigRevision {
		return bbrcode.Errorf(bbrcode.Conflict, Key, "revision %d is older than the ledger's %d", rules.Revision.Number, registry.ConfigRevision)
	}
	if held, ok := registry.Permits[permit.Instance]; ok {
		return checkHeld(held, permit)
	}
	for _, service := range rules.Revision.Config.ServicesOf(permit.Pool) {
		budget := rules.Revision.Config.Services[service].Budget
		unavailable := registry.UnavailableCount(rules, service, permit.Instance)
		if unavailable+1 > budget {
			return bbrcode.Errorf(bbrcode.BudgetExhausted, permit.Instance,
				"service %s allows %d instances out of service and has %d: %s", service, budget, unavailable, registry.describeUnavailable(rules, service))
		}
	}
	if registry.Permits == nil {
		registry.Permits = make(map[string]Permit)
	}
	registry.ConfigRevision = rules.Revision.Number
	registry.Permits[permit.Instance] = permit
	return nil
}

func checkHeld(held, requested Permit) error {
	if held.Operation == requested.Operation {
		return nil
	}
	return bbrcode.Errorf(bbrcode.WrongState, requested.Instance, "operation %s holds a permit since %s",
		held.Operation, held.Since.Format(time.RFC3339))
}

// describeUnavailable describes what uses the service's budget.
func (registry *Registry) describeUnavailable(rules Rules, service string) string {
	var descriptions []string
	for _, instance := range slices.Sorted(maps.Keys(registry.Permits)) {
		if serves(rules, registry.Permits[instance].Pool, service) {
			descriptions = append(descriptions, instance+" (planned)")
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(registry.Zones)) {
		if slices.Contains(rules.UncoordinatedZones, zone) {
			descriptions = append(descriptions, "zone "+zone+" (no word from it)")
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

// Release ends the instance's permit if the operation holds it.
func (registry *Registry) Release(instance, operation string) bool {
	if registry.Permits[instance].Operation != operation {
		return false
	}
	delete(registry.Permits, instance)
	return true
}

// SetReport stores a zone's report and reports whether anything changed.
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

// HasReport reports whether the zone's report is stored already.
func (registry *Registry) HasReport(zone string, report ZoneReport) bool {
	stored, ok := registry.Zones[zone]
	return ok && maps.Equal(stored.InstanceCounts, report.InstanceCounts) && maps.Equal(stored.Unavailable, report.Unavailable)
}

// RaiseRevision makes every later permit be judged by the revision or a newer one.
func (registry *Registry) RaiseRevision(revision uint64) bool {
	if registry.ConfigRevision >= revision {
		return false
	}
	registry.ConfigRevision = revision
	return true
}
