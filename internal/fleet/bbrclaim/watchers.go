package bbrclaim

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// Owner is an entry that holds at least one claim.
type Owner struct {
	Entry, Zone string
	// Lease is the lease to which its claims are attached.
	Lease bbrkv.Lease
	// PeerAddress is where it answers queries of other entries.
	PeerAddress netip.AddrPort
	// RecentSuccessor reports whether an earlier claim of one of its names ended
	// within successorPeriod.
	RecentSuccessor bool
}

// OwnersWatchedBy returns the owners that the entry should watch. An owner is
// watched by one entry of each zone but its own, the one whose name follows the
// owner's name in order; in a fleet of one zone, by the next two entries.
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

// successorPeriod is how long an entry counts as a recent successor after the
// previous claim of one of its names ended.
const successorPeriod = 10 * time.Second

// successors returns the entries that own a name whose previous claim ended
// within successorPeriod.
func (d *Directory) successors(now time.Time) map[string]bool {
	successors := make(map[string]bool)
	for name, ended := range d.endedAt {
		if claim, owned := d.claims[name]; owned && now.Sub(ended) < successorPeriod {
			successors[claim.Entry] = true
		}
	}
	return successors
}

// ownerNames returns the sorted names of the entries that have a peer address and
// hold a claim under the incarnation and the lease of their registration.
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

// watchersOf returns the entries that watch the owner.
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

// entriesAfter returns the other entries in the order of their names, beginning
// after the name and wrapping around.
func (d *Directory) entriesAfter(name string) []string {
	names := d.entryNames()
	i, _ := slices.BinarySearchFunc(names, name, strings.Compare)
	rotated := append(slices.Clone(names[i:]), names[:i]...)
	return slices.DeleteFunc(rotated, func(other string) bool { return other == name })
}

// hasOtherZone reports whether an entry is registered in another zone.
func (d *Directory) hasOtherZone(zone string) bool {
	for _, record := range d.entries {
		if record.Zone != zone {
			return true
		}
	}
	return false
}

// SampleAddresses returns the peer addresses of up to perZone entries of each
// zone. The named entries are excluded.
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
