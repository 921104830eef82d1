package bbrintake

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// shardCacheSize bounds the jobs in the cache. Callers mostly query the entry that
// accepted their job; for other jobs the store is read once.
const shardCacheSize = 4096

// ShardCache caches the shards of jobs. The zero value is ready to use.
type ShardCache struct {
	once  sync.Once
	cache *lru.Cache[string, bbrwork.Shard]
}

// Add adds a job's shard, which never changes.
func (c *ShardCache) Add(id string, shard bbrwork.Shard) { c.shards().Add(id, shard) }

// Lookup returns the shard of a job, and whether it is known: it is in the cache, or
// the fleet has one cell and thus the service one shard.
func (c *ShardCache) Lookup(id, service string, cells int) (bbrwork.Shard, bool) {
	if shard, known := c.shards().Get(id); known {
		return shard, true
	}
	return bbrwork.Shard{Service: service}, cells == 1
}

func (c *ShardCache) shards() *lru.Cache[string, bbrwork.Shard] {
	c.once.Do(func() {
		cache, err := lru.New[string, bbrwork.Shard](shardCacheSize)
		if err != nil {
			panic(err) // It fails only for a size below 1.
		}
		c.cache = cache
	})
	return c.cache
}
