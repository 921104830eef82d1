package bbrquota

import (
	"maps"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Record has the shares of one organisation's cap. Its zero value has no shares.
type Record struct {
	// Shares has the shares by the name of the shard.
	Shares map[string]bbrwork.Resources `json:"shares,omitempty"`
	// Waiting has the shards whose work waits for a larger share than the others leave.
	Waiting map[string]Wait `json:"waiting,omitempty"`
}

// Wait is how much a shard that waits needs the others to release.
type Wait uint8

const (
	// NoWait means that the shard does not wait.
	NoWait Wait = iota
	// WaitShort means that the others should release half of what is idle, and WaitLong
	// that they should release all of it.
	WaitShort
	WaitLong
)

// Others returns what all shards but the given one have together, and the longest of
// their waits.
func (r Record) Others(shard string) (sum bbrwork.Resources, wait Wait) {
	for name, share := range r.Shares {
		if name != shard {
			sum = sum.Plus(share)
		}
	}
	for name, each := range r.Waiting {
		if name != shard {
			wait = max(wait, each)
		}
	}
	return sum, wait
}

// With returns the record in which the shard has the share and the wait.
func (r Record) With(shard string, share bbrwork.Resources, wait Wait) Record {
	shares, waiting := make(map[string]bbrwork.Resources), make(map[string]Wait)
	maps.Copy(shares, r.Shares)
	maps.Copy(waiting, r.Waiting)
	delete(shares, shard)
	if share != (bbrwork.Resources{}) {
		shares[shard] = share
	}
	delete(waiting, shard)
	if wait != NoWait {
		waiting[shard] = wait
	}
	return Record{Shares: shares, Waiting: waiting}
}
