package bbrintake

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// shardCacheSize bounds the jobs whose place an entry remembers. Callers mostly ask
// the entry that took their job; for others the store is read once.
const shardCacheSize = 4096

// ShardCache remembers the shards of jobs. The zero value is ready.
type ShardCache struct {
	once  sync.Once
	cache *lru.Cache[string, bbrwork.Shard]
}

// Add notes the shard of a job, which never changes.
func (p *ShardCache) Add(id string, shard bbrwork.Shard) { p.shards().Add(id, shard) }

// Lookup returns the shard of a job where it is remembered, or where a fleet of
// one cell leaves no choice.
func (p *ShardCache) Lookup(id, service string, cells int) (bbrwork.Shard, bool) {
	if shard, known := p.shards().Get(id); known {
		return shard, true
	}
	return bbrwork.Shard{Service: service}, cells == 1
}

func (p *ShardCache) shards() *lru.Cache[string, bbrwork.Shard] {
	p.once.Do(func() {
		cache, err := lru.New[string, bbrwork.Shard](shardCacheSize)
		if err != nil {
			panic(err) // It fails for a size below 1 only.
		}
		p.cache = cache
	})
	return p.cache
}
