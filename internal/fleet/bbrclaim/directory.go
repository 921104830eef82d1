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

// claimRecord is the value of a claim's key.
type claimRecord struct {
	Entry       string `json:"entry"`
	Incarnation string `json:"incarnation"`
}

// Claim identifies an owner by its claim in the store.
type Claim struct {
	Entry, Incarnation string
	// Revision is the revision that created the claim: the fencing token.
	Revision bbrkv.Revision
	// Lease is the lease to which the claim is attached.
	Lease bbrkv.Lease
}

// Directory is a local copy of what the store lists under FleetPrefix: the
// registered entries, the claims, the operators' directives and the division of
// the fleet into cells.
type Directory struct {
	// UseBandwidth ranks entries by their links as well as by their processor time. It must
	// not change.
	UseBandwidth bool

	mu      sync.Mutex
	entries map[string]entryRecord
	claims  map[string]Claim
	// unownedSince contains, by name, when it was first seen without an owner.
	unownedSince map[string]time.Time
	// endedRevision contains, by name, the revision up to which all claims of the
	// name are known to have ended.
	endedRevision map[string]bbrkv.Revision
	// endedAt contains, by name, when a claim was last seen to have ended.
	endedAt map[string]time.Time
	// endedClaims contains, by name, the last claim that ended.
	endedClaims map[string]Claim
	// directives and cells are replaced and never modified, so that readers may
	// keep them without the lock.
	directives bbrmachine.Directives
	cells      *bbrcell.Cells
	// held is the memory that the jobs need as last stored.
	held HeldBytes
	// rerouted has the records of rerouted queues, by key.
	rerouted map[string]queueInShard
	// revisions contains the last applied revision of each key. Older events are
	// ignored.
	revisions map[string]bbrkv.Revision
}

// Snapshot replaces the entries and claims by those listed as of a revision. Claims that
// are no longer listed, or were created anew, have ended. A claim of this entry that was
// created after the revision is kept: it was recorded while the list was read.
func (d *Directory) Snapshot(items []bbrkv.Item, asOf bbrkv.Revision, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.claims
	d.entries = make(map[string]entryRecord)
	d.claims = make(map[string]Claim)
	d.revisions = make(map[string]bbrkv.Revision)
	d.rerouted = nil
	for _, item := range items {
		d.apply(item, now)
	}
	for name, claim := range previous {
		listed := d.claims[name].Revision
		switch {
		case listed == claim.Revision:
		case listed < claim.Revision && claim.Revision > asOf:
			d.claims[name] = claim
		default:
			d.recordEnd(name, claim.Revision, now)
			d.recordEndedClaim(name, claim)
		}
	}
}

// Change applies one event of a watch.
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
	if item.Key == HeldBytesKey {
		d.applyHeldBytes(item, now)
	}
	if name, ok := strings.CutPrefix(item.Key, entryPrefix); ok {
		d.applyEntry(name, item)
	}
	if name, ok := strings.CutPrefix(item.Key, claimPrefix); ok {
		d.applyClaim(name, item, now)
	}
	if key, ok := strings.CutPrefix(item.Key, queuePrefix); ok {
		d.applyQueue(key, item)
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
		if claim, ok := d.claims[name]; ok && claim.Revision < item.Revision {
			klog.InfoS("Claim ended", "claim", name, "entry", claim.Entry, "token", claim.Revision, "revision", item.Revision)
			delete(d.claims, name)
			d.recordEndedClaim(name, claim)
		}
		return
	}
	if d.claims[name].Revision > item.Created {
		return // A recorded claim of this entry is newer than this event.
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
		klog.ErrorS(err, "Failed to decode the operators' directives", "revision", item.Revision)
		return
	}
	d.directives = directives
}

func (d *Directory) applyCells(item bbrkv.Item) {
	cells, err := bbrcell.Parse(item.Value)
	if err != nil || item.Deleted {
		klog.ErrorS(err, "Division of the fleet into cells deleted or not decodable", "revision", item.Revision, "deleted", item.Deleted)
		return
	}
	klog.InfoS("Fleet divided", "cells", cells.Count(), "racks", len(cells.CellByRack), "revision", item.Revision)
	d.cells = cells
}

// Cells returns the division of the fleet, or nil before the fleet is divided.
func (d *Directory) Cells() *bbrcell.Cells {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cells
}

// Directives returns the operators' directives for instances. The caller must
// not modify them.
func (d *Directory) Directives() bbrmachine.Directives {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.directives
}

// recordEnd notes that the claims of the name up to the revision have ended.
func (d *Directory) recordEnd(name string, revision bbrkv.Revision, now time.Time) {
	if d.endedRevision == nil {
		d.endedRevision, d.endedAt = make(map[string]bbrkv.Revision), make(map[string]time.Time)
	}
	d.endedAt[name] = now
	d.endedRevision[name] = max(d.endedRevision[name], revision)
}

// recordEndedClaim notes the claim that ended last. The caller holds the lock.
func (d *Directory) recordEndedClaim(name string, claim Claim) {
	if d.endedClaims == nil {
		d.endedClaims = make(map[string]Claim)
	}
	d.endedClaims[name] = claim
}

// ClaimEnded reports whether the claim with the token is known to have ended. A
// claim that is merely not listed yet has not.
func (d *Directory) ClaimEnded(name string, token bbrkv.Revision) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endedRevision[name] >= token || d.claims[name].Revision > token
}

// Owner returns the current claim of the name.
func (d *Directory) Owner(name string) (Claim, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	claim, ok := d.claims[name]
	return claim, ok
}

// OwnerAddress returns the peer address of the name's owner. It returns false
// if there is no owner, if the entry has restarted since it made the claim, or
// if it has no peer address.
func (d *Directory) OwnerAddress(name string) (netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	claim, owned := d.claims[name]
	entry := d.entries[claim.Entry]
	return entry.PeerAddress, owned && entry.Incarnation == claim.Incarnation && entry.PeerAddress.IsValid()
}

// Entries returns the sorted names of the registered entries.
func (d *Directory) Entries() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entryNames()
}

// PeerAddresses returns the peer addresses of the registered entries other than the one of
// the name.
func (d *Directory) PeerAddresses(except string) []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []netip.AddrPort
	for _, name := range d.entryNames() {
		if record := d.entries[name]; name != except && record.PeerAddress.IsValid() {
			addresses = append(addresses, record.PeerAddress)
		}
	}
	return addresses
}

// MilliCPUAtRank returns the processor time, in thousandths of a core, of the
// entry at the rank, counted from 1, when the entries are sorted by processor
// time with the largest first. It returns that of the smallest entry if there
// are fewer entries, and 0 if there are none.
func (d *Directory) MilliCPUAtRank(rank int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	milliCPUs := make([]int, 0, len(d.entries))
	for _, record := range d.entries {
		milliCPUs = append(milliCPUs, record.MilliCPU)
	}
	if len(milliCPUs) == 0 {
		return 0
	}
	slices.Sort(milliCPUs)
	slices.Reverse(milliCPUs)
	return milliCPUs[min(max(1, rank), len(milliCPUs))-1]
}

// bytesPerMbps converts megabits per second to bytes per second.
const bytesPerMbps = 1_000_000 / 8

// SmallestLink returns the smallest known link of the registered entries, in bytes a
// second, and the number of entries. The link is 0 if no entry has published one.
func (d *Directory) SmallestLink() (bytesPerSecond, entries int) {
	mbps, entries := d.smallest(func(record entryRecord) int { return record.BandwidthMbps })
	return mbps * bytesPerMbps, entries
}

// smallest returns the smallest positive value of the registered entries, 0 if there is none, and the
// number of entries.
func (d *Directory) smallest(value func(record entryRecord) int) (smallest, entries int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, record := range d.entries {
		if v := value(record); v > 0 && (smallest == 0 || v < smallest) {
			smallest = v
		}
	}
	return smallest, len(d.entries)
}

func (d *Directory) entryNames() []string {
	names := make([]string, 0, len(d.entries))
	for name := range d.entries {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// DueClaims returns the names without an owner that the entry should claim now.
// The entries attempt each name in the order of their rank, claimStagger apart.
func (d *Directory) DueClaims(names []string, entry string, now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	unowned := d.trackUnowned(names, now)
	if len(unowned) == 0 {
		return nil
	}
	claimCounts := d.claimCounts()
	var due []string
	for _, name := range unowned {
		rank, first := d.rank(entry, claimCounts)
		if now.Sub(d.unownedSince[name]) >= time.Duration(rank)*claimStagger {
			due = append(due, name)
		}
		// Rank the next name as if the first entry had claimed this one already.
		claimCounts[first]++
	}
	return due
}

// trackUnowned returns the sorted names that have no owner, and records since
// when each has had none.
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

// claimStagger is the time between the attempts of two successive entries to
// claim the same name.
const claimStagger = 250 * time.Millisecond

// rank returns how many entries are preferred to this one for the next claim,
// and the most preferred entry. claimCounts contains the number of claims of each
// entry.
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
	record := d.entries[entry]
	if !d.UseBandwidth {
		record.BandwidthMbps = 0
	}
	return preference{claims: claimCounts[entry], capacity: carryingCapacity(record.MilliCPU, record.BandwidthMbps), registered: d.revisions[entryPrefix+entry]}
}

// preference orders entries for a claim. An entry that would have more capacity
// per claim comes first; among equals, the one that registered last does,
// because in a rolling restart it is the least likely to be stopped again soon.
type preference struct {
	// capacity is in thousandths of a core.
	claims, capacity int
	// registered is the revision of the entry's registration.
	registered bbrkv.Revision
}

// precedes reports whether p is preferred to the other.
func (p preference) precedes(other preference) bool {
	// Compares capacity/(claims+1) without a division.
	share, otherShare := p.capacity*(other.claims+1), other.capacity*(p.claims+1)
	if share != otherShare {
		return share > otherShare
	}
	return p.registered > other.registered
}

// RecordOwnEnd records that this entry has removed its claim with the token.
func (d *Directory) RecordOwnEnd(name string, token bbrkv.Revision, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordEnd(name, token, now)
	if claim := d.claims[name]; claim.Revision == token {
		delete(d.claims, name)
		d.recordEndedClaim(name, claim)
	}
}

// RecordOwnClaim records a claim of this entry before the watch reports it, so
// that it counts when the next name is ranked.
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
