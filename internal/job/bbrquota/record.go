package bbrquota

import (
	"maps"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Record has the shares of one organisation's cap, by the name of the shard. Its zero
// value has no shares.
type Record struct {
	Shares map[string]bbrwork.Resources `json:"shares,omitempty"`
}

// Others returns what all shards but the given one have together.
func (r Record) Others(shard string) bbrwork.Resources {
	var sum bbrwork.Resources
	for name, share := range r.Shares {
		if name != shard {
			sum = sum.Plus(share)
		}
	}
	return sum
}

// With returns the record in which the shard has the share.
func (r Record) With(shard string, share bbrwork.Resources) Record {
	shares := maps.Clone(r.Shares)
	if shares == nil {
		shares = make(map[string]bbrwork.Resources)
	}
	shares[shard] = share
	if share == (bbrwork.Resources{}) {
		delete(shares, shard)
	}
	return Record{Shares: shares}
}
