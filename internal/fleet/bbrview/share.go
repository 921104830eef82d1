package bbrview

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Share returns how many slots of the instance the entry owns.
//
// The entries are ranked by a hash of entry and instance, so that remainders
// spread over the entries. A share can only shrink when an entry is added and
// only grow when one is removed, for whichever entry; therefore the shares of
// entries that see different versions never sum to more than the slots, as
// long as a newcomer waits for Activate.
func (v *View) Share(entry netip.AddrPort, instance Instance) int {
	if !v.Entries[entry].Active || instance.State != Serving {
		return 0
	}
	own := weight(entry, instance.ID)
	rank := 0
	for other := range v.Entries {
		w := weight(other, instance.ID)
		if w < own || (w == own && other.Compare(entry) < 0) {
			rank++
		}
	}
	n := len(v.Entries)
	return max(0, (instance.Slots+n-1-rank)/n)
}

func weight(entry netip.AddrPort, instance string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	bytes, _ := entry.MarshalBinary()
	_, _ = digest.Write(bytes)
	_, _ = digest.WriteString(instance)
	return digest.Sum64()
}
