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
	for _, name := range d.owners() {
		record := d.entries[name]
		if name != entry && d.watchers(name)[entry] {
			owners = append(owners, Owner{Entry: name, Zone: record.Zone, Lease: record.Lease, PeerAddress: record.PeerAddress, RecentSuccessor: succeeded[name]})
		}
	}
	return owners
}

// successionFor is how long an entry that took another's claim counts as its
// successor.
const successionFor = 10 * time.Second

// successors returns the entries that took a claim of another lately.
func (d *Directory) successors(now time.Time) map[string]bool {
	successors := make(map[string]bool)
	for name, ended := range d.ended {
		if claim, owned := d.claims[name]; owned && now.Sub(ended) < successionFor {
			successors[claim.Entry] = true
		}
	}
	return successors
}

// owners returns the names of the entries that hold a claim and can be asked,
// in order.
func (d *Directory) owners() []string {
	held := make(map[string]bool)
	for _, claim := range d.claims {
		record, registered := d.entries[claim.Entry]
		if registered && record.Incarnation == claim.Incarnation && record.Lease == claim.Lease && record.PeerAddress.IsValid() {
			held[claim.Entry] = true
		}
	}
	names := make([]string, 0, len(held))
	for name := range held {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// watchersOfZone is how many entries watch an owner in a fleet of one zone.
const watchersOfZone = 2

func (d *Directory) watchers(owner string) map[string]bool {
	watchers := make(map[string]bool)
	var zones []string
	own := d.entries[owner].Zone
	near := 0
	for _, name := range d.after(owner) {
		zone := d.entries[name].Zone
		switch {
		case zone != own && !slices.Contains(zones, zone):
			zones = append(zones, zone)
			watchers[name] = true
		case zone == own && near < watchersOfZone && !d.otherZone(own):
			near++
			watchers[name] = true
		}
	}
	return watchers
}

// after returns the other entries in order, from the one after the name on.
func (d *Directory) after(name string) []string {
	names := d.names()
	i, _ := slices.BinarySearchFunc(names, name, strings.Compare)
	turned := append(slices.Clone(names[i:]), names[:i]...)
	return slices.DeleteFunc(turned, func(other string) bool { return other == name })
}

func (d *Directory) otherZone(zone string) bool {
	for _, record := range d.entries {
		if record.Zone != zone {
			return true
		}
	}
	return false
}

// SampleAddresses returns the addresses of up to perZone entries of each zone, without
// the named ones.
func (d *Directory) SampleAddresses(perZone int, without ...string) []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	taken := make(map[string]int)
	var addresses []netip.AddrPort
	for _, name := range d.names() {
		record := d.entries[name]
		if slices.Contains(without, name) || !record.PeerAddress.IsValid() || taken[record.Zone] >= perZone {
			continue
		}
		taken[record.Zone]++
		addresses = append(addresses, record.PeerAddress)
	}
	return addresses
}
