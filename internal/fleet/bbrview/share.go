package bbrview

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Share returns the number of the instance's slots that the entry may use.
//
// The entries are ranked by a hash of entry and instance, so that the remainders
// of the divisions are spread over the entries. Adding an entry can only shrink the
// share of any other, and removing one can only grow it. Therefore the shares of
// entries that see different versions never add up to more than the slots, as long
// as a newcomer waits for Activate.
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

// rankedBefore returns 1 if the other entry is ranked before the entry, whose hash
// is ownHash, and 0 otherwise.
func rankedBefore(other, entry netip.AddrPort, instance string, ownHash uint64) int {
	hash := rankHash(other, instance)
	if hash < ownHash || (hash == ownHash && other.Compare(entry) < 0) {
		return 1
	}
	return 0
}

// rankHash returns the hash by which the entry is ranked for the instance.
func rankHash(entry netip.AddrPort, instance string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	address, _ := entry.MarshalBinary()
	_, _ = digest.Write(address)
	_, _ = digest.WriteString(instance)
	return digest.Sum64()
}
