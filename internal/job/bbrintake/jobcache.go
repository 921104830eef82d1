package bbrintake

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// jobCacheSize bounds the jobs in the cache. Callers mostly query the entry that
// accepted their job; for other jobs the store is read once.
const jobCacheSize = 4096

// jobPlace is the shard that runs a job, as last known, and the organisation that the job
// belongs to, which never changes and may be empty.
type jobPlace struct {
	shard        bbrwork.Shard
	organisation string
}

// belongsToOther reports whether a job of the organisation belongs to another one than the
// caller's. Jobs of public queues belong to none.
func belongsToOther(organisation, caller string) bool {
	return organisation != "" && organisation != caller
}

// JobCache caches the places of jobs. The zero value is ready to use.
type JobCache struct {
	once  sync.Once
	cache *lru.Cache[string, jobPlace]
}

// Add adds or replaces a job's place.
func (c *JobCache) Add(id string, place jobPlace) { c.places().Add(id, place) }

// Get returns the place of a job, and whether it is in the cache.
func (c *JobCache) Get(id string) (jobPlace, bool) { return c.places().Get(id) }

func (c *JobCache) places() *lru.Cache[string, jobPlace] {
	c.once.Do(func() {
		cache, err := lru.New[string, jobPlace](jobCacheSize)
		if err != nil {
			panic(err) // It fails only for a size below 1.
		}
		c.cache = cache
	})
	return c.cache
}
