package bbrpermit

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/config/bbrrevision"
)

// writer is a zone's coordinator or an operator's command that has read the registry
// and not written it yet.
type writer struct {
	registry Registry
	version  int
	rules    Rules
}

// platform stores the registry and swaps it by version.
type platform struct {
	registry Registry
	version  int
	// revision is the newest configuration revision, and accepted is the newest one
	// that an operator has seen accepted.
	revision, accepted bbrrevision.Revision
	// history contains every revision that was ever written.
	history []bbrrevision.Revision
}

func (p *platform) swap(w *writer, next Registry) bool {
	if w.version != p.version {
		return false
	}
	p.registry = next
	p.version++
	return true
}

func clone(registry Registry) Registry {
	data, _ := json.Marshal(registry)
	var copied Registry
	_ = json.Unmarshal(data, &copied)
	return copied
}

func config(budget int) bbrrevision.Config {
	return bbrrevision.Config{
		Services: map[string]bbrrevision.Service{"printing": {Budget: budget}},
		Queues:   map[string]bbrrevision.Queue{"proofs": {Service: "printing", Pool: "press"}, "plates": {Service: "printing", Pool: "press"}},
	}
}

// unavailableCount returns how many instances the registry knows to be out of
// service, with all instances of uncoordinated zones.
func (p *platform) unavailableCount(uncoordinated map[string]bool) int {
	instances := make(map[string]bool)
	for id, permit := range p.registry.Permits {
		if !uncoordinated[permit.Zone] {
			instances[id] = true
		}
	}
	count := 0
	for zone, report := range p.registry.Zones {
		if uncoordinated[zone] {
			count += report.InstanceCounts["press"]
			continue
		}
		for id := range report.Unavailable {
			instances[id] = true
		}
	}
	return count + len(instances)
}

// TestPermitsNeverExceedBudget lets zones and operators race for permits under
// configurations of different ages, with zones that lose their coordinator and
// instances that are lost. Whenever a permit is issued, all instances that are or may
// be out of service must fit the budget that an operator has last seen accepted, or a
// newer one.
func TestPermitsNeverExceedBudget(t *testing.T) {
	zones := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		p := &platform{revision: bbrrevision.Revision{Number: 1, Config: config(1)}}
		p.accepted = p.revision
		p.history = append(p.history, p.revision)
		known := map[string]bbrrevision.Revision{"a": p.revision, "b": p.revision, "c": p.revision}
		uncoordinated := make(map[string]bool)
		var writers []*writer
		read := func(zone string) *writer {
			revision := known[zone]
			w := &writer{registry: clone(p.registry), version: p.version, rules: Rules{Revision: &revision}}
			for _, z := range zones {
				if uncoordinated[z] {
					w.rules.UncoordinatedZones = append(w.rules.UncoordinatedZones, z)
				}
			}
			return w
		}
		zone := func(t *rapid.T) string { return rapid.SampledFrom(zones).Draw(t, "zone") }
		instance := func(t *rapid.T, zone string) string {
			return fmt.Sprintf("%s-%d", zone, rapid.IntRange(0, 2).Draw(t, "instance"))
		}
		acquire := func(t *rapid.T) {
			if len(writers) == 0 {
				t.Skip("no writers")
			}
			i := rapid.IntRange(0, len(writers)-1).Draw(t, "writer")
			w := writers[i]
			writers = append(writers[:i:i], writers[i+1:]...)
			zoneName := zone(t)
			id := instance(t, zoneName)
			_, permitExisted := w.registry.Permits[id]
			next := clone(w.registry)
			permit := Permit{Instance: id, Zone: zoneName, Pool: "press", Operation: rapid.SampledFrom([]string{"o-1", "o-2"}).Draw(t, "operation"), Since: time.Unix(1, 0)}
			if next.Acquire(w.rules, permit) != nil || !p.swap(w, next) || permitExisted {
				return
			}
			knownUncoordinated := make(map[string]bool)
			for _, z := range w.rules.UncoordinatedZones {
				knownUncoordinated[z] = true
			}
			budget := 0
			for _, revision := range p.history {
				if revision.Number >= p.accepted.Number {
					budget = max(budget, revision.Config.Services["printing"].Budget)
				}
			}
			require.LessOrEqual(t, p.unavailableCount(knownUncoordinated), budget, "instances out of service should fit the budget")
		}
		start := func(t *rapid.T) { writers = append(writers, read(zone(t))) }
		t.Repeat(map[string]func(*rapid.T){
			"reread": func(t *rapid.T) {
				// A writer may have read the rules long before it reads the
				// registry.
				if len(writers) == 0 {
					t.Skip("no writers")
				}
				w := rapid.SampledFrom(writers).Draw(t, "writer")
				w.registry, w.version = clone(p.registry), p.version
			},
			"read":         start,
			"readMore":     start,
			"acquire":      acquire,
			"acquireMore":  acquire,
			"acquireAgain": acquire,
			"release": func(t *rapid.T) {
				id := instance(t, zone(t))
				w := read("a")
				next := clone(p.registry)
				if next.Release(id, "o-1") {
					p.swap(w, next)
				}
			},
			"report": func(t *rapid.T) {
				z := zone(t)
				report := ZoneReport{InstanceCounts: map[string]int{"press": 3}, Unavailable: make(map[string]string)}
				for range rapid.IntRange(0, 2).Draw(t, "lost") {
					report.Unavailable[instance(t, z)] = "press"
				}
				w := read(z)
				next := clone(p.registry)
				if next.SetReport(z, report) {
					p.swap(w, next)
				}
			},
			"coordinator": func(t *rapid.T) { uncoordinated[zone(t)] = rapid.Bool().Draw(t, "has no coordinator") },
			"changeConfig": func(t *rapid.T) {
				p.revision = bbrrevision.Revision{Number: p.revision.Number + 1, Config: config(rapid.IntRange(0, 4).Draw(t, "budget"))}
				p.history = append(p.history, p.revision)
			},
			"readConfig": func(t *rapid.T) { known[zone(t)] = p.revision },
			"acceptConfig": func(t *rapid.T) {
				w := read("a")
				next := clone(p.registry)
				next.RaiseRevision(p.revision.Number)
				p.swap(w, next)
				p.accepted = p.revision
				for _, z := range zones {
					known[z] = p.revision
				}
			},
		})
	})
}
