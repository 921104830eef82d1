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
	Waiting map[string]bool `json:"waiting,omitempty"`
}

// Others returns what all shards but the given one have together, and whether the work
// of one of them waits.
func (r Record) Others(shard string) (sum bbrwork.Resources, waiting bool) {
	for name, share := range r.Shares {
		if name != shard {
			sum = sum.Plus(share)
		}
	}
	for name := range r.Waiting {
		waiting = waiting || name != shard
	}
	return sum, waiting
}

// With returns the record in which the shard has the share, and waits or not.
func (r Record) With(shard string, share bbrwork.Resources, waits bool) Record {
	shares, waiting := make(map[string]bbrwork.Resources), make(map[string]bool)
	maps.Copy(shares, r.Shares)
	maps.Copy(waiting, r.Waiting)
	delete(shares, shard)
	if share != (bbrwork.Resources{}) {
		shares[shard] = share
	}
	delete(waiting, shard)
	if waits {
		waiting[shard] = true
	}
	return Record{Shares: shares, Waiting: waiting}
}
