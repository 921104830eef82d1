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
func Applied(l *Registry, operation string) bool {
	for _, permit := range l.Permits {
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
func (l *Registry) UnavailableCount(rules Rules, service, except string) int {
	count := 0
	for zone, report := range l.Zones {
		if slices.Contains(rules.UncoordinatedZones, zone) {
			count += membersOf(rules, report, service)
			continue
		}
		for instance, pool := range report.Unavailable {
			if instance != except && serves(rules, pool, service) {
				count++
			}
		}
	}
	for instance, permit := range l.Permits {
		_, reported := l.Zones[permit.Zone].Unavailable[instance]
		dark := slices.Contains(rules.UncoordinatedZones, permit.Zone)
		if instance != except && !reported && !dark && serves(rules, permit.Pool, service) {
			count++
		}
	}
	return count
}

func membersOf(rules Rules, report ZoneReport, service string) int {
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
func (l *Registry) Acquire(rules Rules, permit Permit) error {
	if rules.Revision.Number < l.ConfigRevision {
		return bbrcode.Errorf(bbrcode.Conflict, Key, "revision %d is older than the ledger's %d", rules.Revision.Number, l.ConfigRevision)
	}
	if held, ok := l.Permits[permit.Instance]; ok {
		return alreadyHeld(held, permit)
	}
	for _, service := range rules.Revision.Config.ServicesOf(permit.Pool) {
		budget := rules.Revision.Config.Services[service].Budget
		out := l.UnavailableCount(rules, service, permit.Instance)
		if out+1 > budget {
			return bbrcode.Errorf(bbrcode.BudgetExhausted, permit.Instance,
				"service %s allows %d instances out of service and has %d: %s", service, budget, out, l.holders(rules, service))
		}
	}
	if l.Permits == nil {
		l.Permits = make(map[string]Permit)
	}
	l.ConfigRevision = rules.Revision.Number
	l.Permits[permit.Instance] = permit
	return nil
}

func alreadyHeld(held, wanted Permit) error {
	if held.Operation == wanted.Operation {
		return nil
	}
	return bbrcode.Errorf(bbrcode.WrongState, wanted.Instance, "operation %s holds a permit since %s",
		held.Operation, held.Since.Format(time.RFC3339))
}

// holders describes what uses the service's budget.
func (l *Registry) holders(rules Rules, service string) string {
	var names []string
	for _, instance := range slices.Sorted(maps.Keys(l.Permits)) {
		if serves(rules, l.Permits[instance].Pool, service) {
			names = append(names, instance+" (planned)")
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(l.Zones)) {
		if slices.Contains(rules.UncoordinatedZones, zone) {
			names = append(names, "zone "+zone+" (no word from it)")
			continue
		}
		for _, instance := range slices.Sorted(maps.Keys(l.Zones[zone].Unavailable)) {
			_, planned := l.Permits[instance]
			if !planned && serves(rules, l.Zones[zone].Unavailable[instance], service) {
				names = append(names, instance+" (lost)")
			}
		}
	}
	return strings.Join(names, ", ")
}

// Release ends the instance's permit if the operation holds it.
func (l *Registry) Release(instance, operation string) bool {
	if l.Permits[instance].Operation != operation {
		return false
	}
	delete(l.Permits, instance)
	return true
}

// SetReport stores a zone's report and reports whether anything changed.
func (l *Registry) SetReport(zone string, report ZoneReport) bool {
	if l.HasReport(zone, report) {
		return false
	}
	if l.Zones == nil {
		l.Zones = make(map[string]ZoneReport)
	}
	l.Zones[zone] = report
	return true
}

// HasReport reports whether the zone's report is stored already.
func (l *Registry) HasReport(zone string, report ZoneReport) bool {
	present, ok := l.Zones[zone]
	return ok && maps.Equal(present.InstanceCounts, report.InstanceCounts) && maps.Equal(present.Unavailable, report.Unavailable)
}

// RaiseRevision makes every later permit be judged by the revision or a newer one.
func (l *Registry) RaiseRevision(revision uint64) bool {
	if l.ConfigRevision >= revision {
		return false
	}
	l.ConfigRevision = revision
	return true
}
