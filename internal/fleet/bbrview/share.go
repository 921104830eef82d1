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
	ownHash := rankHash(entry, instance.ID)
	rank := 0
	for other := range v.Entries {
		rank += rankedBefore(other, entry, instance.ID, ownHash)
	}
	for other := range v.Departed {
		rank += rankedBefore(other, entry, instance.ID, ownHash)
	}
	members := len(v.Entries) + len(v.Departed)
	return max(0, (instance.Slots+members-1-rank)/members)
}

// rankedBefore returns 1 if the other entry is ranked before the entry, and else 0.
func rankedBefore(other, entry netip.AddrPort, instance string, ownHash uint64) int {
	hash := rankHash(other, instance)
	if hash < ownHash || (hash == ownHash && other.Compare(entry) < 0) {
		return 1
	}
	return 0
}

func rankHash(entry netip.AddrPort, instance string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	address, _ := entry.MarshalBinary()
	_, _ = digest.Write(address)
	_, _ = digest.WriteString(instance)
	return digest.Sum64()
}
