package bbrclaim

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// claimRecord is the value of a claim.
type claimRecord struct {
	Entry       string `json:"entry"`
	Incarnation string `json:"incarnation"`
}

// Claim is an owner as the store tells it.
type Claim struct {
	Entry, Incarnation string
	// Revision is that of the claim's creation.
	Revision bbrkv.Revision
	// Lease is what the claim hangs on.
	Lease bbrkv.Lease
}

// Directory is the entries and claims that the store lists.
type Directory struct {
	mu      sync.Mutex
	entries map[string]entryRecord
	claims  map[string]Claim
	// unownedSince has when a name was first seen without an owner.
	unownedSince map[string]time.Time
	// endedRevision has, by name, the newest claim that is known to have ended.
	endedRevision map[string]bbrkv.Revision
	// endedAt has, by name, when a claim was last seen to have ended.
	endedAt map[string]time.Time
	// directives and cells are replaced whole.
	directives bbrmachine.Directives
	cells      *bbrcell.Cells
	revisions  map[string]bbrkv.Revision
}

// Snapshot replaces everything.
func (d *Directory) Snapshot(items []bbrkv.Item, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.claims
	d.entries = make(map[string]entryRecord)
	d.claims = make(map[string]Claim)
	d.revisions = make(map[string]bbrkv.Revision)
	for _, item := range items {
		d.apply(item, now)
	}
	for name, claim := range previous {
		if d.claims[name].Revision != claim.Revision {
			d.recordEnd(name, claim.Revision, now)
		}
	}
}

// Change applies one event.
func (d *Directory) Change(item bbrkv.Item, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(item, now)
}

func (d *Directory) apply(item bbrkv.Item, now time.Time) {
	if item.Revision <= d.revisions[item.Key] {
		return
	}
	d.revisions[item.Key] = item.Revision
	if item.Key == DirectivesKey {
		d.applyDirectives(item)
	}
	if item.Key == CellsKey {
		d.applyCells(item)
	}
	if name, ok := strings.CutPrefix(item.Key, entryPrefix); ok {
		d.applyEntry(name, item)
	}
	if name, ok := strings.CutPrefix(item.Key, claimPrefix); ok {
		d.applyClaim(name, item, now)
	}
}

func (d *Directory) applyEntry(name string, item bbrkv.Item) {
	var record entryRecord
	if item.Deleted || json.Unmarshal(item.Value, &record) != nil {
		delete(d.entries, name)
		return
	}
	d.entries[name] = record
}

func (d *Directory) applyClaim(name string, item bbrkv.Item, now time.Time) {
	var record claimRecord
	if item.Deleted || json.Unmarshal(item.Value, &record) != nil {
		d.recordEnd(name, item.Revision, now)
		if held, ok := d.claims[name]; ok {
			klog.InfoS("Owner gone", "claim", name, "entry", held.Entry, "token", held.Revision, "revision", item.Revision)
		}
		delete(d.claims, name)
		return
	}
	d.claims[name] = Claim{Entry: record.Entry, Incarnation: record.Incarnation, Revision: item.Created, Lease: item.Lease}
}

func (d *Directory) applyDirectives(item bbrkv.Item) {
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

func (d *Directory) applyCells(item bbrkv.Item) {
	cells, err := bbrcell.Parse(item.Value)
	if err != nil || item.Deleted {
		klog.ErrorS(err, "Division of the fleet unreadable", "revision", item.Revision, "deleted", item.Deleted)
		return
	}
	klog.InfoS("Fleet divided", "cells", cells.Count(), "racks", len(cells.CellByRack), "revision", item.Revision)
	d.cells = cells
}

// Cells returns the division of the fleet, nil before the fleet is divided.
func (d *Directory) Cells() *bbrcell.Cells {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cells
}

// Directives returns what operators ask of instances, not to be changed.
func (d *Directory) Directives() bbrmachine.Directives {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.directives
}

func (d *Directory) recordEnd(name string, revision bbrkv.Revision, now time.Time) {
	if d.endedRevision == nil {
		d.endedRevision, d.endedAt = make(map[string]bbrkv.Revision), make(map[string]time.Time)
	}
	d.endedAt[name] = now
	d.endedRevision[name] = max(d.endedRevision[name], revision)
}

// ClaimEnded tells whether the claim with the token is known to have ended. A claim
// that is merely not listed yet has not.
func (d *Directory) ClaimEnded(name string, token bbrkv.Revision) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endedRevision[name] >= token || d.claims[name].Revision > token
}

// Owner returns the owner of a service.
func (d *Directory) Owner(name string) (Claim, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	claim, ok := d.claims[name]
	return claim, ok
}

// OwnerAddress returns where the owner of the name can be asked.
func (d *Directory) OwnerAddress(name string) (netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	claim, owned := d.claims[name]
	entry := d.entries[claim.Entry]
	return entry.PeerAddress, owned && entry.Incarnation == claim.Incarnation && entry.PeerAddress.IsValid()
}

// Entries returns the names of the registered entries in order.
func (d *Directory) Entries() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entryNames()
}

// MilliCPUAtRank returns the processor time of the entry that comes at the place,
// counted from 1, among the strongest, in thousandths of a core; of the weakest
// one where there are fewer, and 0 where there is none.
func (d *Directory) MilliCPUAtRank(rank int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	strengths := make([]int, 0, len(d.entries))
	for _, record := range d.entries {
		strengths = append(strengths, record.MilliCPU)
	}
	if len(strengths) == 0 {
		return 0
	}
	slices.Sort(strengths)
	slices.Reverse(strengths)
	return strengths[min(max(1, rank), len(strengths))-1]
}

func (d *Directory) entryNames() []string {
	names := make([]string, 0, len(d.entries))
	for name := range d.entries {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// DueClaims returns which of the names without an owner the entry should claim now.
// For each name the entries come one after the other, in the order of their
// rank.
func (d *Directory) DueClaims(names []string, entry string, now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	unowned := d.trackUnowned(names, now)
	if len(unowned) == 0 {
		return nil
	}
	claimCounts := make(map[string]int)
	for _, claim := range d.claims {
		claimCounts[claim.Entry]++
	}
	var due []string
	for _, name := range unowned {
		rank, first := d.rank(entry, claimCounts)
		if now.Sub(d.unownedSince[name]) >= time.Duration(rank)*claimStagger {
			due = append(due, name)
		}
		// The next name is for the entry that is first once this one is claimed.
		claimCounts[first]++
	}
	return due
}

// trackUnowned returns the names that have no owner, in order, and notes since
// when.
func (d *Directory) trackUnowned(names []string, now time.Time) []string {
	previous := d.unownedSince
	d.unownedSince = make(map[string]time.Time)
	var unowned []string
	for _, name := range names {
		if _, owned := d.claims[name]; owned {
			continue
		}
		since, known := previous[name]
		if !known {
			since = now
		}
		d.unownedSince[name] = since
		unowned = append(unowned, name)
	}
	slices.Sort(unowned)
	return unowned
}

// claimStagger is between the attempts of two entries to make the same claim.
const claimStagger = 250 * time.Millisecond

// rank returns how many entries should claim something before this one, and
// which comes first. held counts the claims of each entry.
func (d *Directory) rank(entry string, claimCounts map[string]int) (rank int, first string) {
	own := d.preferenceOf(entry, claimCounts)
	best := own
	first = entry
	for name := range d.entries {
		other := d.preferenceOf(name, claimCounts)
		if name != entry && other.precedes(own) {
			rank++
		}
		if other.precedes(best) {
			best, first = other, name
		}
	}
	return rank, first
}

func (d *Directory) preferenceOf(entry string, claimCounts map[string]int) preference {
	return preference{claims: claimCounts[entry], milliCPU: max(1, d.entries[entry].MilliCPU), registered: d.revisions[entryPrefix+entry]}
}

// preference orders entries for a claim: those that would have most processor
// time for each of their claims come first, and then the one that registered
// last, since entries that are restarted in turn are least likely to be stopped
// again soon.
type preference struct {
	claims, milliCPU int
	registered       bbrkv.Revision
}

func (p preference) precedes(other preference) bool {
	// The shares are compared as milliCPU/(held+1).
	share, otherShare := p.milliCPU*(other.claims+1), other.milliCPU*(p.claims+1)
	if share != otherShare {
		return share > otherShare
	}
	return p.registered > other.registered
}

// RecordOwnClaim notes a claim of this entry before the store tells of it, so that it
// counts when the next one is ranked.
func (d *Directory) RecordOwnClaim(name string, claim Claim) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.claims == nil {
		d.claims = make(map[string]Claim)
	}
	if d.claims[name].Revision < claim.Revision && d.endedRevision[name] < claim.Revision {
		d.claims[name] = claim
	}
}
