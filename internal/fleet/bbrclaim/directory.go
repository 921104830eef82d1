package bbrclaim

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
	"github.com/bluebellridge/bluebellridge/internal/store/bbritem"
)

// claimRecord is the value of a claim.
type claimRecord struct {
	Entry       string `json:"entry"`
	Incarnation string `json:"incarnation"`
}

// Claim is a service's owner as the store tells it.
type Claim struct {
	Entry, Incarnation string
	// Revision is that of the claim's creation.
	Revision bbritem.Revision
	// Lease is what the claim hangs on.
	Lease bbritem.Lease
}

// Directory is the entries and claims that the store lists.
type Directory struct {
	mu      sync.Mutex
	entries map[string]entryRecord
	claims  map[string]Claim
	// missing has when a service was first seen without an owner.
	missing map[string]time.Time
	// gone has, by service, the newest claim that is known to have ended.
	gone map[string]bbritem.Revision
	// directives is replaced whole.
	directives bbrmachine.Directives
	seen       map[string]bbritem.Revision
}

// Snapshot replaces everything.
func (d *Directory) Snapshot(items []bbritem.Item, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.claims
	d.entries = make(map[string]entryRecord)
	d.claims = make(map[string]Claim)
	d.seen = make(map[string]bbritem.Revision)
	for _, item := range items {
		d.apply(item)
	}
	for service, claim := range before {
		if d.claims[service].Revision != claim.Revision {
			d.end(service, claim.Revision)
		}
	}
}

// Change applies one event.
func (d *Directory) Change(item bbritem.Item, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(item)
}

func (d *Directory) apply(item bbritem.Item) {
	if item.Revision <= d.seen[item.Key] {
		return
	}
	d.seen[item.Key] = item.Revision
	if item.Key == DirectivesKey {
		d.applyDirectives(item)
	}
	if name, ok := strings.CutPrefix(item.Key, entryPrefix); ok {
		d.applyEntry(name, item)
	}
	if service, ok := strings.CutPrefix(item.Key, claimPrefix); ok {
		d.applyClaim(service, item)
	}
}

func (d *Directory) applyEntry(name string, item bbritem.Item) {
	var record entryRecord
	if item.Deleted || json.Unmarshal(item.Value, &record) != nil {
		delete(d.entries, name)
		return
	}
	d.entries[name] = record
}

func (d *Directory) applyClaim(service string, item bbritem.Item) {
	var record claimRecord
	if item.Deleted || json.Unmarshal(item.Value, &record) != nil {
		d.end(service, item.Revision)
		if held, ok := d.claims[service]; ok {
			klog.InfoS("Owner gone", "service", service, "entry", held.Entry, "token", held.Revision, "revision", item.Revision)
		}
		delete(d.claims, service)
		return
	}
	d.claims[service] = Claim{Entry: record.Entry, Incarnation: record.Incarnation, Revision: item.Created, Lease: item.Lease}
}

func (d *Directory) applyDirectives(item bbritem.Item) {
	value := item.Value
	if item.Deleted {
		value = nil
	}
	directives, err := bbrmachine.ParseDirectives(value)
	if err != nil {
		klog.ErrorS(err, "Directives unreadable", "revision", item.Revision)
		return
	}
	d.directives = directives
}

// Directives returns what operators ask of instances, not to be changed.
func (d *Directory) Directives() bbrmachine.Directives {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.directives
}

func (d *Directory) end(service string, revision bbritem.Revision) {
	if d.gone == nil {
		d.gone = make(map[string]bbritem.Revision)
	}
	d.gone[service] = max(d.gone[service], revision)
}

// Ended tells whether the claim with the token is known to have ended. A claim
// that is merely not listed yet has not.
func (d *Directory) Ended(service string, token bbritem.Revision) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gone[service] >= token || d.claims[service].Revision > token
}

// Owner returns the owner of a service.
func (d *Directory) Owner(service string) (Claim, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	claim, ok := d.claims[service]
	return claim, ok
}

// OwnerAddress returns where the owner of a service can be asked.
func (d *Directory) OwnerAddress(service string) (netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	claim, owned := d.claims[service]
	entry := d.entries[claim.Entry]
	return entry.Peers, owned && entry.Incarnation == claim.Incarnation && entry.Peers.IsValid()
}

// Entries returns the names of the registered entries in order.
func (d *Directory) Entries() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.names()
}

func (d *Directory) names() []string {
	names := make([]string, 0, len(d.entries))
	for name := range d.entries {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Due tells whether the entry should claim the service now; the entries come
// one after the other, in the order of their rank.
func (d *Directory) Due(service, entry string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.missing == nil {
		d.missing = make(map[string]time.Time)
	}
	if _, owned := d.claims[service]; owned {
		delete(d.missing, service)
		return false
	}
	since, known := d.missing[service]
	if !known {
		d.missing[service] = now
		since = now
	}
	rank := d.rank(service, entry)
	return now.Sub(since) >= time.Duration(rank)*claimStagger
}

// claimStagger is between the attempts of two entries to claim a service.
const claimStagger = 250 * time.Millisecond

// rank returns how many entries should claim the service before this one.
func (d *Directory) rank(service, entry string) int {
	held := make(map[string]int)
	for _, claim := range d.claims {
		held[claim.Entry]++
	}
	own := d.preferenceOf(entry, held)
	rank := 0
	for name := range d.entries {
		if name != entry && d.preferenceOf(name, held).before(own) {
			rank++
		}
	}
	return rank
}

func (d *Directory) preferenceOf(entry string, held map[string]int) preference {
	return preference{held: held[entry], milliCPU: d.entries[entry].MilliCPU, registered: d.seen[entryPrefix+entry]}
}

// preference orders entries for a claim: few claims first, then much processor
// time, and then the one that registered last, since entries that are restarted
// in turn are least likely to be stopped again soon.
type preference struct {
	held, milliCPU int
	registered     bbritem.Revision
}

func (p preference) before(other preference) bool {
	if p.held != other.held {
		return p.held < other.held
	}
	if p.milliCPU != other.milliCPU {
		return p.milliCPU > other.milliCPU
	}
	return p.registered > other.registered
}

// Claimed notes a claim of this entry before the store tells of it, so that it
// counts when the next one is ranked.
func (d *Directory) Claimed(service string, claim Claim) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.claims == nil {
		d.claims = make(map[string]Claim)
	}
	if d.claims[service].Revision < claim.Revision && d.gone[service] < claim.Revision {
		d.claims[service] = claim
	}
}
