package bbrclaim

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// Owner is an entry that holds claims.
type Owner struct {
	Entry, Zone string
	// Lease is what its claims hang on.
	Lease bbrkv.Lease
	// PeerAddress is where it can be asked.
	PeerAddress netip.AddrPort
	// RecentSuccessor means that one of its claims was another's a short while ago.
	RecentSuccessor bool
}

// OwnersWatchedBy returns the owners that the entry should watch. In each zone but its
// own, an owner is watched by the entry whose name comes next after its name; in
// a fleet of one zone, by the next two.
func (d *Directory) OwnersWatchedBy(entry string, now time.Time) []Owner {
	d.mu.Lock()
	defer d.mu.Unlock()
	succeeded := d.successors(now)
	var owners []Owner
	for _, name := range d.ownerNames() {
		record := d.entries[name]
		if name != entry && d.watchersOf(name)[entry] {
			owners = append(owners, Owner{Entry: name, Zone: record.Zone, Lease: record.Lease, PeerAddress: record.PeerAddress, RecentSuccessor: succeeded[name]})
		}
	}
	return owners
}

// successorPeriod is how long an entry that took another's claim counts as its
// successor.
const successorPeriod = 10 * time.Second

// successors returns the entries that took a claim of another lately.
func (d *Directory) successors(now time.Time) map[string]bool {
	successors := make(map[string]bool)
	for name, ended := range d.endedAt {
		if claim, owned := d.claims[name]; owned && now.Sub(ended) < successorPeriod {
			successors[claim.Entry] = true
		}
	}
	return successors
}

// ownerNames returns the names of the entries that hold a claim and can be asked,
// in order.
func (d *Directory) ownerNames() []string {
	owners := make(map[string]bool)
	for _, claim := range d.claims {
		record, registered := d.entries[claim.Entry]
		if registered && record.Incarnation == claim.Incarnation && record.Lease == claim.Lease && record.PeerAddress.IsValid() {
			owners[claim.Entry] = true
		}
	}
	names := make([]string, 0, len(owners))
	for name := range owners {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// watchersInSingleZone is how many entries watch an owner in a fleet of one zone.
const watchersInSingleZone = 2

func (d *Directory) watchersOf(owner string) map[string]bool {
	watchers := make(map[string]bool)
	var otherZones []string
	ownerZone := d.entries[owner].Zone
	sameZone := 0
	for _, name := range d.entriesAfter(owner) {
		zone := d.entries[name].Zone
		switch {
		case zone != ownerZone && !slices.Contains(otherZones, zone):
			otherZones = append(otherZones, zone)
			watchers[name] = true
		case zone == ownerZone && sameZone < watchersInSingleZone && !d.hasOtherZone(ownerZone):
			sameZone++
			watchers[name] = true
		}
	}
	return watchers
}

// entriesAfter returns the other entries in order, from the one after the name on.
func (d *Directory) entriesAfter(name string) []string {
	names := d.entryNames()
	i, _ := slices.BinarySearchFunc(names, name, strings.Compare)
	rotated := append(slices.Clone(names[i:]), names[:i]...)
	return slices.DeleteFunc(rotated, func(other string) bool { return other == name })
}

func (d *Directory) hasOtherZone(zone string) bool {
	for _, record := range d.entries {
		if record.Zone != zone {
			return true
		}
	}
	return false
}

// SampleAddresses returns the addresses of up to perZone entries of each zone, without
// the named ones.
func (d *Directory) SampleAddresses(perZone int, exclude ...string) []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	sampled := make(map[string]int)
	var addresses []netip.AddrPort
	for _, name := range d.entryNames() {
		record := d.entries[name]
		if slices.Contains(exclude, name) || !record.PeerAddress.IsValid() || sampled[record.Zone] >= perZone {
			continue
		}
		sampled[record.Zone]++
		addresses = append(addresses, record.PeerAddress)
	}
	return addresses
}
